package rollout

import (
	"errors"
	"fmt"
)

// Errors told to trainers.
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
	// ErrUnavailable means that the ledger could not be read or written now.
	// Nothing is lost; the request may be repeated.
	ErrUnavailable = errors.New("ledger is not available")
)

// OrderError tells a trainer which batch number it gave and which are possible.
// It is an ErrOrder.
type OrderError struct {
	Given    int64 // what the trainer says it has consumed
	Consumed int64 // the last batch it has named as consumed before
	Last     int64 // the last batch committed; equal to Consumed when that is settled
}

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("%v: batch %d was named as consumed; the run has %d consumed and %d handed over", ErrOrder, e.Given, e.Consumed, e.Last)
}

// Is implements errors.Is.
func (e *OrderError) Is(target error) bool { return target == ErrOrder }

// unavailable keeps the cause of an ErrUnavailable.
func unavailable(cause error) error { return errors.Join(ErrUnavailable, cause) }
