package batch

import "time"

// RunView is what the decision on a running item knows.
type RunView struct {
	Begun    time.Time // when it was sent
	LastSign time.Time // of the newest event, or Begun
	Events   int       // of this run
	// Own and Usual are the believed times an event at the item's engine and at
	// the median one of its service; 0 when unknown.
	Own, Usual time.Duration
	// LeftEvents is the expected number of events to come.
	LeftEvents int
	Free       bool // an engine that is faster by slowRatio has room
	Moves      int  // times the item was moved already
}

// Limits of the decision.
const (
	// firstSign is how long an engine may take to the first event when it was
	// chosen with a free slot: a prompt is read in some tens of milliseconds.
	firstSign = 700 * time.Millisecond
	// silentEvents and leastSilence bound the silence between events: an engine
	// that was preempted or swaps weights is silent for a while.
	silentEvents = 12
	leastSilence = 1200 * time.Millisecond
	// slowRatio is how much slower than usual an engine must be to move its
	// items. Reading a prompt and the text again costs some tens of
	// milliseconds, so little is needed.
	slowRatio = 1.7
	// leastEvents is how many events of a run must be seen before its pace counts:
	// the first ones are slow while the prompts of others are read.
	leastEvents = 6
	// leastGain is the time that a move must save to be worth a prefill.
	leastGain = 300 * time.Millisecond
	// maxMoves bounds the moves of one item.
	maxMoves = 6
)

// Reason says why a run is moved.
type Reason string

// The reasons.
const (
	Stay   Reason = ""
	Silent Reason = "silent"
	Slow   Reason = "slow"
)

// ShouldMove decides whether an item goes on at another engine. Load pattern: one
// engine turns slow or dark while it holds the longest items of a step.
func ShouldMove(v RunView, now time.Time) Reason {
	if v.Moves >= maxMoves {
		return Stay
	}
	silence := now.Sub(v.LastSign)
	limit := max(leastSilence, silentEvents*v.Own)
	if v.Events == 0 {
		limit = firstSign << v.Moves
	}
	if silence > limit {
		return Silent
	}
	if v.Events < leastEvents || !v.Free || v.Own == 0 || v.Usual == 0 {
		return Stay
	}
	gain := time.Duration(v.LeftEvents) * (v.Own - v.Usual)
	if float64(v.Own) > slowRatio*float64(v.Usual) && gain > leastGain {
		return Slow
	}
	return Stay
}
