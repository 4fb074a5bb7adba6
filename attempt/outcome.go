// Package attempt sends requests to upstreams. It classifies the outcome of each
// attempt, retries requests where that is safe, and resumes interrupted streams
// on another upstream.
package attempt

import (
	"context"
	"errors"
	"time"

	"github.com/pomelocross/pomelocross/upstream"
)

// Outcome classifies the result of an attempt.
type Outcome int

// The outcomes of an attempt. Only NotSent and Refused prove that the request was
// not executed.
const (
	Unknown Outcome = iota // sent at least in part; may or may not have been executed
	NotSent                // no byte of the request was sent
	Refused                // the upstream reported that it executed nothing
	Done                   // complete response received
)

// String returns the name used in metrics and spans.
func (o Outcome) String() string {
	switch o {
	case NotSent:
		return "not_sent"
	case Refused:
		return "refused"
	case Done:
		return "done"
	}
	return "unknown"
}

// NotRun reports whether the request is known not to have been executed.
func (o Outcome) NotRun() bool { return o == NotSent || o == Refused }

// Classify returns the outcome of an attempt that returned err. The outcome is
// Unknown unless err proves another one.
func Classify(err error) Outcome {
	if err == nil {
		return Done
	}
	var refused *upstream.RefusedError
	if errors.As(err, &refused) {
		return Refused
	}
	var sendErr *upstream.SendError
	if errors.As(err, &sendErr) && sendErr.NotSent {
		return NotSent
	}
	return Unknown
}

// Error is the error of a request that failed after its last attempt.
type Error struct {
	Outcome  Outcome
	Upstream string // name of the last upstream tried; empty if none was
	// RetryAfter is the delay requested by the refusing upstream; 0 if it did not
	// request one.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *Error) Error() string { return "attempt " + e.Outcome.String() + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// ContextDone reports whether the request failed because its context was canceled
// or its deadline passed.
func (e *Error) ContextDone() bool {
	return errors.Is(e.Err, context.Canceled) || errors.Is(e.Err, context.DeadlineExceeded)
}
