package batch

import (
	"cmp"
	"slices"
	"time"
)

// AttemptStatus is the state of a running attempt that ShouldMove decides on.
type AttemptStatus struct {
	Started      time.Time // when the item was sent
	LastActivity time.Time // time of the last event, or Started before the first
	Events       int       // events received in this attempt
	// EventInterval and TypicalInterval are the estimated times between events on the
	// item's engine and on the median engine of its service; 0 if unknown.
	EventInterval, TypicalInterval time.Duration
	// Samples is the number of time windows behind EventInterval.
	Samples int
	// PlaceInterval is the estimated time between events on the engine that would take the
	// item now; 0 if none would.
	PlaceInterval time.Duration
	// Uneven is true if the engines of the service differ lastingly or state the slowness of
	// their machines.
	Uneven bool
	// RemainingEvents is the expected number of further events.
	RemainingEvents int
	// EngineActivity is the time of the last event of any item on the item's engine;
	// zero if there was none.
	EngineActivity time.Time
	FreeElsewhere  bool // another engine has capacity
	// Required is true if the item's group is among those that the trainer waits for.
	Required bool
	// Horizon is the time after which the groups that the trainer waits for could be
	// complete. Until then, the item delays nothing.
	Horizon time.Duration
	Moves   int // number of earlier moves of the item
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
	// slowRatio is the ratio of an engine's event interval to the typical interval, and to
	// that of the engine that would take the item, above which its items are moved. It can be
	// low, since reading the prompt and the generated text again takes only some tens of
	// milliseconds.
	slowRatio = 1.7
	// unevenSlowRatio applies instead where engines differ lastingly.
	unevenSlowRatio = 1.4
	// minIntervalSamples is the number of time windows from which an event interval is
	// considered. A disturbance of a shared machine takes less than half of them.
	minIntervalSamples = 8
	// minIntervalEvents is the number of events of an attempt from which its event
	// interval is considered. The first events are slow while the engine reads other
	// prompts.
	minIntervalEvents = 6
	// minGain is the time that a move must save to be worth another prefill, which also
	// delays the items of the engine that takes the item.
	minGain = 300 * time.Millisecond
	// horizonShare is the share of the time that the longest item still takes by which the
	// others should be complete. The numbers of remaining events are uncertain.
	horizonShare = 0.75
	// minGainShare is the share of the remaining time on the other engine that a move must
	// save too. The number of remaining events is uncertain.
	minGainShare = 0.2
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
	if status.Moves < maxMoves && isSlow(status) {
		return Slow
	}
	return Stay
}

// isSlow reports whether a move to the engine that would take the item saves more than it
// costs.
//
// Load pattern: engines work lastingly at 0.7 to 1.7 times the usual time, and at 2.5 times
// of that for fractions of a second; a few are 3 to 5 times as slow for seconds.
func isSlow(status AttemptStatus) bool {
	if !status.Required || status.Events < minIntervalEvents || status.Samples < minIntervalSamples || status.TypicalInterval == 0 || status.PlaceInterval == 0 {
		return false
	}
	ratio := slowRatio
	if status.Uneven {
		ratio = unevenSlowRatio
	}
	if float64(status.EventInterval) <= ratio*float64(max(status.TypicalInterval, status.PlaceInterval)) {
		return false
	}
	required := minGain + time.Duration(minGainShare*float64(status.RemainingEvents)*float64(status.PlaceInterval))
	return status.Gain() > required
}

// Gain returns the time that a move to the engine that would take the item saves its batch.
func (s AttemptStatus) Gain() time.Duration {
	remaining := time.Duration(s.RemainingEvents)
	late := remaining*s.EventInterval - time.Duration(horizonShare*float64(s.Horizon))
	return min(remaining*(s.EventInterval-s.PlaceInterval), late)
}

// remainingGroup is the remaining work of a group.
type remainingGroup struct {
	name        string
	events      int // remaining events of its longest item
	resubmitted bool
}

// requiredGroups returns the groups that the trainer waits for, of which desired must be
// complete, and the remaining events of the longest of their items. All groups count if
// desired is 0.
//
// Load pattern: the last items of a step run on slow engines while most others are complete.
// Only a few of them delay the step; a move of the others would take places from items that
// wait.
func requiredGroups(groups []remainingGroup, desired int) (required map[string]bool, events int) {
	if desired == 0 {
		desired = len(groups)
	}
	slices.SortStableFunc(groups, func(a, b remainingGroup) int {
		return cmp.Or(compareBool(b.resubmitted, a.resubmitted), cmp.Compare(a.events, b.events))
	})
	required = map[string]bool{}
	for i, g := range groups {
		if i < desired || g.resubmitted {
			required[g.name] = true
			events = max(events, g.events)
		}
	}
	return required, events
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
