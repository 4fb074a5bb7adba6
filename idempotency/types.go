// Package idempotency makes a request with an Idempotency-Key run at most once,
// whichever instances its retries reach. Two holders, found by rendezvous
// hashing, both record the key before the request is sent upstream; a retry is
// answered from their records, waits for the run, or is told that its outcome
// is unknown.
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

// MaxKeyBytes bounds an Idempotency-Key.
const MaxKeyBytes = 256

// Key is a caller's key. Keys of different teams never meet.
type Key struct{ Team, Value string }

// Fingerprint identifies what a request asks for.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the fingerprint of a request's parts.
func FingerprintOf(parts ...string) Fingerprint {
	hash := sha256.New()
	for _, part := range parts {
		_, _ = io.WriteString(hash, strconv.Itoa(len(part))+":"+part) // a hash never fails
	}
	return Fingerprint(hash.Sum(nil))
}

// Answer is the whole answer of a run.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

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

// State is what became of a run.
type State int

// The states of a run.
const (
	Running State = iota
	Done          // whole answer received
	Unknown       // sent, and what became of it is not known
	NotRun        // surely not run; the key is free again
)

// RunID names one run: the process that does it, and a number of its own.
type RunID struct {
	Incarnation string
	Number      uint64
}

// Record is what a holder knows of a key.
type Record struct {
	Fingerprint Fingerprint
	Run         RunID
	Runner      objects.Member
	State       State
	Answer      Answer // when Done and Kept
	Kept        bool   // false for an answer too large to keep
}

// Errors of Do besides those of the context.
var (
	ErrMismatch    = errors.New("the Idempotency-Key was used for another request")
	ErrUnknown     = errors.New("what became of the request with this Idempotency-Key is not known")
	ErrNotKept     = errors.New("the request was run, but its answer was too large to keep")
	ErrUnavailable = errors.New("not all holders of the Idempotency-Key could record it; no request with it was run")
	ErrUndecided   = errors.New("no holder of the Idempotency-Key answers; whether an earlier request with it was run is not known now")
	ErrRunFailed   = errors.New("the request was tried and failed")
)

// Limits of an instance's records.
type Limits struct {
	Entries     int
	Bytes       int
	AnswerBytes int           // larger answers are not kept
	Settled     time.Duration // how long a settled record is kept
	Running     time.Duration // longest a run may last
}

// DefaultLimits returns the limits in use.
func DefaultLimits() Limits {
	return Limits{Entries: 1 << 16, Bytes: 32 << 20, AnswerBytes: 64 << 10, Settled: 10 * time.Minute, Running: time.Hour}
}

// doubled returns limits under which records outlive those under l.
func (l Limits) doubled() Limits {
	l.Settled *= 2
	l.Running *= 2
	return l
}
