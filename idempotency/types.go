// Package idempotency executes a request with an Idempotency-Key at most once, even if
// its retries reach different instances. Rendezvous hashing selects two instances as
// holders of a key. Both record the key before the request is sent upstream. A retry
// gets the response from their records, waits for the run in progress, or gets an error
// that the outcome is unknown.
package idempotency

import (
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pomelocross/pomelocross/objects"
)

// MaxKeyBytes is the maximum length of an Idempotency-Key.
const MaxKeyBytes = 256

// Key is the Idempotency-Key of a caller. Each team has its own key space.
type Key struct{ Team, Value string }

// Fingerprint is a hash of the content of a request. It detects the reuse of a key for
// another request.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the fingerprint of a request's parts.
func FingerprintOf(parts ...string) Fingerprint {
	hash := sha256.New()
	for _, part := range parts {
		_, _ = io.WriteString(hash, strconv.Itoa(len(part))+":"+part) // writing to a hash never fails
	}
	return Fingerprint(hash.Sum(nil))
}

// Answer is the complete HTTP response of a run.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// size returns the size of the headers and body in bytes.
func (a *Answer) size() int {
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, value := range values {
			n += len(value)
		}
	}
	return n
}

// State is the state of a run.
type State int

// The states of a run.
const (
	Running State = iota
	Done          // complete response received
	Unknown       // sent; may or may not have been executed
	NotRun        // known not to have been executed; the key can be claimed again
)

// RunID identifies a run by the process that executes it and a number that is unique
// within the process.
type RunID struct {
	Incarnation string
	Number      uint64
}

// Record describes the run of a key.
type Record struct {
	Fingerprint Fingerprint
	Run         RunID
	Runner      objects.Member // instance that executes the run
	State       State
	Answer      Answer // set if State is Done and Kept is true
	Kept        bool   // false if the response was too large to store
}

// Errors returned by Do, besides context errors.
var (
	ErrMismatch    = errors.New("the Idempotency-Key was used for another request")
	ErrUnknown     = errors.New("what became of the request with this Idempotency-Key is not known")
	ErrNotKept     = errors.New("the request was run, but its answer was too large to keep")
	ErrUnavailable = errors.New("not all holders of the Idempotency-Key could record it; no request with it was run")
	ErrUndecided   = errors.New("no holder of the Idempotency-Key answers; whether an earlier request with it was run is not known now")
	ErrRunFailed   = errors.New("the request failed")
)

// Limits bounds the records that an instance stores.
type Limits struct {
	MaxEntries     int
	MaxBytes       int           // estimated memory of all records
	MaxAnswerBytes int           // larger responses are not stored
	SettledTTL     time.Duration // retention of a record after the end of its run
	RunningTTL     time.Duration // retention of a record whose run has not ended; maximum duration of a run
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{MaxEntries: 1 << 16, MaxBytes: 32 << 20, MaxAnswerBytes: 64 << 10, SettledTTL: 10 * time.Minute, RunningTTL: time.Hour}
}

// withDoubledTTLs returns limits under which records are kept twice as long as under l.
func (l Limits) withDoubledTTLs() Limits {
	l.SettledTTL *= 2
	l.RunningTTL *= 2
	return l
}
