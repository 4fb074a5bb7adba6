package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pomelocross/pomelocross/upstream"
)

// Swap is the decision that an engine shall load a weight version.
type Swap struct {
	Upstream      string
	Address       string
	Model         string
	WeightVersion int64
}

// SwapLimits bound the loading of weights in one domain.
type SwapLimits struct {
	// Within is the time from the naming of a version to the last engine that
	// runs it.
	Within time.Duration
	// MaxShare is the part of the engines that may load at once.
	MaxShare float64
	// Retry is the pause before an engine that did not begin or finish to load
	// is ordered again; it doubles up to MaxRetry.
	Retry    time.Duration
	MaxRetry time.Duration
}

// DefaultSwapLimits returns the limits in use.
func DefaultSwapLimits() SwapLimits {
	return SwapLimits{Within: 9 * time.Second, MaxShare: 0.5, Retry: time.Second, MaxRetry: 30 * time.Second}
}

const (
	// reportLag is the time between a change at an engine and the decision that
	// knows of it.
	reportLag = time.Second
	// firstLoadTime is assumed until a load was seen.
	firstLoadTime = 2 * time.Second
	// loadTimeWeight is the weight of the newest load in the mean.
	loadTimeWeight = 0.3
)

// Swapper remembers what was ordered and seen of the engines of one service in
// one domain. What an engine says it runs is believed over what was ordered.
type Swapper struct {
	limits   SwapLimits
	model    string
	wanted   int64
	named    time.Time // when wanted was first seen
	loadTime time.Duration
	store    storeEstimate
	engines  map[string]*swapState
}

// swapState is what is remembered of one engine.
type swapState struct {
	ordered time.Time // zero when no order is open
	began   time.Time // when it was first seen loading
	among   int       // engines away when it was ordered
	again   time.Time // no order before
	failed  int       // orders in a row without effect
}

// NewSwapper returns a Swapper that has seen nothing.
func NewSwapper(limits SwapLimits) *Swapper {
	return &Swapper{limits: limits, loadTime: firstLoadTime, engines: map[string]*swapState{}}
}

// Next returns the engines to order at now so that all run wanted in time with
// as few away at once as that takes. The idlest engines come first.
func (s *Swapper) Next(all []upstream.Upstream, model string, wanted int64, now time.Time) []Swap {
	if wanted > s.wanted || model != s.model {
		s.name(model, wanted, now)
	}
	engines := staying(all)
	s.forget(all)
	var behind []upstream.Upstream
	away := 0
	for _, e := range engines {
		switch s.look(e, now) {
		case engineAway:
			away++
		case engineBehind:
			behind = append(behind, e)
		}
	}
	room := s.concurrency(len(engines), len(behind)+away, now) - away
	slices.SortFunc(behind, func(a, b upstream.Upstream) int {
		return cmp.Or(s.engines[a.Name].failed-s.engines[b.Name].failed, a.Load.Running-b.Load.Running, cmp.Compare(a.Name, b.Name))
	})
	chosen := behind[:min(len(behind), max(0, room))]
	return s.order(chosen, away+len(chosen), now)
}

// name takes in a new wanted version or model: every engine may be ordered at
// once.
func (s *Swapper) name(model string, wanted int64, now time.Time) {
	s.model, s.wanted, s.named = model, wanted, now
	for _, e := range s.engines {
		*e = swapState{began: e.began, among: e.among}
	}
}

// forget drops engines that are no longer listed.
func (s *Swapper) forget(all []upstream.Upstream) {
	listed := make(map[string]bool, len(all))
	for _, e := range all {
		listed[e.Name] = true
	}
	for name := range s.engines {
		if !listed[name] {
			delete(s.engines, name)
		}
	}
}

// engineState is what an engine counts as in one decision.
type engineState int

const (
	engineCurrent engineState = iota
	engineAway                // loads, or was ordered and has not been heard of since
	engineBehind              // may be ordered now
	engineWaits               // is behind, but failed too lately
)

// look takes in an engine's load report.
func (s *Swapper) look(e upstream.Upstream, now time.Time) engineState {
	state := s.engines[e.Name]
	if state == nil {
		state = &swapState{}
		s.engines[e.Name] = state
	}
	running := e.Load.WeightVersion >= s.wanted || e.Load.WeightVersion == 0
	if e.Load.Model != "" && e.Load.Model != s.model {
		running = false
	}
	switch {
	case e.Load.Loading > 0:
		if state.began.IsZero() {
			state.began = now
		}
		return engineAway
	case running:
		s.learn(state, now)
		*state = swapState{}
		return engineCurrent
	case s.open(state, now):
		return engineAway
	}
	s.settleFailed(state, now)
	if now.Before(state.again) {
		return engineWaits
	}
	return engineBehind
}

// open reports whether an order may still show in the next reports.
func (s *Swapper) open(state *swapState, now time.Time) bool {
	return !state.ordered.IsZero() && state.began.IsZero() && now.Sub(state.ordered) < reportLag
}

// settleFailed counts an order that had no effect, whatever the engine answered.
func (s *Swapper) settleFailed(state *swapState, now time.Time) {
	if state.ordered.IsZero() {
		state.began = time.Time{} // of an earlier version's load
		return
	}
	pause := s.limits.Retry << min(state.failed, 16)
	state.again = now.Add(min(pause, s.limits.MaxRetry))
	state.failed++
	state.ordered, state.began = time.Time{}, time.Time{}
}

// learn takes a finished load into the mean.
func (s *Swapper) learn(state *swapState, now time.Time) {
	if state.began.IsZero() {
		return
	}
	seen := float64(now.Sub(state.began))
	s.loadTime = time.Duration((1-loadTimeWeight)*float64(s.loadTime) + loadTimeWeight*seen)
	s.store.learn(now.Sub(state.began), state.among)
}

// concurrency returns how many of n engines may load at once when left of them
// have yet to finish: as many as finish in the time that is left, at least one,
// and never more than the limit or than the weight store carries.
func (s *Swapper) concurrency(n, left int, now time.Time) int {
	most := max(1, int(float64(n)*s.limits.MaxShare))
	most = s.store.limit(most)
	remaining := s.limits.Within - reportLag - now.Sub(s.named)
	rounds := math.Floor(float64(remaining) / float64(s.loadTime+reportLag/2))
	if rounds < 1 {
		return most
	}
	return min(most, int(math.Ceil(float64(left)/rounds)))
}

func (s *Swapper) order(engines []upstream.Upstream, away int, now time.Time) []Swap {
	swaps := make([]Swap, 0, len(engines))
	for _, e := range engines {
		s.engines[e.Name].ordered, s.engines[e.Name].among = now, away
		swaps = append(swaps, Swap{Upstream: e.Name, Address: e.Address, Model: s.model, WeightVersion: s.wanted})
	}
	return swaps
}
