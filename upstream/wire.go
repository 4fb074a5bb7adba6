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
)

const (
	dialTimeout = time.Second
	// silenceTimeout ends a connection on which sent bytes stay unacknowledged;
	// ways inside a deployment take milliseconds.
	silenceTimeout = 2 * time.Second
)

// SendError is the failure of a request before its answer was whole. NotSent is
// true only when no byte of the request has left and none will.
type SendError struct {
	NotSent bool
	Err     error
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

var errSealed = errors.New("connection is sealed after its request was given up")

// conn counts what is written to an upstream. HTTP/1 has one request in flight
// on a connection, so the count tells whether a request has begun to leave.
type conn struct {
	net.Conn

	mu     sync.Mutex // guards begun and sealed; not held while writing
	begun  int64      // bytes handed to the kernel, or about to be
	sealed bool
}

// Write implements net.Conn. Bytes count before they are written: a write that
// is under way when its request is given up must not pass as not sent.
func (c *conn) Write(p []byte) (int, error) {
	if !c.begin(len(p)) {
		return 0, errSealed
	}
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.takeBack(len(p))
	}
	return n, err
}

func (c *conn) begin(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.begun += int64(n)
	return true
}

func (c *conn) takeBack(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun -= int64(n)
}

func (c *conn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun
}

// seal reports whether nothing was written since mark. If so, nothing ever will
// be: net/http writes on a goroutine of its own, which may only be late.
func (c *conn) seal(mark int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun > mark {
		return false
	}
	c.sealed = true
	return true
}

// wire follows one request through net/http.
type wire struct {
	mu   sync.Mutex // guards conn and mark; the hook may run on another goroutine
	conn *conn
	mark int64 // bytes written to conn before the request
	sent bool  // on an earlier connection
}

func (w *wire) watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: w.gotConn})
}

func (w *wire) gotConn(info httptrace.GotConnInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil {
		w.sent = w.sent || !w.conn.seal(w.mark)
	}
	w.conn, _ = info.Conn.(*conn)
	if w.conn != nil {
		w.mark = w.conn.count()
	}
}

// notSent settles whether the request surely stayed here.
func (w *wire) notSent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sent {
		return false
	}
	return w.conn == nil || w.conn.seal(w.mark)
}

func newTransport() *http.Transport {
	connect := dial.Func(dialTimeout, silenceTimeout)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			dialled, err := connect(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: dialled}, nil
		},
		MaxIdleConnsPerHost: maxIdlePerUpstream,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
}

const maxIdlePerUpstream = 256
