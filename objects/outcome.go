package objects

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/samber/oops"
)

// Outcome says whether a write took effect, as far as known.
type Outcome int

// The outcomes of a write.
const (
	// Unknown means that the write may have taken effect, and may have been
	// overwritten since, or may still take effect.
	Unknown Outcome = iota
	// Done means that the write took effect.
	Done
	// Conflict means that the write did not and will not take effect, because the
	// object has another version.
	Conflict
	// NotDone means that the write was not sent, or was refused by the platform.
	NotDone
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"unknown", "done", "conflict", "not done"}[o]
}

// Errors of calls that were not sent.
var (
	ErrBudget      = errors.New("call exceeds the rate budget of the instance; call not sent")
	ErrCircuitOpen = errors.New("circuit breaker of the platform is open; call not sent")
)

// OutcomeOf returns the outcome of a single write that returned err.
func OutcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return Done
	case errors.Is(err, ErrConflict):
		return Conflict
	case errors.Is(err, ErrBudget), errors.Is(err, ErrCircuitOpen), errors.Is(err, ErrRefused), errors.Is(err, ErrRejected):
		return NotDone
	}
	return Unknown
}

// PutResult is the result of PutUntilDefinitive.
type PutResult struct {
	Outcome Outcome
	Object  Object // as stored, if Outcome is Done
	Err     error  // nil if Outcome is Done
}

// Delays between the attempts of PutUntilDefinitive, before jitter.
const (
	putRetryMinDelay = 50 * time.Millisecond
	putRetryMaxDelay = time.Second
)

// PutUntilDefinitive writes value and repeats the write until the response is definitive
// or ctx ends. All attempts expect the same version, so that at most one of them takes
// effect, even if an earlier one arrives late. A rejection holds for the attempts before
// it, too. No other writer may store the same
// value, because after a lost response the stored value is compared with it.
func PutUntilDefinitive(ctx context.Context, s Store, kind, name string, expect Version, value any) PutResult {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = putRetryMinDelay, putRetryMaxDelay
	ambiguous := false
	for {
		o, err := s.Put(ctx, kind, name, expect, value)
		outcome := OutcomeOf(err)
		switch {
		case outcome == Done:
			return PutResult{Outcome: Done, Object: o}
		case outcome == Conflict && ambiguous:
			if w := findOwnWrite(ctx, s, kind, name, value); w.Outcome != NotDone {
				return w
			}
		case outcome == Conflict:
			return PutResult{Outcome: Conflict, Err: err}
		case errors.Is(err, ErrRejected):
			return PutResult{Outcome: NotDone, Err: err}
		case outcome == Unknown:
			ambiguous = true
		}
		if !sleep(ctx, delays.NextBackOff()) {
			return interruptedPut(ambiguous, err)
		}
	}
}

// interruptedPut returns the result of a write that ctx ended before a definitive
// response. ambiguous means that one of its attempts may have taken effect.
func interruptedPut(ambiguous bool, cause error) PutResult {
	if ambiguous {
		return PutResult{Outcome: Unknown, Err: oops.In("platform").With("step", "resolve outcome").Wrap(cause)}
	}
	return PutResult{Outcome: NotDone, Err: cause}
}

// findOwnWrite compares the stored value with the written one. Its outcome is NotDone
// if the store could not be read.
func findOwnWrite(ctx context.Context, s Store, kind, name string, value any) PutResult {
	o, err := s.Get(ctx, kind, name)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return PutResult{Outcome: NotDone, Err: err}
	}
	if err == nil && sameJSON(o.Value, value) {
		return PutResult{Outcome: Done, Object: o}
	}
	return PutResult{Outcome: Unknown, Err: ErrConflict}
}

// sameJSON reports whether value encodes to stored, except for whitespace.
func sameJSON(stored json.RawMessage, value any) bool {
	encoded, err := json.Marshal(value)
	if err != nil {
		return false
	}
	var a, b bytes.Buffer
	if json.Compact(&a, stored) != nil || json.Compact(&b, encoded) != nil {
		return false
	}
	return bytes.Equal(a.Bytes(), b.Bytes())
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
