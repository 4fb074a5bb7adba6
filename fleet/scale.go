package fleet

import (
	"math"
	"time"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/upstream"
)

// Demand is what one service's requests need in one domain, over all of the
// domain's instances.
type Demand struct {
	Waiting int // requests in the instances' queues
	Running int // requests at the upstreams
	// Desk is the part of Waiting and Running whose loss or delay reaches a
	// person. It runs on dear upstreams only.
	Interactive int
	// Slots is how many requests one upstream runs at once.
	Slots int
}

// Total returns all requests.
func (d Demand) Total() int { return d.Waiting + d.Running }

// Counts are numbers of upstreams by cost class.
type Counts struct{ Dear, Cheap int }

// ScaleLimits shape the changes of counts over time.
type ScaleLimits struct {
	// Utilisation is the part of the slots that demand should fill.
	Utilisation float64
	// UpAfter and DownAfter are how long a need must last before counts follow.
	UpAfter, DownAfter time.Duration
	// Repeat is the time after which an unchanged order is given again, in case
	// it was lost.
	Repeat time.Duration
	// Shun is how long cheap upstreams are not counted on after a reclaim or
	// after they did not come; it doubles up to MaxShun.
	Shun, MaxShun time.Duration
	// Arrival is how long ordered upstreams may take to be listed.
	Arrival time.Duration
}

// DefaultScaleLimits returns the limits in use.
func DefaultScaleLimits() ScaleLimits {
	return ScaleLimits{
		Utilisation: 0.8,
		UpAfter:     2 * time.Second, DownAfter: 3 * time.Minute,
		Repeat: 30 * time.Second,
		Shun:   2 * time.Minute, MaxShun: 30 * time.Minute,
		Arrival: time.Minute,
	}
}

// Scaler decides how many upstreams of one service run in one domain.
type Scaler struct {
	limits ScaleLimits

	ordered  Counts
	sent     time.Time // of the last order; zero before the first decision
	above    time.Time // since when more is needed; zero when not
	below    time.Time // since when less is needed; zero when not
	peak     Counts    // greatest need since below
	shunned  time.Time // until when cheap upstreams are not counted on
	shun     time.Duration
	cheapSet time.Time // when the ordered number of cheap ones last rose
}

// NewScaler returns a Scaler that has ordered nothing.
func NewScaler(limits ScaleLimits) *Scaler { return &Scaler{limits: limits} }

// Next returns the counts to order at now, or ok false when none is due. The
// first call takes the live counts for ordered. A predecessor may have ordered
// more that has not arrived yet, so that the same counts are not given out as
// an order before that has had its time.
func (s *Scaler) Next(limit contract.CostLimit, demand Demand, live []upstream.Upstream, now time.Time) (counts Counts, ok bool) {
	if s.sent.IsZero() {
		s.ordered, s.sent = countsOf(staying(live)), now.Add(s.limits.Arrival-s.limits.Repeat)
	}
	reclaimed := s.watchCheap(live, now)
	need := s.need(limit, demand, now)
	target := s.settle(need, reclaimed, now)
	target = within(target, limit)
	if target == s.ordered && now.Sub(s.sent) < s.limits.Repeat {
		return Counts{}, false
	}
	if target.Cheap > s.ordered.Cheap {
		s.cheapSet = now
	}
	s.ordered, s.sent = target, now
	return target, true
}

// need returns the counts that the demand of this moment calls for. Desk work
// and the minimum run on dear upstreams; the rest goes to cheap ones first.
func (s *Scaler) need(limit contract.CostLimit, d Demand, now time.Time) Counts {
	all := max(limit.MinReady, s.upstreams(d.Total(), d.Slots))
	dear := min(limit.MaxDear, max(limit.MinReady, s.upstreams(d.Interactive, d.Slots)))
	cheap := min(limit.MaxCheap, max(0, all-dear))
	if now.Before(s.shunned) {
		cheap = 0
	}
	return within(Counts{Dear: max(dear, all-cheap), Cheap: cheap}, limit)
}

func (s *Scaler) upstreams(requests, slots int) int {
	return int(math.Ceil(float64(requests) / (float64(max(1, slots)) * s.limits.Utilisation)))
}

// settle follows a need that rises soon and one that falls late, and then only
// to the greatest need in between.
func (s *Scaler) settle(need Counts, at bool, now time.Time) Counts {
	target := s.ordered
	if need.Dear > target.Dear || need.Cheap > target.Cheap {
		s.above = firstOf(s.above, now)
	} else {
		s.above = time.Time{}
	}
	if at || (!s.above.IsZero() && now.Sub(s.above) >= s.limits.UpAfter) {
		target = Counts{Dear: max(target.Dear, need.Dear), Cheap: max(target.Cheap, need.Cheap)}
	}
	if need.Dear >= target.Dear && need.Cheap >= target.Cheap {
		s.below, s.peak = time.Time{}, Counts{}
		return target
	}
	s.below = firstOf(s.below, now)
	s.peak = Counts{Dear: max(s.peak.Dear, need.Dear), Cheap: max(s.peak.Cheap, need.Cheap)}
	if now.Sub(s.below) < s.limits.DownAfter {
		return target
	}
	target, s.below, s.peak = Counts{Dear: min(target.Dear, s.peak.Dear), Cheap: min(target.Cheap, s.peak.Cheap)}, time.Time{}, Counts{}
	return target
}

// watchCheap stops counting on cheap upstreams while they are being taken away
// or do not come, and reports whether that began now.
func (s *Scaler) watchCheap(live []upstream.Upstream, now time.Time) bool {
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
	missing := present < s.ordered.Cheap && !s.cheapSet.IsZero() && now.Sub(s.cheapSet) >= s.limits.Arrival
	switch {
	case now.Before(s.shunned):
		return false
	case leaving || missing:
		s.shun = min(max(s.limits.Shun, 2*s.shun), s.limits.MaxShun)
		s.shunned, s.cheapSet = now.Add(s.shun), time.Time{}
		s.ordered.Cheap = min(s.ordered.Cheap, present)
		return true
	case s.ordered.Cheap > 0 && present >= s.ordered.Cheap:
		s.shun = 0
	}
	return false
}

func countsOf(all []upstream.Upstream) Counts {
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

// within cuts counts down to the limit.
func within(c Counts, limit contract.CostLimit) Counts {
	return Counts{Dear: min(c.Dear, limit.MaxDear), Cheap: min(c.Cheap, limit.MaxCheap)}
}

func firstOf(since, now time.Time) time.Time {
	if since.IsZero() {
		return now
	}
	return since
}
