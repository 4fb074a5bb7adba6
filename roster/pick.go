package roster

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/pomelocross/pomelocross/placement"
)

// Need describes what a request requires of an upstream.
type Need struct {
	Service string
	Model   string // empty for requests that don't name a model
	// MinVersion is the oldest acceptable weight version.
	MinVersion int64
	Memory     Memory
	Events     int // expected number of stream events; 0 means defaultEvents
	// Work is the predicted work. It decides where upstreams are chosen by predicted
	// completion.
	Work     Work
	KVTokens int // KV cache memory of one engine, in tokens; 0 means no limit
	Domain   string
	// Overflow allows choosing an upstream without a free slot, where the request
	// then waits. Rollout items wait at this instance instead, where they can still
	// be reordered.
	Overflow bool
	// ReservedSlots is the number of slots that must stay free besides that of the
	// request. It has no effect with Overflow.
	ReservedSlots int
	// Avoid holds the IDs of upstreams not to choose, such as those already tried.
	Avoid map[string]bool
}

// Choice is the picked upstream.
type Choice struct {
	Entry
	// Version is the last known weight version of the requested model.
	Version int64
	// Terms are the reasons of a choice by predicted completion; nil for one by slots.
	Terms *placement.Terms
	// Work is the predicted time of the request at the median upstream; 0 for a choice by
	// slots.
	Work time.Duration
}

// loadMaxAge is how long a reported load of other instances is taken into account.
const loadMaxAge = time.Second

// Pick returns the eligible upstream with the lowest score: by predicted completion where
// PlacesByCompletion says so, elsewhere by slots in use and event intervals. Scores include random
// jitter.
//
// Load pattern: several instances without a shared queue start the items of a training
// step at the same moment. The reported load of other instances and the jitter keep
// them from all choosing the same upstream.
func (r *Roster) Pick(n Need, now time.Time) (Choice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n.Events == 0 {
		n.Events = defaultEvents
	}
	if r.PlacesByCompletion(n.Service, now) {
		return r.pickByCompletion(n, now)
	}
	best := r.pickLocked(n, now)
	if best == nil {
		return Choice{}, false
	}
	return Choice{Entry: best.Entry, Version: best.Models[n.Model]}, true
}

// pickByCompletion returns the eligible upstream with the lowest score of package
// placement. The caller must hold mu.
func (r *Roster) pickByCompletion(n Need, now time.Time) (Choice, bool) {
	ranking, request := r.rankLocked(n, now)
	if len(ranking) == 0 {
		return Choice{}, false
	}
	terms := ranking[0] // a copy, since the choice outlives the ranking
	best := r.states[terms.Upstream]
	return Choice{Entry: best.Entry, Version: best.Models[n.Model], Terms: &terms, Work: request.Own.Mean}, true
}

// pickLocked returns the eligible upstream with the lowest score, or nil. The caller
// must hold mu.
func (r *Roster) pickLocked(n Need, now time.Time) *state {
	var best *state
	bestScore, medianInterval := 0.0, r.pace.MedianEvent(n.Service, now)
	for _, s := range r.states {
		if !r.canTake(s, n, now) {
			continue
		}
		score := s.score(n, medianInterval, now)
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// isEligible reports whether the upstream can take the request now.
func (s *state) isEligible(n Need, now time.Time) bool {
	switch {
	case s.Service != n.Service, !s.Ready, n.Avoid[s.ID], now.Before(s.unavailableUntil):
		return false
	case n.Model != "" && s.Models[n.Model] < n.MinVersion:
		return false
	case n.Model != "" && now.Before(s.blockedUntil[n.Model]):
		return false
	case !n.Overflow && s.Slots > 0 && s.estimatedRequests(now)+n.ReservedSlots >= s.Slots:
		return false
	}
	return s.hasMemory(n.Memory, n.KVTokens)
}

// estimatedRequests returns the estimated number of requests at the upstream: those of
// this instance and, while the last reports are recent, those of others.
func (s *state) estimatedRequests(now time.Time) int { return s.ownRequests + s.foreignRequests(now) }

// Terms of the score, in units of the fraction of an upstream's slots in use.
const (
	// otherDomainCost is added for an upstream in another failure domain. The
	// instance's own domain wins among upstreams of similar load.
	otherDomainCost = 0.05
	// jitter is the maximum of a random term that spreads choices among upstreams of
	// similar score.
	jitter = 0.04
	// costPerSecond is added per second of the stream's expected duration. Long streams
	// avoid a slow upstream at any load; short ones use its free slots.
	costPerSecond = 1.0
	// newerVersionCost is added for an upstream with newer weights than required.
	// Items of the next training step may have no other upstream.
	newerVersionCost = 0.4
	// coldStartCost is added for an upstream that is still slow after its start.
	coldStartCost = 0.5
)

// score returns the cost of the request at the upstream; lower is better.
// medianInterval stands in for an unknown event interval.
func (s *state) score(n Need, medianInterval time.Duration, now time.Time) float64 {
	score := float64(s.estimatedRequests(now))/float64(max(1, s.Slots)) + jitter*rand.Float64()
	if s.Domain != n.Domain {
		score += otherDomainCost
	}
	if s.Cold > 0 {
		score += coldStartCost
	}
	if n.MinVersion > 0 && s.Models[n.Model] > n.MinVersion {
		score += newerVersionCost
	}
	interval := cmp.Or(s.interval.value(now), medianInterval)
	return score + costPerSecond*(time.Duration(n.Events)*interval).Seconds()
}

// defaultEvents is a typical number of events of a stream.
const defaultEvents = 20

// HasFaster reports whether another eligible upstream has an event interval shorter
// than that of upstream id divided by ratio. It also returns true if id is not in the
// roster. An upstream with unknown interval counts as faster than one with a known
// interval.
func (r *Roster) HasFaster(n Need, id string, ratio float64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.states[id]
	if current == nil {
		return true
	}
	limit := float64(current.interval.value(now)) / ratio
	for _, s := range r.states {
		if s.ID != id && r.canTake(s, n, now) && float64(s.interval.value(now)) < limit {
			return true
		}
	}
	return false
}
