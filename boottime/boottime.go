// Package boottime provides a clock based on CLOCK_BOOTTIME, which includes the time
// during which the machine is suspended and is not affected by steps of the time of day.
// Go's monotonic clock stops while the machine is suspended, so a lease cannot be timed
// with it. The package also provides a wall clock that ignores short-lived steps.
package boottime

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Clock represents the time since boot as a time.Time without a monotonic reading. Its
// times are comparable only with each other. Its timers are those of the real clock.
type Clock struct{ clockwork.Clock }

// New returns a Clock.
func New() Clock { return Clock{clockwork.NewRealClock()} }

// Now returns the time since boot, added to the Unix epoch.
func (Clock) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now() // the kernel lacks CLOCK_BOOTTIME; only suspension is missed
	}
	return time.Unix(t.Unix())
}

// Since returns the time elapsed since t, an earlier result of Now.
func (c Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t, a time of this clock.
func (c Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }
