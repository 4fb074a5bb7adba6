package fleet

import (
	"math"
	"time"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/upstream"
)

// Demand is the demand for one service in one failure domain, summed over the
// domain's instances.
type Demand struct {
	Waiting int // requests in the instances' queues
	Running int // requests at the upstreams
	// Interactive is the number of waiting and running requests whose loss or delay
	// affects a user. They run on dear upstreams only.
	Interactive int
	// Slots is the number of requests that one upstream runs concurrently.
	Slots int
}

// Total returns the number of waiting and running requests.
func (d Demand) Total() int { return d.Waiting + d.Running }

// Counts are numbers of upstreams by cost class. The platform may reclaim cheap
// upstreams.
type Counts struct{ Dear, Cheap int }

// ScaleLimits control how the counts follow demand over time.
type ScaleLimits struct {
	// Utilisation is the target share of occupied slots.
	Utilisation float64
	// ScaleUpDelay and ScaleDownDelay are how long higher or lower demand must
	// last before the counts change.
	ScaleUpDelay, ScaleDownDelay time.Duration
	// RepeatInterval is the time after which an unchanged order is sent again, since
	// the last one may not have arrived.
	RepeatInterval time.Duration
	// CheapBackoff is how long no cheap upstreams are required after some were
	// reclaimed or failed to arrive; it doubles up to MaxCheapBackoff.
	CheapBackoff, MaxCheapBackoff time.Duration
	// ArrivalTimeout is how long ordered upstreams may take to be listed.
	ArrivalTimeout time.Duration
}

// DefaultScaleLimits returns the default limits.
func DefaultScaleLimits() ScaleLimits {
	return ScaleLimits{
		Utilisation:  0.8,
		ScaleUpDelay: 2 * time.Second, ScaleDownDelay: 3 * time.Minute,
		RepeatInterval: 30 * time.Second,
		CheapBackoff:   2 * time.Minute, MaxCheapBackoff: 30 * time.Minute,
		ArrivalTimeout: time.Minute,
	}
}

// Scaler decides how many upstreams of one service run in one domain.
type Scaler struct {
	limits ScaleLimits

	ordered           Counts
	sentAt            time.Time // time of the last order; zero before the first decision
	aboveSince        time.Time // since when more upstreams are required; zero if not
	belowSince        time.Time // since when fewer upstreams are required; zero if not
	peak              Counts    // highest required counts since belowSince
	cheapBlockedUntil time.Time // no cheap upstreams are required before
	cheapBackoff      time.Duration
	cheapRaisedAt     time.Time // when the ordered number of cheap upstreams last rose
}

// NewScaler returns a Scaler that has ordered nothing.
func NewScaler(limits ScaleLimits) *Scaler { return &Scaler{limits: limits} }

// Next returns the counts to order at now; ok is false if no order is due. The
// first call assumes that the live counts were ordered. A predecessor may have
// ordered more upstreams that have not arrived yet, so unchanged counts are not
// ordered before ArrivalTimeout has passed.
func (s *Scaler) Next(limit contract.CostLimit, demand Demand, live []upstream.Upstream, now time.Time) (counts Counts, ok bool) {
	if s.sentAt.IsZero() {
		s.ordered, s.sentAt = countByCost(notLeaving(live)), now.Add(s.limits.ArrivalTimeout-s.limits.RepeatInterval)
	}
	cheapLost := s.checkCheap(live, now)
	required := s.required(limit, demand, now)
	target := s.applyDelays(required, cheapLost, now)
	target = clampTo(target, limit)
	if target == s.ordered && now.Sub(s.sentAt) < s.limits.RepeatInterval {
		return Counts{}, false
	}
	if target.Cheap > s.ordered.Cheap {
		s.cheapRaisedAt = now
	}
	s.ordered, s.sentAt = target, now
	return target, true
}

