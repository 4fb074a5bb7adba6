package roster

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Need is what a request asks of an upstream.
type Need struct {
	Service string
	Model   string // empty for plain requests
	// MinVersion is the oldest weight version that may answer.
	MinVersion int64
	Memory     Memory
	Events     int // of a stream, expected to come; usualEvents where it is 0
	KVTokens   int // memory of one engine, in tokens; 0 is unbounded
	Domain     string
	// Overflow allows a request beyond an upstream's slots, which then queues
	// there. Rollout items wait here instead, where order can still change.
	Overflow bool
	// Avoid lists upstreams not to be chosen, such as those tried before.
	Avoid map[string]bool
}

// Choice is the picked upstream.
type Choice struct {
	Entry
	// Version is the weight version that it is believed to serve.
	Version int64
}

// loadKept is how long the load that other instances put on an upstream is
// believed after it was reported.
const loadKept = time.Second

// Pick returns the best upstream for a need: filters first, then the least
// score, ties by lot. Load pattern: several instances without a shared queue
// start a step's items at the same moment; believed load of others and the lot
// keep them from the same upstream.
func (r *Roster) Pick(n Need, now time.Time) (Choice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n.Events == 0 {
		n.Events = usualEvents
	}
	best := r.best(n, now)
	if best == nil {
		return Choice{}, false
	}
	return Choice{Entry: best.Entry, Version: best.Models[n.Model]}, true
}

func (r *Roster) best(n Need, now time.Time) *state {
	var best *state
	least, usual := 0.0, r.usual(n.Service, now)
	for _, s := range r.states {
		if !s.fits(n, now) {
			continue
		}
		score := s.score(n, usual, now)
		if best == nil || score < least {
			best, least = s, score
		}
	}
	return best
}

// fits is the filter.
func (s *state) fits(n Need, now time.Time) bool {
	switch {
	case s.Service != n.Service, !s.Ready, n.Avoid[s.ID], now.Before(s.shut):
		return false
	case n.Model != "" && s.Models[n.Model] < n.MinVersion:
		return false
	case n.Model != "" && now.Before(s.blocks[n.Model]):
		return false
	case !n.Overflow && s.Slots > 0 && s.busy(now) >= s.Slots:
		return false
	}
	return s.room(n.Memory, n.KVTokens)
}

// busy is the believed number of requests at the upstream.
func (s *state) busy(now time.Time) int {
	if now.Sub(s.loadAt) > loadKept {
		return s.mine
	}
	return s.mine + s.others
}

// Weights of a score, in shares of an upstream's slots.
const (
	// otherDomain is what a way to another failure domain costs: a choice in the
	// own domain wins among upstreams of like load.
	otherDomain = 0.05
	// lot spreads choices among upstreams of like score.
	lot = 0.04
	// slowness is what a second of the stream's expected time costs: long streams
	// avoid a slow upstream at any load, short ones take its free slots.
	slowness = 1.0
	// newer is what weights cost that are newer than needed: items of the next step
	// may be able to run nowhere else.
	newer = 0.4
	// cold is what a start that is not over costs.
	cold = 0.5
)

// score returns what a request costs at the upstream. usual is the pace of one whose
// own is not known.
func (s *state) score(n Need, usual time.Duration, now time.Time) float64 {
	score := float64(s.busy(now))/float64(max(1, s.Slots)) + lot*rand.Float64()
	if s.Domain != n.Domain {
		score += otherDomain
	}
	if s.Cold > 0 {
		score += cold
	}
	if n.MinVersion > 0 && s.Models[n.Model] > n.MinVersion {
		score += newer
	}
	pace := cmp.Or(s.pace.value(now), usual)
	return score + slowness*(time.Duration(n.Events)*pace).Seconds()
}

// usualEvents is about how many events a stream has.
const usualEvents = 20

// Faster reports whether an upstream that suits a need has room and is believed
// faster than one by a ratio.
func (r *Roster) HasFaster(n Need, than string, ratio float64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	slow := r.states[than]
	if slow == nil {
		return true
	}
	limit := float64(slow.pace.value(now)) / ratio
	for _, s := range r.states {
		if s.ID != than && s.fits(n, now) && float64(s.pace.value(now)) < limit {
			return true
		}
	}
	return false
}
