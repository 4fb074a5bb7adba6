// Package lease elects the instance that holds a control role. A lease is an
// object stored in the platform. Its epoch rises with each new holder and is the
// fencing token of the holder's orders.
//
// A holder's term starts when it sends the renewal, measured on its own monotonic
// clock. A candidate waits for a full term plus a margin after it last observed a
// change of the object's version, measured on its own clock. Clocks of different
// machines are never compared.
package lease

import (
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
