package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pomelocross/pomelocross/internal/dial"
	"github.com/pomelocross/pomelocross/internal/http1"
)

const (
	dialTimeout = time.Second
	// DeliveryTimeout is the time after which a connection with unacknowledged sent
	// bytes is closed, so that no byte reaches the upstream later than this after it was
	// written. Round trips within a deployment take milliseconds.
	DeliveryTimeout = 2 * time.Second
)

// SendError is the error of a request that failed before its response was complete.
// NotSent is true only if no byte of the request was sent and none will be.
type SendError struct {
	NotSent bool
	Err     error
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *SendError) Unwrap() error { return e.Err }

// ErrWithheld is the cause of a SendError with NotSent for a request that was not written
// because its upstream may no longer get it. It is no failure of the upstream.
var ErrWithheld = errors.New("the upstream may no longer get the request")

var (
	errWritesBlocked = errors.New("writes on the connection are blocked because its request was abandoned")
	errNotPermitted  = errors.New("the request is no longer to be sent")
	errNotReusable   = errors.New("the connection is closed because its next response may belong to an earlier request")
)

// trackedConn counts the bytes written to an upstream. HTTP/1 has one request in
// flight on a connection, so the count shows whether sending a request has started.
type trackedConn struct {
	net.Conn

	mu      sync.Mutex  // guards all below; not held while writing
	started int64       // bytes that were or are being passed to the kernel
	blocked bool        // no further write may start
	permit  func() bool // Permit of a request of which no byte was written yet; may be nil
	verdict *verdict    // after the response to the last request; nil before the first
	// previous is the verdict for which the first write of a request waits; nil if it has
	// started. net/http may reuse a connection before the receiver of a response without a
	// body has seen it.
	previous *verdict
}

// verdict is the decision whether the connection may carry another request after a response.
type verdict struct {
	done     chan struct{} // closed when decided
	reusable bool          // valid once done is closed
}

func (v *verdict) decide(reusable bool) {
	v.reusable = reusable
	close(v.done)
}

// Write implements net.Conn. It counts bytes before it writes them: if a request is
// abandoned during a write, it must not be reported as not sent.
func (c *trackedConn) Write(p []byte) (int, error) {
	if !c.awaitVerdict() {
		c.blockWrites(c.startedBytes())
		return 0, errNotReusable
	}
	if permit := c.takePermit(); permit != nil && !permit() {
		c.blockWrites(c.startedBytes())
		return 0, errNotPermitted
	}
	if !c.addStarted(len(p)) {
		return 0, errWritesBlocked
	}
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.removeStarted(len(p))
	}
	return n, err
}

// beginRequest sets the Permit of the next request. It returns the number of bytes counted
// before the request and the verdict on its response, which the caller must decide if the
// request gets one.
func (c *trackedConn) beginRequest(permit func() bool) (int64, *verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.permit = permit
	c.previous, c.verdict = c.verdict, &verdict{done: make(chan struct{})}
	return c.started, c.verdict
}

// awaitVerdict waits for the verdict after the response before the current request, once. It
// returns false if the connection must not be reused: what it brings next may belong to an
// earlier request.
func (c *trackedConn) awaitVerdict() bool {
	c.mu.Lock()
	previous := c.previous
	c.mu.Unlock()
	if previous == nil {
		return true
	}
	<-previous.done
	c.mu.Lock()
	defer c.mu.Unlock()
	if previous.reusable {
		c.previous = nil
	}
	return previous.reusable
}

// closedByVerdict reports whether the current request waits for a verdict that was to close the
// connection.
func (c *trackedConn) closedByVerdict() bool {
	c.mu.Lock()
	previous := c.previous
	c.mu.Unlock()
	if previous == nil {
		return false
	}
	select {
	case <-previous.done:
		return !previous.reusable
	default:
		return false
	}
}

// takePermit returns the Permit of the request that is about to be written, once.
func (c *trackedConn) takePermit() func() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	permit := c.permit
	c.permit = nil
	return permit
}

// addStarted counts n bytes. It returns false if writes are blocked.
func (c *trackedConn) addStarted(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocked {
		return false
	}
	c.started += int64(n)
	return true
}

// removeStarted subtracts n bytes after a write that failed and sent nothing.
func (c *trackedConn) removeStarted(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started -= int64(n)
}

// startedBytes returns the number of bytes counted so far.
func (c *trackedConn) startedBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started
}

// blockWrites blocks all later writes unless one has started since startOffset, and
// reports whether it did. This is needed because net/http writes on a separate
// goroutine, which may start to write after the request was abandoned.
func (c *trackedConn) blockWrites(startOffset int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.started > startOffset {
		return false
	}
	c.blocked = true
	return true
}

// sendTracker records which connections net/http uses for one request and whether
// the request was written to them.
type sendTracker struct {
	permit func() bool // Permit of the request; may be nil

	mu          sync.Mutex // guards all below; gotConn may run on another goroutine
	conn        *trackedConn
	startOffset int64    // bytes written to conn before this request
	verdict     *verdict // on conn, after the response
	sentEarlier bool     // on a previous connection
}

// withTrace returns a context that reports the connections of a request to t.
func (t *sendTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

// gotConn is called for each connection on which net/http tries the request.
func (t *sendTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.sentEarlier = t.sentEarlier || !t.conn.blockWrites(t.startOffset)
		t.verdict.decide(false) // net/http has given the connection up
	}
	t.conn, _ = info.Conn.(*trackedConn)
	if t.conn != nil {
		t.startOffset, t.verdict = t.conn.beginRequest(t.permit)
	}
}

// onClosedConn reports whether the last connection of the request is closed because of its
// response before.
func (t *sendTracker) onClosedConn() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil && t.conn.closedByVerdict()
}

// decide records whether the connection of the request may carry another one. Otherwise it is
// closed: the next response on it may belong to any earlier request.
func (t *sendTracker) decide(reusable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return
	}
	t.verdict.decide(reusable)
	if !reusable {
		_ = t.conn.Close() // nothing more is expected on it
	}
}

// notSent reports whether no byte of the request was sent. If so, none will be sent
// later either.
func (t *sendTracker) notSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sentEarlier {
		return false
	}
	return t.conn == nil || t.conn.blockWrites(t.startOffset)
}

func newTransport(maxIdle int) *http.Transport {
	transport := http1.NewTransport(dial.Func(dialTimeout, DeliveryTimeout))
	connect := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := connect(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: c}, nil
	}
	transport.MaxIdleConns = maxIdle
	transport.MaxIdleConnsPerHost = maxIdleConnsPerUpstream
	transport.IdleConnTimeout = time.Minute
	return transport
}

const maxIdleConnsPerUpstream = 256
