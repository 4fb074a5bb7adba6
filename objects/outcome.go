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

// Outcome is what is known of a write.
type Outcome int

// The outcomes of a write.
const (
	// Unknown means that the write may have taken effect, and may have been
	// overwritten since, or may still do so.
	Unknown Outcome = iota
	Done
	// Conflict means that it has not and will not: another write was first.
	Conflict
	// NotDone means that it never left this process.
	NotDone
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"unknown", "done", "conflict", "not done"}[o]
}

// Errors of calls that were never sent.
var (
	ErrBudget      = errors.New("call exceeds the instance's budget")
	ErrCircuitOpen = errors.New("platform does not answer; the call was not sent")
)

// OutcomeOf classifies the error of a single write.
func OutcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return Done
	case errors.Is(err, ErrConflict):
		return Conflict
	case errors.Is(err, ErrBudget), errors.Is(err, ErrCircuitOpen), errors.Is(err, ErrRefused):
		return NotDone
	}
	return Unknown
}

// Written is the result of PutSettled.
type PutResult struct {
	Outcome Outcome
	Object  Object // the stored one, when Outcome is Done
	Err     error  // nil when Outcome is Done
}

// Pauses between the tries of PutSettled.
const (
	settleFirstPause = 50 * time.Millisecond
	settleMaxPause   = time.Second
)

// PutSettled writes value and settles a lost answer: it repeats the write
// under the same expected version, so that a late first write and the repeated
// one exclude each other, until an answer is definite or ctx ends. The value
// must be one that no other writer stores.
func PutUntilDefinitive(ctx context.Context, s Store, kind, name string, expect Version, value any) PutResult {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = settleFirstPause, settleMaxPause
	ambiguous := false
	for {
		o, err := s.Put(ctx, kind, name, expect, value)
		outcome := OutcomeOf(err)
		switch {
		case outcome == Done:
			return PutResult{Outcome: Done, Object: o}
		case outcome == Conflict && ambiguous:
			if w := findOwn(ctx, s, kind, name, value); w.Outcome != NotDone {
				return w
			}
		case outcome == Conflict:
			return PutResult{Outcome: Conflict, Err: err}
		case outcome == Unknown:
			ambiguous = true
		}
		if !pause(ctx, pauses.NextBackOff()) {
			return unsettled(ambiguous, err)
		}
	}
}

func unsettled(ambiguous bool, cause error) PutResult {
	if ambiguous {
		return PutResult{Outcome: Unknown, Err: oops.In("platform").With("step", "settle").Wrap(cause)}
	}
	return PutResult{Outcome: NotDone, Err: cause}
}

// findOwn tells whether the stored value is the one that was written. Its
// outcome is NotDone when the store could not be read.
func findOwn(ctx context.Context, s Store, kind, name string, value any) PutResult {
	o, err := s.Get(ctx, kind, name)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return PutResult{Outcome: NotDone, Err: err}
	}
	if err == nil && sameJSON(o.Value, value) {
		return PutResult{Outcome: Done, Object: o}
	}
	return PutResult{Outcome: Unknown, Err: ErrConflict}
}

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

// pause waits for d and reports whether ctx still runs.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
