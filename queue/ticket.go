package queue

import (
	"errors"
	"strings"
	"time"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/route"
	"github.com/pomelocross/pomelocross/upstream"
)

// Errors returned by Acquire, wrapped in a *RefusedError that says when to retry.
// The request was not run.
var (
	ErrFull       = errors.New("queue is full")
	ErrNoUpstream = errors.New("service has no upstream")
	ErrDeadline   = errors.New("deadline would pass in the queue")
)

// RefusedError is returned for a request that the queue rejected.
type RefusedError struct {
	Err error // ErrFull, ErrNoUpstream or ErrDeadline
	// After is the time until the queue is expected to have room.
	After time.Duration
}

// RetryAfter returns the time after which the caller may retry.
func (e *RefusedError) RetryAfter() time.Duration { return e.After }

// Error implements error.
func (e *RefusedError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *RefusedError) Unwrap() error { return e.Err }

// RetryAfter returns the time after which a caller may retry, and whether err is or
// wraps a *RefusedError.
func RetryAfter(err error) (time.Duration, bool) {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		return 0, false
	}
	return refused.After, true
}

// Ticket describes a request for the scheduler.
type Ticket struct {
	Team   string
	Weight int // of the team
	Class  contract.Class
	Cost   int64 // expected, in tokens
	// Deadline is when the request must have started; zero for no deadline.
	Deadline time.Time
	Route    route.Request
}

// weightedCost returns the virtual time that the team is charged for tokens: tokens
// divided by weight.
func (t *Ticket) weightedCost(tokens int64) float64 {
	return float64(tokens) / float64(max(t.Weight, 1))
}

// Upstream is an upstream with this instance's share of its slots.
type Upstream struct {
	upstream.Upstream
	Slots int
	// Capacity is the upstream's slots over all instances; 0 if unknown.
	Capacity int
}

// constraints are what a request requires of an upstream besides a free slot. Of
// requests with equal constraints, either all can be placed or none.
type constraints struct {
	minWeightVersion int64
	exclude          string
}

func constraintsOf(r route.Request) constraints {
	return constraints{minWeightVersion: r.MinWeightVersion, exclude: strings.Join(r.Exclude, "\x00")}
}
