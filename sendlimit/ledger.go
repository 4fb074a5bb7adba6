package sendlimit

import (
	"time"

	"github.com/pomelocross/pomelocross/slots"
	"github.com/pomelocross/pomelocross/upstream"
)

// ColdWindow is the time over which requests to a cold upstream are counted.
const ColdWindow = time.Second

// NewColdBook returns a book for the bounds of cold upstreams. They are known from the
// registrations, so that an upstream without a bound may get requests at once. There are no
// fixed shares: upstreams are cold for seconds, and the share of each of many instances would be
// less than a request.
func NewColdBook(timing slots.Timing, incarnation string) *Book {
	b := NewBook(timing, ColdWindow, incarnation)
	b.SetInformed()
	return b
}

// Ledger admits requests by the limits that upstreams name and by the bounds of cold upstreams.
type Ledger struct{ Limits, Cold *Book }

// Available reports whether a request may be sent to an upstream now.
func (l Ledger) Available(u upstream.Target, now time.Time) bool {
	return l.Cold.Available(u, now) && l.Limits.Available(u, now)
}

// Choose records that an upstream was chosen for a request, for which Reserve follows.
func (l Ledger) Choose(u upstream.Target) {
	l.Cold.Choose(u)
	l.Limits.Choose(u)
}

// Admission is the permission of a Ledger to send one request.
type Admission struct{ limits, cold *Ticket }

// Reserve returns the permission for a request to an upstream that was chosen for it, or nil if
// none may be sent now. Close must be called when the request has been answered or has failed.
func (l Ledger) Reserve(u upstream.Target, now time.Time) *Admission {
	cold, limits := l.Cold.Reserve(u, now), l.Limits.Reserve(u, now)
	if cold != nil && limits != nil {
		return &Admission{limits: limits, cold: cold}
	}
	for _, t := range []*Ticket{cold, limits} {
		if t != nil {
			t.Close()
		}
	}
	return nil
}

// Write records that the request is written now. It returns false if it must not be.
func (a *Admission) Write(now time.Time) bool { return a.cold.Write(now) && a.limits.Write(now) }

// Written returns when the request was last permitted to be written; zero if it was not.
func (a *Admission) Written() time.Time { return a.limits.Written() }

// Close ends the request.
func (a *Admission) Close() {
	a.cold.Close()
	a.limits.Close()
}
