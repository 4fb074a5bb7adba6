package lease

import (
	"time"

	"github.com/pomelocross/pomelocross/platform"
)

// candidate is the state machine of one instance's wish for one role. It does
// no I/O and reads no clock.
type candidate struct {
	self   string
	timing Timing

	seen    platform.Version // version last seen
	value   Value
	changed time.Time // when seen last changed, on our clock
	until   time.Time // end of our own term; zero when we do not hold
}

// observe takes in a stored lease read at now.
func (c *candidate) observe(version platform.Version, value Value, now time.Time) {
	if version != c.seen || c.changed.IsZero() {
		c.changed = now
	}
	c.seen, c.value = version, value
	if value.Holder != c.self {
		c.until = time.Time{}
	}
}

// next returns the value to write at now, or ok false when nothing is due.
func (c *candidate) next(now time.Time) (value Value, ok bool) {
	if c.value.Holder == c.self && now.Before(c.until) {
		return Value{Holder: c.self, Epoch: c.value.Epoch, Renewal: c.value.Renewal + 1}, true
	}
	free := c.seen == 0 || c.value.Holder == ""
	expired := now.Sub(c.changed) >= c.timing.Term+c.timing.Margin
	if free || expired {
		return Value{Holder: c.self, Epoch: c.value.Epoch + 1}, true
	}
	return Value{}, false
}

// written takes in the successful write of value that was sent at sent.
func (c *candidate) written(version platform.Version, value Value, sent, now time.Time) {
	c.seen, c.value, c.changed = version, value, now
	c.until = sent.Add(c.timing.Term)
}
