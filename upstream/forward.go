package upstream

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Target is one incarnation of an upstream.
type Target struct {
	ID      string
	Address string // IP:port
}

// Forward is a caller's request as it goes to an upstream.
type Forward struct {
	ID     string // the caller's, unchanged
	Method string
	Host   string
	Target string // path and query as the caller wrote them
	Header http.Header
	Body   []byte
	Team   string // empty on open routes
	// Budget is the time left; zero for work that nobody waits for.
	Budget time.Duration
	// LastEvent is the last event of the answer that is known; nil for none.
	LastEventID *int64
}

// Reply is the head of an upstream's answer. The body is closed by the receiver.
type Reply struct {
	Status int
	ID     string // the request that it answers, as the upstream says
	Header http.Header
	Body   io.ReadCloser
	// NotRun says that the upstream did not run the request and never will.
	NotRun bool
	// Misdirected says that another upstream has the address now.
	Misdirected bool
	// Signed says that the answer bears the upstream's signature.
	Signed bool
	// Busy is what the upstream said of its load; nil when it did not.
	Occupancy *Occupancy
	// Version is the weight version that the answer begins under; 0 when not said.
	Version int64
	// Next reads the next whole event of a streamed answer. io.EOF means that the
	// stream ended between events.
	Next func() (Event, error)
}

// Occupancy is how many requests an upstream works on, keeps waiting and can
// work on.
type Occupancy struct{ Running, Waiting, Slots int }

// Forwarder sends requests to upstreams. An error is a *SendError.
type Forwarder interface {
	Forward(ctx context.Context, to Target, f Forward) (*Reply, error)
}

// Event is one event of a streamed answer.
type Event struct {
	ID   int64
	Data string
	// Version is the weight version from this event on; 0 when unchanged.
	Version int64
	Raw     []byte // as it came, with its empty line
}
