package room

import "time"

const (
	// yieldMargin is by how much work of others must be more urgent to be ahead. Slacks are
	// estimates, and those of others are as old as their reports.
	yieldMargin = 300 * time.Millisecond
	// patience is how long a place is left free for others. A report and the start that it
	// allows take less.
	patience = 150 * time.Millisecond
	// minYieldPause is how long an owner leaves no place to others after none has taken
	// one. It doubles with each such wait, up to maxYieldPause.
	minYieldPause = 500 * time.Millisecond
	maxYieldPause = 4 * time.Second
)

// Yield decides whether an owner leaves free places to other owners whose work is more
// urgent. The zero value is ready for use.
type Yield struct {
	free     int           // places when the current wait began
	since    time.Time     // begin of the current wait; zero while the owner does not yield
	resumeAt time.Time     // earliest begin of the next wait
	pause    time.Duration // after the last wait in which no place was taken
}

// MayStart reports whether the owner may start work with a slack of own on one of free
// places. others is the work of other owners that waits for the same places.
//
// Load pattern: after a failure a third of the work has room, and the steps of one owner have
// slack while those of another are late. The work of others that is ahead takes places first.
// Both may see each other ahead, or the other may be gone: a place that is not taken within
// patience is used by the owner that sees it.
func (y *Yield) MayStart(own time.Duration, others []Waiting, free int, now time.Time) bool {
	ahead := Ahead(own, others)
	switch {
	case ahead == 0, ahead < free:
		return true
	case now.Before(y.resumeAt):
		return true
	case y.since.IsZero():
		y.since = now
	case free < y.free:
		y.since, y.pause = now, 0
	case now.Sub(y.since) >= patience:
		y.pause = min(maxYieldPause, max(minYieldPause, 2*y.pause))
		y.since, y.resumeAt = time.Time{}, now.Add(y.pause)
		return true
	}
	y.free = free
	return false
}

// Yielding reports whether the owner leaves a place free.
func (y *Yield) Yielding() bool { return !y.since.IsZero() }

// Stop ends the wait, since no work of others is ahead any more.
func (y *Yield) Stop() { y.since = time.Time{} }

// Ahead returns the number of items of others that go before work with a slack of own.
func Ahead(own time.Duration, others []Waiting) int {
	n := 0
	for _, w := range others {
		ahead := 0
		for _, slack := range w.Slacks {
			if time.Duration(slack)*time.Millisecond+yieldMargin < own {
				ahead++
			}
		}
		if ahead > 0 {
			n += (ahead*w.Needed + len(w.Slacks) - 1) / len(w.Slacks)
		}
	}
	return n
}
