package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/pomelocross/pomelocross/internal/bodyread"
)

// Target is one incarnation of an upstream, that is, one run of its process.
type Target struct {
	ID      string
	Address string // IP:port
	Started int64  // start time, Unix ms; 0 if unknown
}

// Forward is a caller's request as it is forwarded to an upstream.
type Forward struct {
	ID     string // request ID of the caller, unchanged
	Method string
	Host   string
	Target string // path and query exactly as sent by the caller
	Header http.Header
	Body   []byte
	Team   string // empty on routes without authentication
	// Budget is the time left until the deadline; zero if no caller is waiting.
	Budget time.Duration
	// LastEventID is the ID of the last known event of the response; nil if none.
	LastEventID *int64
	// Permit, unless nil, is called right before the first byte is written to a
	// connection. If it returns false, nothing is written and the error has NotSent set.
	// It may block.
	Permit func() bool
}

// Reply is the response of an upstream. The receiver must close Body.
type Reply struct {
	Status int
	ID     string // ID of the request, as reported by the upstream
	Header http.Header
	Body   io.ReadCloser
	// NotRun is true if the upstream did not execute the request and never will.
	NotRun bool
	// Misdirected is true if the address now belongs to another upstream.
	Misdirected bool
	// Signature is the upstream's signature of the response; empty if it has none.
	Signature string
	// Occupancy is the load that the upstream reported; nil if it did not.
	Occupancy *Occupancy
	// RateLimit is the number of requests in a second that the upstream accepts from all
	// instances together; 0 if it names no limit.
	RateLimit float64
	// RateLimitErr is set if the upstream names a limit that cannot be decoded.
	RateLimitErr error
	// Cold is the remaining time for which the upstream is slow after its start; 0 if it is
	// not or did not report it.
	Cold time.Duration
	// Version is the weight version at the start of the response; 0 if not
	// reported.
	Version int64
	// Next reads the next complete event of a streamed response. It returns
	// io.EOF if the stream ended between two events.
	Next func() (Event, error)
}

// maxDiscardedBytes limits a response body that is discarded.
const maxDiscardedBytes = 1 << 20

// Discard reads the rest of the body. It returns an error if the response is truncated; its status
// and header must not be trusted then.
func (r *Reply) Discard() error { return bodyread.Discard(r.Body, maxDiscardedBytes) }

// Occupancy is the load of an upstream in requests: being processed, queued, and
// the maximum that it processes concurrently.
type Occupancy struct {
	Running, Waiting, Slots int
	// Slowness is how long work takes on the upstream's machine at this moment, relative to
	// the usual time; 0 if not stated.
	Slowness float64
}

// Forwarder forwards requests to upstreams. Errors are of type *SendError; they wrap
// ErrOtherRequest if the response belongs to another request.
type Forwarder interface {
	Forward(ctx context.Context, to Target, f Forward) (*Reply, error)
}

// ErrOtherRequest is the cause of an error for a response that belongs to another request, as
// a late second copy of an earlier response does. It says nothing about the request that was
// sent: that may have run.
var ErrOtherRequest = errors.New("response belongs to another request")

// CheckID returns ErrOtherRequest unless a response with the ID got belongs to the request
// with the ID sent. Nothing else of a response may be used before.
func CheckID(got, sent string) error {
	if got != sent {
		return ErrOtherRequest
	}
	return nil
}

// Event is one event of a streamed response.
type Event struct {
	ID   int64
	Data string
	// Version is the weight version from this event on; 0 if unchanged.
	Version int64
	Raw     []byte // as received, including the terminating empty line
}
