// Package lease elects the instance that holds a control role. A lease is an
// object stored in the platform. Its epoch rises with each new holder and is the
// fencing token of the holder's orders.
//
// A holder's term starts when it sends the renewal, measured on its own monotonic
// clock. A candidate waits for a full term plus a margin after it last observed a
// change of the object's version, measured on its own clock. Clocks of different
// machines are never compared.
//
// A lease that its holder has released can be taken over at once, but not by an instance
// that held the role shortly before the last holder: the lease names these.
package lease

import (
	"slices"
	"time"

	"github.com/google/uuid"
)

// Default timing of leases.
const (
	DefaultTerm   = 10 * time.Second
	DefaultRenew  = 3 * time.Second
	DefaultMargin = 2 * time.Second // tolerance for different clock rates
)

// StandbyFactor is the poll factor of a candidate that is to take a role over if all
// preferred candidates have failed.
const StandbyFactor = 8

// Timing is the timing of a lease. It must be the same on all instances of a
// deployment.
type Timing struct {
	Term   time.Duration // how long a renewal is valid
	Renew  time.Duration // how often a holder renews
	Margin time.Duration // how much longer than Term a candidate waits
	Poll   time.Duration // how often a candidate reads the lease; Renew if 0
}

// wait returns how long a candidate waits after it last observed a change of the lease.
func (t Timing) wait() time.Duration { return t.Term + t.Margin }

// DefaultTiming returns the default timing.
func DefaultTiming() Timing {
	return Timing{Term: DefaultTerm, Renew: DefaultRenew, Margin: DefaultMargin}
}

// Identity identifies one process of an instance. Earlier processes of the same
// instance, which may still run, have a different Incarnation.
type Identity struct {
	Name        string // of the instance
	Incarnation string // unique to the process
}

// NewIdentity returns an identity with a new, unique incarnation.
func NewIdentity(name string) Identity {
	return Identity{Name: name, Incarnation: uuid.NewString()}
}

// Value is the stored form of a lease.
type Value struct {
	Holder      string `json:"holder"` // name of the instance; empty after a release
	Incarnation string `json:"incarnation,omitempty"`
	Epoch       int64  `json:"epoch"`
	// Renewal counts the writes of the holder's process, so that each written value
	// is unique.
	Renewal int64 `json:"renewal"`
	// Recent holds the names of the earlier holders that may have acted within the wait of
	// a candidate, in the order of their last turns. After a release its last element is
	// the holder that released.
	Recent []string `json:"recent,omitempty"`
}

// sameWrite reports whether v and other are the value of the same write of a holder.
func (v Value) sameWrite(other Value) bool {
	return v.Holder == other.Holder && v.Incarnation == other.Incarnation && v.Renewal == other.Renewal
}

// mayReturn reports whether an instance may take over the released lease v at once.
//
// Load pattern: instances are stopped and restarted in turn. A role that returned to an
// instance while the acts of the holder in between are recent would count as two holders
// at once. The last holder itself may return: no other one has acted since.
func (v Value) mayReturn(name string) bool {
	at := slices.Index(v.Recent, name)
	return at < 0 || at == len(v.Recent)-1
}

// withLast returns names with name as the last element.
func withLast(names []string, name string) []string {
	others := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
	return append(others, name)
}

// Grant states that a process holds a role until a given time.
type Grant struct {
	Role  string
	Epoch int64
	// Until has both a monotonic and a wall clock reading of the holder.
	Until time.Time
}

// Valid reports whether the grant remains valid for more than minRemaining after
// now. It checks both clocks: the monotonic clock stops while the machine is
// suspended, and the wall clock may be set back.
func (g Grant) Valid(now time.Time, minRemaining time.Duration) bool {
	end := now.Add(minRemaining)
	return g.Epoch > 0 && end.Before(g.Until) && end.Round(0).Before(g.Until.Round(0))
}
