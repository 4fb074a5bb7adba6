package boottime

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// wallInterval is how often Wall compares the system's time of day with the time
	// since boot.
	wallInterval = 500 * time.Millisecond
	// maxWallSlew is the largest change of their difference between two comparisons
	// that counts as drift. A larger change counts as a step.
	maxWallSlew = 20 * time.Millisecond
	// stepConfirmTime is how long a step must last before Wall follows it.
	stepConfirmTime = 2 * time.Minute
)

// Wall is a wall clock that does not follow short-lived steps of the system's time of
// day. It adds an offset to the time since boot, follows the drift of the time of day,
// and follows a step only once it has lasted for stepConfirmTime.
type Wall struct {
	clock        Clock
	offset       atomic.Int64 // time of day minus time since boot, in nanoseconds
	steppedSince time.Time    // boot time of the first comparison that found the current step; zero if there is none
}

// NewWall returns a Wall that starts at the system's current time of day.
func NewWall() *Wall {
	w := &Wall{clock: New()}
	w.offset.Store(w.readOffset())
	return w
}

// readOffset returns the system's time of day minus the time since boot, in nanoseconds.
func (w *Wall) readOffset() int64 { return time.Now().UnixNano() - w.clock.Now().UnixNano() }

// At returns the time of day at t, a time of Clock.
func (w *Wall) At(t time.Time) time.Time { return time.Unix(0, t.UnixNano()+w.offset.Load()) }

// Now returns the time of day.
func (w *Wall) Now() time.Time { return w.At(w.clock.Now()) }

// Run follows the system's time of day until ctx ends.
func (w *Wall) Run(ctx context.Context) {
	ticker := time.NewTicker(wallInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.offset.Store(w.nextOffset(w.offset.Load(), w.readOffset(), w.clock.Now()))
		}
	}
}

// nextOffset returns the offset to use after a comparison at the boot time now, given
// the current and the measured offset in nanoseconds.
func (w *Wall) nextOffset(current, measured int64, now time.Time) int64 {
	if diff := time.Duration(measured - current).Abs(); diff <= maxWallSlew {
		w.steppedSince = time.Time{}
		return measured
	}
	if w.steppedSince.IsZero() {
		w.steppedSince = now
	}
	if now.Sub(w.steppedSince) < stepConfirmTime {
		return current
	}
	w.steppedSince = time.Time{}
	return measured
}
