// Package placement predicts when a request would be complete at each upstream and
// chooses the upstream by it. It does no I/O, reads no clock and keeps no state.
package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelocross/pomelocross/pace"
)

// Mode says by what upstreams are chosen.
type Mode string

const (
	// Auto chooses by predicted completion at services whose upstreams differ lastingly in
	// speed, and by slots in use elsewhere.
	Auto Mode = "auto"
	// Slots chooses by the share of slots in use.
	Slots Mode = "slots"
	// Completion always chooses by predicted completion.
	Completion Mode = "completion"
)

// Span is a predicted duration: its mean, its 10th and its 90th percentile.
type Span struct {
	Mean time.Duration `json:"mean"`
	Low  time.Duration `json:"low"`
	High time.Duration `json:"high"`
}

// Request is what is known of a request. Durations are those at the median upstream of
// the service.
type Request struct {
	Own Span // the time that the request itself still needs
	// Typical is the time for which a request of the service usually holds a slot. It
	// weighs what the request takes from others.
	Typical time.Duration
}

// Upstream is the state of an upstream that can take the request.
type Upstream struct {
	ID       string
	Slots    int           // 0 if unknown
	Requests int           // requests at the upstream
	Work     time.Duration // time that these still need in sum, at the median upstream
	Pace     pace.Estimate
	// OtherDomain is set if the upstream is in another failure domain than the instance.
	OtherDomain bool
	Cold        bool // still slow after its start
	// Newer is set if the weights are newer than required.
	Newer bool
}

// Terms are the parts of an upstream's score. The request goes to the lowest score.
type Terms struct {
	Upstream string        `json:"upstream"`
	Wait     time.Duration `json:"wait"` // until a slot is free
	Own      Span          `json:"own"`  // time for the request itself at this upstream
	// Crowding is the time that the requests at the upstream still need, for each slot.
	// They slow each other down and the requests that follow.
	Crowding time.Duration `json:"crowding"`
	// Extra is added for another failure domain, a cold start and newer weights.
	Extra  time.Duration `json:"extra"`
	Jitter time.Duration `json:"jitter"`
}

// Completion returns the predicted time until the request is complete.
func (t Terms) Completion() time.Duration { return t.Wait + t.Own.Mean }

// Score returns the sum of all terms; lower is better.
func (t Terms) Score() time.Duration { return t.Completion() + t.Crowding + t.Extra + t.Jitter }

// Parts of Request.Typical that are added to a score.
const (
	otherDomainPart = 0.05 // the own domain wins among upstreams of similar load
	// newerPart is added for weights newer than required. Items of the next training step
	// may have no other upstream.
	newerPart = 0.4
	coldPart  = 0.5
	// jitterPart is the maximum of a random term.
	jitterPart = 0.04
)

const (
	// nowSpan is the work for which the slowness of a machine at this moment is expected
	// to last. It changes within fractions of a second.
	nowSpan = 100 * time.Millisecond
	// maxSlowness limits the effect of a reported pace.
	maxSlowness = 20
)

// Evaluate returns the terms of an upstream. random is in [0, 1) and differs between
// upstreams and choices.
//
// Load pattern: upstreams work at 0.7 to 1.7 times the usual time, and few requests cause
// ten times the work of most. Long ones go where they end sooner, short ones take the free
// slots of slow upstreams. Requests of some milliseconds go where the machine is quiet
// now. Instances without a shared queue choose at the same moment; the random term keeps
// them from all choosing the same one of similar upstreams.
func Evaluate(r Request, u Upstream, random float64) Terms {
	ratio, now, slots := slowness(u.Pace.Ratio), slowness(u.Pace.Now), max(1, u.Slots)
	at := func(work time.Duration) time.Duration {
		return scale(work+scale(min(work, nowSpan), now-1), ratio)
	}
	t := Terms{
		Upstream: u.ID, Own: Span{Mean: at(r.Own.Mean), Low: at(r.Own.Low), High: at(r.Own.High)},
		Crowding: at(max(0, u.Work) / time.Duration(slots)), Jitter: scale(r.Typical, jitterPart*random),
	}
	if ahead := u.Requests - u.Slots + 1; u.Slots > 0 && ahead > 0 {
		t.Wait = time.Duration(ahead) * at(max(0, u.Work)/time.Duration(u.Requests)) / time.Duration(slots)
	}
	t.Extra = scale(r.Typical, extraPart(u))
	return t
}

// extraPart returns the part of Request.Typical by which other upstreams are preferred.
func extraPart(u Upstream) float64 {
	part := 0.0
	if u.OtherDomain {
		part += otherDomainPart
	}
	if u.Newer {
		part += newerPart
	}
	if u.Cold {
		part += coldPart
	}
	return part
}

// slowness returns a usable factor: 1 for one that is missing or absurd.
func slowness(factor float64) float64 {
	if !(factor > 0) {
		return 1
	}
	return min(max(factor, 1.0/maxSlowness), maxSlowness)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// Rank returns the terms of all upstreams, the chosen one first. random returns numbers in
// [0, 1).
func Rank(r Request, upstreams []Upstream, random func() float64) []Terms {
	ranking := make([]Terms, len(upstreams))
	for i, u := range upstreams {
		ranking[i] = Evaluate(r, u, random())
	}
	slices.SortStableFunc(ranking, func(a, b Terms) int { return cmp.Compare(a.Score(), b.Score()) })
	return ranking
}