// required returns the counts for the current demand. Interactive requests and
// the minimum run on dear upstreams; the rest prefers cheap ones.
func (s *Scaler) required(limit contract.CostLimit, d Demand, now time.Time) Counts {
	all := max(limit.MinReady, s.upstreamsFor(d.Total(), d.Slots))
	dear := min(limit.MaxDear, max(limit.MinReady, s.upstreamsFor(d.Interactive, d.Slots)))
	cheap := min(limit.MaxCheap, max(0, all-dear))
	if now.Before(s.cheapBlockedUntil) {
		cheap = 0
	}
	return clampTo(Counts{Dear: max(dear, all-cheap), Cheap: cheap}, limit)
}

func (s *Scaler) upstreamsFor(requests, slots int) int {
	return int(math.Ceil(float64(requests) / (float64(max(1, slots)) * s.limits.Utilisation)))
}

// applyDelays raises the ordered counts after ScaleUpDelay, or at once if
// immediate, and lowers them after ScaleDownDelay to the highest counts required
// in the meantime.
func (s *Scaler) applyDelays(required Counts, immediate bool, now time.Time) Counts {
	target := s.ordered
	if required.Dear > target.Dear || required.Cheap > target.Cheap {
		s.aboveSince = orNow(s.aboveSince, now)
	} else {
		s.aboveSince = time.Time{}
	}
	if immediate || (!s.aboveSince.IsZero() && now.Sub(s.aboveSince) >= s.limits.ScaleUpDelay) {
		target = Counts{Dear: max(target.Dear, required.Dear), Cheap: max(target.Cheap, required.Cheap)}
	}
	if required.Dear >= target.Dear && required.Cheap >= target.Cheap {
		s.belowSince, s.peak = time.Time{}, Counts{}
		return target
	}
	s.belowSince = orNow(s.belowSince, now)
	s.peak = Counts{Dear: max(s.peak.Dear, required.Dear), Cheap: max(s.peak.Cheap, required.Cheap)}
	if now.Sub(s.belowSince) < s.limits.ScaleDownDelay {
		return target
	}
	target, s.belowSince, s.peak = Counts{Dear: min(target.Dear, s.peak.Dear), Cheap: min(target.Cheap, s.peak.Cheap)}, time.Time{}, Counts{}
	return target
}

// checkCheap starts a backoff for cheap upstreams if some are being reclaimed or
// have not arrived in time. It reports whether a backoff started now.
func (s *Scaler) checkCheap(live []upstream.Upstream, now time.Time) bool {
	present, leaving := 0, false
	for _, u := range live {
		if u.Cost != objects.CostCheap {
			continue
		}
		leaving = leaving || u.Leaving
		if !u.Leaving {
			present++
		}
	}
	missing := present < s.ordered.Cheap && !s.cheapRaisedAt.IsZero() && now.Sub(s.cheapRaisedAt) >= s.limits.ArrivalTimeout
	switch {
	case now.Before(s.cheapBlockedUntil):
		return false
	case leaving || missing:
		s.cheapBackoff = min(max(s.limits.CheapBackoff, 2*s.cheapBackoff), s.limits.MaxCheapBackoff)
		s.cheapBlockedUntil, s.cheapRaisedAt = now.Add(s.cheapBackoff), time.Time{}
		s.ordered.Cheap = min(s.ordered.Cheap, present)
		return true
	case s.ordered.Cheap > 0 && present >= s.ordered.Cheap:
		s.cheapBackoff = 0
	}
	return false
}

func countByCost(all []upstream.Upstream) Counts {
	var c Counts
	for _, u := range all {
		if u.Cost == objects.CostCheap {
			c.Cheap++
			continue
		}
		c.Dear++
	}
	return c
}

// clampTo reduces the counts to the limit.
func clampTo(c Counts, limit contract.CostLimit) Counts {
	return Counts{Dear: min(c.Dear, limit.MaxDear), Cheap: min(c.Cheap, limit.MaxCheap)}
}

func orNow(since, now time.Time) time.Time {
	if since.IsZero() {
		return now
	}
	return since
}
