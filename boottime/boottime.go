// Package boottime is a clock that counts the time a machine is suspended and
// knows no steps of the time of day. Go's own monotonic clock stands still while
// a machine is suspended, so it cannot bound a lease.
package boottime

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Clock tells the time since boot as a time.Time without a monotonic reading.
// Its times compare only with each other. Timers are those of the real clock.
type Clock struct{ clockwork.Clock }

// New returns a Clock.
func New() Clock { return Clock{clockwork.NewRealClock()} }

// Now returns the time since boot, counted from the start of 1970.
func (Clock) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now() // a kernel without the clock; only suspension goes unseen
	}
	return time.Unix(t.Unix())
}

// Since returns the time since an earlier Now.
func (c Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until a later Now.
func (c Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }
