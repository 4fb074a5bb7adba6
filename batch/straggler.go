package batch

import "time"

// AttemptStatus is the state of a running attempt that ShouldMove decides on.
type AttemptStatus struct {
	Started      time.Time // when the item was sent
	LastActivity time.Time // time of the last event, or Started before the first
	Events       int       // events received in this attempt
	// EventInterval and TypicalInterval are the estimated times between events on the
	// item's engine and on the median engine of its service; 0 if unknown.
	EventInterval, TypicalInterval time.Duration
	// RemainingEvents is the expected number of further events.
	RemainingEvents int
	FasterAvailable bool // an engine that is faster by slowRatio has capacity
	// EngineActivity is the time of the last event of any item on the item's engine;
	// zero if there was none.
	EngineActivity time.Time
	FreeElsewhere  bool // another engine has capacity
	Moves          int  // number of earlier moves of the item
}

// Thresholds of ShouldMove.
const (
	// firstEventTimeout is how long an engine with a free slot may take to send the
	// first event. Reading a prompt takes some tens of milliseconds.
	firstEventTimeout = 700 * time.Millisecond
	// maxIdleIntervals, in multiples of the engine's event interval, limits the time
	// between events, but not below minIdleTimeout. An engine that was preempted or
	// swaps weights pauses for a while.
	maxIdleIntervals = 12
	minIdleTimeout   = 1200 * time.Millisecond
	// minEngineIdleTimeout applies instead of minIdleTimeout if the engine has sent no
	// event of any other item either. A preempted item pauses alone.
	minEngineIdleTimeout = 600 * time.Millisecond
	// slowRatio is the ratio of an engine's event interval to the typical interval above
	// which its items are moved. It can be low, since reading the prompt and the
	// generated text again takes only some tens of milliseconds.
	slowRatio = 1.7
	// minIntervalEvents is the number of events of an attempt from which its event
	// interval is considered. The first events are slow while the engine reads other
	// prompts.
	minIntervalEvents = 6
	// minGain is the time that a move must save to be worth another prefill.
	minGain = 300 * time.Millisecond
	// maxMoves limits the number of moves of one item to a faster engine. An item leaves an
	// unresponsive engine after any number of moves, but then waits longer for it.
	maxMoves          = 6
	patientMultiplier = 4
	// maxQueueTime is how long an item may wait in the queue of an engine that sends
	// events of other items. It bounds the delay if the engine has lost the item.
	maxQueueTime = 5 * time.Second
)

// MoveReason is the reason for moving an item to another engine.
type MoveReason string

// The reasons for a move; Stay means that the item is not moved.
const (
	Stay         MoveReason = ""
	Unresponsive MoveReason = "silent"
	Slow         MoveReason = "slow"
	Queued       MoveReason = "queued" // the item waits in the queue of a full engine
)

// pauseThreshold is the time between two checks for stragglers above which this instance
// itself was paused, for example because its machine was suspended.
const pauseThreshold = 5 * stragglerInterval

// resumeTime returns the time since which missing events can be the engines' fault: the
// time of this check if the instance was paused before it, otherwise the last one known.
//
// Load pattern: an instance with hundreds of running items is paused for a second or more
// and then finds that none of them had an event.
func resumeTime(lastCheck, resumed, now time.Time) time.Time {
	if !lastCheck.IsZero() && now.Sub(lastCheck) > pauseThreshold {
		return now
	}
	return resumed
}

// ShouldMove decides whether an item is moved to another engine.
//
// Load pattern: an engine becomes slow or unresponsive while it runs the longest items
// of a step. Several instances fill the same engines, so that items wait in the queue of
// an engine that runs others; such an engine is neither slow nor unresponsive.
func ShouldMove(status AttemptStatus, now time.Time) MoveReason {
	idle := now.Sub(status.LastActivity)
	if status.Events == 0 {
		return shouldMoveUnstarted(status, idle, now)
	}
	idleTimeout := minIdleTimeout
	if now.Sub(status.EngineActivity) > minEngineIdleTimeout {
		idleTimeout = minEngineIdleTimeout
	}
	idleTimeout = max(idleTimeout, maxIdleIntervals*status.EventInterval)
	if status.Moves >= maxMoves {
		idleTimeout *= patientMultiplier
	}
	if idle > idleTimeout {
		return Unresponsive
	}
	if status.Moves >= maxMoves || status.Events < minIntervalEvents || !status.FasterAvailable || status.EventInterval == 0 || status.TypicalInterval == 0 {
		return Stay
	}
	gain := time.Duration(status.RemainingEvents) * (status.EventInterval - status.TypicalInterval)
	if float64(status.EventInterval) > slowRatio*float64(status.TypicalInterval) && gain > minGain {
		return Slow
	}
	return Stay
}

// shouldMoveUnstarted decides on an item of which no event has arrived for idle.
func shouldMoveUnstarted(status AttemptStatus, idle time.Duration, now time.Time) MoveReason {
	if idle <= firstEventTimeout<<min(status.Moves, maxMoves) {
		return Stay
	}
	engineActive := now.Sub(status.EngineActivity) <= firstEventTimeout
	switch {
	case !engineActive, idle > maxQueueTime:
		return Unresponsive
	case status.FreeElsewhere:
		return Queued
	}
	return Stay
}
