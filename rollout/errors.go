package rollout

import (
	"errors"
	"fmt"
)

// Errors returned to trainers.
var (
	ErrUnknownRun = errors.New("run does not exist")
	ErrOtherTeam  = errors.New("run belongs to another team")
	ErrRunExists  = errors.New("run exists with other settings")
	ErrClosed     = errors.New("run is closed")
	ErrOrder      = errors.New("batch numbers are out of order")
	ErrStepExists = errors.New("step exists with other content")
	ErrTooMany    = errors.New("too many open steps")
	ErrSuperseded = errors.New("a newer pull of the run has taken this one's place")
	// ErrMoved means that another instance serves the run.
	ErrMoved = errors.New("run is served by another instance")
	// ErrUnavailable means that the ledger could not be read or written. No data
	// is lost and the request may be retried.
	ErrUnavailable = errors.New("ledger is not available")
)

// OrderError reports that a pull gave a batch number that the run does not accept as
// consumed, and the numbers that it accepts. It matches ErrOrder.
type OrderError struct {
	Given    int64 // batch number that the pull reported as consumed
	Consumed int64 // last batch that was reported as consumed before
	Last     int64 // last batch committed; equal to Consumed if that batch is settled
}

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("%v: batch %d was named as consumed; the run has %d consumed and %d handed over", ErrOrder, e.Given, e.Consumed, e.Last)
}

// Is implements errors.Is.
func (e *OrderError) Is(target error) bool { return target == ErrOrder }

// wrapUnavailable returns an error that matches both ErrUnavailable and cause.
func wrapUnavailable(cause error) error { return errors.Join(ErrUnavailable, cause) }
