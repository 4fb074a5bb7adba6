// Package attempt runs a request against upstreams: it keeps apart what is known
// of each attempt, retries what may be retried, and resumes broken streams.
package attempt

import (
	"context"
	"errors"
	"time"

	"github.com/pomelocross/pomelocross/upstream"
)

// Outcome is what is known of an attempt.
type Outcome int

// The outcomes. Only after NotSent and Refused may a caller be told that the
// request was not run.
const (
	Unknown Outcome = iota // sent at least in part; what became of it is not known
	NotSent                // no byte left
	Refused                // the upstream says that it ran nothing
	Done                   // whole answer received
)

// String returns the name used in counters and spans.
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

// NotRun reports whether the request surely ran nowhere.
func (o Outcome) NotRun() bool { return o == NotSent || o == Refused }

// Classify returns the outcome that err, the error of one attempt, proves.
// Without proof an attempt is Unknown.
func Classify(err error) Outcome {
	if err == nil {
		return Done
	}
	var refused *upstream.RefusedError
	if errors.As(err, &refused) {
		return Refused
	}
	var send *upstream.SendError
	if errors.As(err, &send) && send.NotSent {
		return NotSent
	}
	return Unknown
}

// Error is the final failure of a request.
type Error struct {
	Outcome  Outcome
	Upstream string // last one tried; empty when none was
	// RetryAfter is what the upstream that refused asked for; 0 when none did.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *Error) Error() string { return "attempt " + e.Outcome.String() + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// GaveUp reports whether the caller left or its deadline passed.
func (e *Error) GaveUp() bool {
	return errors.Is(e.Err, context.Canceled) || errors.Is(e.Err, context.DeadlineExceeded)
}
