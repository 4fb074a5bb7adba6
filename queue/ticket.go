package queue

import (
	"errors"
	"strings"
	"time"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/route"
	"github.com/pomelocross/pomelocross/upstream"
)

// Errors of Acquire. The request was not run. They come wrapped in a
// *RefusedError that tells when to come back.
var (
	ErrFull       = errors.New("queue is full")
	ErrNoUpstream = errors.New("service has no upstream")
	ErrDeadline   = errors.New("deadline would pass in the queue")
)

// RefusedError is a request that the queue did not take in.
type RefusedError struct {
	Err error // ErrFull, ErrNoService or ErrLate
	// After is when the queue is expected to have room.
	After time.Duration
}

// RetryAfter returns when the caller may come back.
func (e *RefusedError) RetryAfter() time.Duration { return e.After }

// Error implements error.
func (e *RefusedError) Error() string { return e.Err.Error() }

// Unwrap returns the reason.
func (e *RefusedError) Unwrap() error { return e.Err }

// RetryAfter returns when a caller refused with err may come back.
func RetryAfter(err error) (time.Duration, bool) {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		return 0, false
	}
	return refused.After, true
}

// Ticket is a request's place in the queue.
type Ticket struct {
	Team   string
	Weight int // of the team
	Class  contract.Class
	Cost   int64 // expected tokens
	// Deadline is when the request must have begun; zero when it need not.
	Deadline time.Time
	Route    route.Request
}

// weighed is what tokens count against the team's share.
func (t *Ticket) weighed(tokens int64) float64 {
	return float64(tokens) / float64(max(t.Weight, 1))
}

// Slotted is an upstream with this instance's share of its slots.
type Upstream struct {
	upstream.Upstream
	Slots int
	// Capacity is the upstream's slots over all instances; 0 when not known.
	Capacity int
}

// need is what a request asks of an upstream beyond a free slot. Requests with
// equal needs can be placed or not alike.
type need struct {
	minWeightVersion int64
	exclude          string
}

func needOf(r route.Request) need {
	return need{minWeightVersion: r.MinWeightVersion, exclude: strings.Join(r.Exclude, "\x00")}
}
