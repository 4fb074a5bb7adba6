package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pomelocross/pomelocross/upstream"
)

// Swap is the decision to load a weight version on an engine.
type Swap struct {
	Upstream      string
	Address       string
	Model         string
	WeightVersion int64
}

// SwapLimits limit the weight loads in one failure domain.
type SwapLimits struct {
	// CompleteWithin is the target time from the publication of a version until
	// the last engine runs it.
	CompleteWithin time.Duration
	// MaxShare is the share of the engines that may load at once.
	MaxShare float64
	// RetryDelay is the delay before the next order to an engine that did not
	// start or finish a load; it doubles up to MaxRetryDelay.
	RetryDelay    time.Duration
	MaxRetryDelay time.Duration
}

// DefaultSwapLimits returns the default limits.
func DefaultSwapLimits() SwapLimits {
	return SwapLimits{CompleteWithin: 9 * time.Second, MaxShare: 0.5, RetryDelay: time.Second, MaxRetryDelay: 30 * time.Second}
}

const (
	// reportLag is the time until a change at an engine appears in its load report.
	reportLag = time.Second
	// initialLoadTime is the assumed load time before the first observed load.
	initialLoadTime = 2 * time.Second
	// loadTimeSmoothing is the smoothing factor of the moving average of load times.
	loadTimeSmoothing = 0.3
)

// Swapper decides which engines of one service in one failure domain load new
// weights. The version that an engine reports takes precedence over what was
// ordered.
type Swapper struct {
	limits      SwapLimits
	model       string
	wanted      int64
	wantedSince time.Time // when the wanted version was first seen
	loadTime    time.Duration
	store       storeEstimate
	engines     map[string]*swapState
}

// swapState is the swapper's state for one engine.
type swapState struct {
	orderedAt  time.Time // zero if no order is pending
	loadStart  time.Time // when the load in progress was ordered; zero if none is reported
	concurrent int       // unavailable engines when it was ordered; 0 if the start of the load is not known
	retryAt    time.Time // earliest time of the next order
	failures   int       // consecutive orders without effect
}

// NewSwapper returns a Swapper without a wanted version.
func NewSwapper(limits SwapLimits) *Swapper {
	return &Swapper{limits: limits, loadTime: initialLoadTime, engines: map[string]*swapState{}}
}

// Next returns the swaps to order at now. It keeps as few engines unavailable at
// once as suffices for all to run the wanted version in time. Engines with the
// fewest failures, then with the fewest running requests come first.
func (s *Swapper) Next(all []upstream.Upstream, model string, wanted int64, now time.Time) []Swap {
	if wanted > s.wanted || model != s.model {
		s.setWanted(model, wanted, now)
	}
	engines := notLeaving(all)
	s.prune(all)
	var behind []upstream.Upstream
	unavailable := 0
	for _, e := range engines {
		switch s.classify(e, now) {
		case engineUnavailable:
			unavailable++
		case engineBehind:
			behind = append(behind, e)
		}
	}
	slots := s.concurrency(len(engines), len(behind)+unavailable, now) - unavailable
	slices.SortFunc(behind, func(a, b upstream.Upstream) int {
		return cmp.Or(s.engines[a.Name].failures-s.engines[b.Name].failures, a.Load.Running-b.Load.Running, cmp.Compare(a.Name, b.Name))
	})
	selected := behind[:min(len(behind), max(0, slots))]
	return s.issue(selected, unavailable+len(selected), now)
}

// setWanted sets a new wanted version or model and clears all orders and retry
// delays, so that every engine may be ordered immediately.
func (s *Swapper) setWanted(model string, wanted int64, now time.Time) {
	s.model, s.wanted, s.wantedSince = model, wanted, now
	for _, e := range s.engines {
		if e.loadStart.IsZero() {
			e.concurrent = 0
		}
		*e = swapState{loadStart: e.loadStart, concurrent: e.concurrent}
	}
}

