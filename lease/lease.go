// Package lease decides which instance holds a control role. A lease is an
// object in the platform with an epoch that rises with each new holder and
// serves as the fencing number of the holder's orders.
//
// A holder counts its term from before it sent the renewal, on its own
// monotonic clock. A candidate waits a whole term plus a margin after it last
// saw the object's version change, on its own clock. Clocks are never compared
// between machines.
package lease

import (
	"time"

	"github.com/google/uuid"
)

// Default timing of leases.
const (
	DefaultTerm   = 10 * time.Second
	DefaultRenew  = 3 * time.Second
	DefaultMargin = 2 * time.Second // for clock rates that differ
)

// Timing is the same at all instances of a deployment.
type Timing struct {
	Term   time.Duration // how long a renewal is valid
	Renew  time.Duration // how often a holder renews
	Margin time.Duration // how much longer a candidate waits
	Poll   time.Duration // how often a candidate reads the lease; 0 for Renew
}

// DefaultTiming returns the default timing.
func DefaultTiming() Timing {
	return Timing{Term: DefaultTerm, Renew: DefaultRenew, Margin: DefaultMargin}
}

// Identity tells one process of an instance from its predecessors, which may
// still run.
type Identity struct {
	Name        string // of the instance
	Incarnation string // unique to the process
}

// NewIdentity returns an identity that no other process has.
func NewIdentity(name string) Identity {
	return Identity{Name: name, Incarnation: uuid.NewString()}
}

// Value is the stored form of a lease.
type Value struct {
	Holder      string `json:"holder"` // empty after release
	Incarnation string `json:"incarnation,omitempty"`
	Epoch       int64  `json:"epoch"`
	// Renewal counts the holder's writes so that no two have the same value.
	Renewal int64 `json:"renewal"`
}

// Grant proves that its owner holds a role for a while.
type Grant struct {
	Role  string
	Epoch int64
	// Until carries the holder's monotonic and wall clock.
	Until time.Time
}

// Valid reports whether the grant covers now with at least spare left. Both
// clocks must agree: the monotonic one stands still while the machine is
// suspended, the wall clock may be set back.
func (g Grant) Valid(now time.Time, spare time.Duration) bool {
	end := now.Add(spare)
	return g.Epoch > 0 && end.Before(g.Until) && end.Round(0).Before(g.Until.Round(0))
}
