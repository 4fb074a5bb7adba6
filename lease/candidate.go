package lease

import (
	"time"

	"github.com/pomelocross/pomelocross/objects"
)

// candidate is the state machine of one process's wish for one role. It does
// no I/O and reads no clock.
//
// Invariant: until never lies later than a term after the sending of a write
// that is known to have taken effect and that nothing has replaced since.
type candidate struct {
	self   Identity
	timing Timing

	seen    objects.Version // version last seen
	value   Value
	changed time.Time // when seen last changed, on our clock
	until   time.Time // end of our own term; zero when we do not hold
	writes  int64     // writes attempted, so that no two have the same value
	pending pendingWrite
}

// pendingWrite is the last write whose answer has not arrived.
type pendingWrite struct {
	value Value
	sent  time.Time // zero when no write is pending
}

// observe takes in a stored lease read at now.
func (c *candidate) observe(version objects.Version, value Value, now time.Time) {
	if version != c.seen || c.changed.IsZero() {
		c.changed = now
	}
	c.seen, c.value = version, value
	if !c.mine(value) {
		c.until, c.pending = time.Time{}, pendingWrite{}
		return
	}
	if !c.pending.sent.IsZero() && value == c.pending.value {
		c.extend(c.pending.sent)
	}
}

// mine reports whether value was written by this very process.
func (c *candidate) mine(value Value) bool {
	return value.Holder == c.self.Name && value.Incarnation == c.self.Incarnation
}

// mustRead reports whether the stored lease must be read before a write: a
// holder that knows its last write took effect renews without, and a conflict
// tells it when it is wrong.
func (c *candidate) mustRead() bool {
	return !c.mine(c.value) || !c.pending.sent.IsZero()
}

// next returns the value to write at now, or ok false when nothing is due. A
// lease that is still stored under our own incarnation is renewed under its
// epoch even after it lapsed: the conditional update proves that nobody else
// held it in between.
func (c *candidate) next(now time.Time) (value Value, ok bool) {
	if c.mine(c.value) {
		return c.valueFor(c.value.Epoch), true
	}
	free := c.seen == 0 || c.value.Holder == ""
	expired := now.Sub(c.changed) >= c.timing.Term+c.timing.Margin
	if free || expired {
		return c.valueFor(c.value.Epoch + 1), true
	}
	return Value{}, false
}

func (c *candidate) valueFor(epoch int64) Value {
	return Value{Holder: c.self.Name, Incarnation: c.self.Incarnation, Epoch: epoch, Renewal: c.writes + 1}
}

// sending notes that value is about to be written at sent.
func (c *candidate) sending(value Value, sent time.Time) {
	c.writes++
	c.pending = pendingWrite{value: value, sent: sent}
}

// written takes in the answer that the pending write took effect.
func (c *candidate) written(version objects.Version, now time.Time) {
	c.seen, c.value, c.changed = version, c.pending.value, now
	c.extend(c.pending.sent)
}

// extend ends our term a whole term after sent.
func (c *candidate) extend(sent time.Time) {
	c.until, c.pending = sent.Add(c.timing.Term), pendingWrite{}
}

// released returns the value that gives the role up, or ok false when the role
// is not ours.
func (c *candidate) released() (value Value, ok bool) {
	if !c.mine(c.value) {
		return Value{}, false
	}
	c.until, c.pending = time.Time{}, pendingWrite{}
	c.writes++
	return Value{Epoch: c.value.Epoch, Renewal: c.writes}, true
}
