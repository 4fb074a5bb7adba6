package boottime

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// wallInterval is how often the time of day is compared with the time since
	// boot.
	wallInterval = 500 * time.Millisecond
	// wallSlew is how much the two may drift apart between comparisons; more is a
	// step.
	wallSlew = 20 * time.Millisecond
	// stepKept is how long a step must last to be believed.
	stepKept = 2 * time.Minute
)

// Wall is the time of day without its steps: the time of day at the start plus
// the time since, slewed. A step that lasts is followed in the end.
type Wall struct {
	clock   Clock
	offset  atomic.Int64 // nanoseconds from the time since boot to the time of day
	stepped time.Time    // since when the time of day is off; zero when it is not
}

// NewWall returns a Wall that believes the time of day it finds.
func NewWall() *Wall {
	w := &Wall{clock: New()}
	w.offset.Store(w.read())
	return w
}

func (w *Wall) read() int64 { return time.Now().UnixNano() - w.clock.Now().UnixNano() }

// At returns the time of day at a time of the clock.
func (w *Wall) At(t time.Time) time.Time { return time.Unix(0, t.UnixNano()+w.offset.Load()) }

// Now returns the time of day.
func (w *Wall) Now() time.Time { return w.At(w.clock.Now()) }

// Run follows the time of day until ctx ends.
func (w *Wall) Run(ctx context.Context) {
	ticker := time.NewTicker(wallInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.offset.Store(w.follow(w.offset.Load(), w.read(), w.clock.Now()))
		}
	}
}

// follow returns the offset to believe after one comparison.
func (w *Wall) follow(believed, found int64, now time.Time) int64 {
	if off := time.Duration(found - believed).Abs(); off <= wallSlew {
		w.stepped = time.Time{}
		return found
	}
	if w.stepped.IsZero() {
		w.stepped = now
	}
	if now.Sub(w.stepped) < stepKept {
		return believed
	}
	w.stepped = time.Time{}
	return found
}
