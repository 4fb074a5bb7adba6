package lease

import (
	"time"

	"github.com/pomelocross/pomelocross/objects"
)

// candidate is the state machine of one process that acquires and renews one
// role. It does no I/O and reads no clock.
//
// Invariant: until is never later than one term after the time at which a write was
// sent that is known to have taken effect and has not been replaced since.
type candidate struct {
	self   Identity
	timing Timing

	version   objects.Version // last seen version of the stored lease
	value     Value           // last seen value of the stored lease
	changedAt time.Time       // when version last changed, on the local clock
	until     time.Time       // end of the own term; zero if the role is not held
	takenAt   time.Time       // when the write of the first own value of the epoch was sent
	writes    int64           // attempted writes; makes each written value unique
	pending   pendingWrite
}

// pendingWrite is the last write whose response has not arrived.
type pendingWrite struct {
	value  Value
	sentAt time.Time // zero if no write is pending
}

// observe updates the state with a stored lease read at now. It extends the term
// if the stored value is that of the pending write.
func (c *candidate) observe(version objects.Version, value Value, now time.Time) {
	if version != c.version || c.changedAt.IsZero() {
		c.changedAt = now
	}
	c.version, c.value = version, value
	if !c.isOwn(value) {
		c.until, c.pending = time.Time{}, pendingWrite{}
		return
	}
	if !c.pending.sentAt.IsZero() && value.sameWrite(c.pending.value) {
		c.extend(c.pending.sentAt)
	}
}

// isOwn reports whether value was written by this process.
func (c *candidate) isOwn(value Value) bool {
	return value.Holder == c.self.Name && value.Incarnation == c.self.Incarnation
}

// mustRead reports whether the stored lease must be read before a write. A holder
// whose last write is known to have taken effect renews without reading; if the
// lease has changed since, the write fails with a conflict.
func (c *candidate) mustRead() bool {
	return !c.isOwn(c.value) || !c.pending.sentAt.IsZero()
}

// nextWrite returns the value to write at now; ok is false if no write is due. A
// lease that is still stored under the own incarnation is renewed under its epoch
// even after it has expired: the conditional update ensures that no other process
// held it in the meantime.
func (c *candidate) nextWrite(now time.Time) (value Value, ok bool) {
	if c.isOwn(c.value) {
		return c.ownValue(c.value.Epoch, c.recentAt(now)), true
	}
	free := c.version == 0 || c.value.Holder == ""
	expired := now.Sub(c.changedAt) >= c.timing.wait()
	var recent []string
	switch {
	case expired && !free:
		recent = []string{c.value.Holder} // the ones before it acted before its last renewal
	case expired:
	case free && c.value.mayReturn(c.self.Name):
		recent = c.value.Recent
	default:
		return Value{}, false
	}
	c.takenAt = now
	return c.ownValue(c.value.Epoch+1, recent), true
}

// recentAt returns the earlier holders that may have acted within a candidate's wait
// before now, while the role is held.
func (c *candidate) recentAt(now time.Time) []string {
	if now.Sub(c.takenAt) >= c.timing.wait() {
		return nil
	}
	return c.value.Recent
}

// ownValue returns the value that makes this process the holder under epoch.
func (c *candidate) ownValue(epoch int64, recent []string) Value {
	return Value{Holder: c.self.Name, Incarnation: c.self.Incarnation, Epoch: epoch, Renewal: c.writes + 1, Recent: recent}
}

// beginWrite records that value is about to be written.
func (c *candidate) beginWrite(value Value, sentAt time.Time) {
	c.writes++
	c.pending = pendingWrite{value: value, sentAt: sentAt}
}

// confirmWrite records the response that the pending write took effect.
func (c *candidate) confirmWrite(version objects.Version, now time.Time) {
	c.version, c.value, c.changedAt = version, c.pending.value, now
	c.extend(c.pending.sentAt)
}

// extend sets the end of the own term to one term after sentAt.
func (c *candidate) extend(sentAt time.Time) {
	c.until, c.pending = sentAt.Add(c.timing.Term), pendingWrite{}
}

// release ends the own term and returns the value that releases the role at now; ok is
// false if this process does not hold the role.
func (c *candidate) release(now time.Time) (value Value, ok bool) {
	if !c.isOwn(c.value) {
		return Value{}, false
	}
	c.until, c.pending = time.Time{}, pendingWrite{}
	c.writes++
	return Value{Epoch: c.value.Epoch, Renewal: c.writes, Recent: withLast(c.recentAt(now), c.self.Name)}, true
}