// prune removes engines that are no longer listed.
func (s *Swapper) prune(all []upstream.Upstream) {
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

// engineState classifies an engine for one decision.
type engineState int

const (
	engineCurrent     engineState = iota
	engineUnavailable             // is loading, or was ordered and has not reported since
	engineBehind                  // may be ordered now
	engineBackoff                 // is behind, but waits for its retry delay
)

// classify updates the state of an engine from its load report and classifies it.
func (s *Swapper) classify(e upstream.Upstream, now time.Time) engineState {
	state := s.engines[e.Name]
	if state == nil {
		state = &swapState{}
		s.engines[e.Name] = state
	}
	current := e.Load.WeightVersion >= s.wanted || e.Load.WeightVersion == 0
	if e.Load.Model != "" && e.Load.Model != s.model {
		current = false
	}
	switch {
	case e.Load.Loading > 0:
		if state.loadStart.IsZero() {
			state.loadStart = cmp.Or(state.orderedAt, now)
		}
		return engineUnavailable
	case current:
		s.recordLoad(state, now)
		*state = swapState{}
		return engineCurrent
	case s.awaitingReport(state, now):
		return engineUnavailable
	}
	s.recordFailure(state, now)
	if now.Before(state.retryAt) {
		return engineBackoff
	}
	return engineBehind
}

// awaitingReport reports whether the engine's load report may not show the effect of
// its order yet.
func (s *Swapper) awaitingReport(state *swapState, now time.Time) bool {
	return !state.orderedAt.IsZero() && state.loadStart.IsZero() && now.Sub(state.orderedAt) < reportLag
}

// recordFailure records an order that had no effect, regardless of the engine's
// response.
func (s *Swapper) recordFailure(state *swapState, now time.Time) {
	if state.orderedAt.IsZero() {
		state.loadStart = time.Time{} // belongs to the load of an earlier version
		return
	}
	delay := s.limits.RetryDelay << min(state.failures, 16)
	state.retryAt = now.Add(min(delay, s.limits.MaxRetryDelay))
	state.failures++
	state.orderedAt, state.loadStart, state.concurrent = time.Time{}, time.Time{}, 0
}

// recordLoad updates the estimates with a finished load, unless its start is not known.
//
// Load pattern: the load reports of a busy instance are late, so that loads are reported
// when they are nearly done. The duration of a load is measured from its order: measured
// from its first report it would be a fraction of the fastest possible load, and every
// later load would seem to be slowed by the weight store.
func (s *Swapper) recordLoad(state *swapState, now time.Time) {
	if state.loadStart.IsZero() || state.concurrent == 0 {
		return
	}
	took := float64(now.Sub(state.loadStart))
	s.loadTime = time.Duration((1-loadTimeSmoothing)*float64(s.loadTime) + loadTimeSmoothing*took)
	s.store.observe(now.Sub(state.loadStart), state.concurrent)
}

// concurrency returns how many of n engines may load at once when outstanding of
// them do not run the wanted version yet: the number that completes in the
// remaining time, but at least one and no more than MaxShare and the capacity of
// the weight store allow. If too little time remains, it returns that maximum.
func (s *Swapper) concurrency(n, outstanding int, now time.Time) int {
	limit := max(1, int(float64(n)*s.limits.MaxShare))
	limit = s.store.limit(limit)
	remaining := s.limits.CompleteWithin - reportLag - now.Sub(s.wantedSince)
	rounds := math.Floor(float64(remaining) / float64(s.loadTime+reportLag/2))
	if rounds < 1 {
		return limit
	}
	return min(limit, int(math.Ceil(float64(outstanding)/rounds)))
}

// issue records an order for each of the engines and returns the swaps.
func (s *Swapper) issue(engines []upstream.Upstream, unavailable int, now time.Time) []Swap {
	swaps := make([]Swap, 0, len(engines))
	for _, e := range engines {
		state := s.engines[e.Name]
		state.orderedAt, state.concurrent = now, unavailable
		if state.failures > 0 {
			state.concurrent = 0 // an earlier order may have started the load
		}
		swaps = append(swaps, Swap{Upstream: e.Name, Address: e.Address, Model: s.model, WeightVersion: s.wanted})
	}
	return swaps
}
