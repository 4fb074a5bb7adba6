package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Limits bound the connections of a listener.
type Limits struct {
	Connections int // in total
	PerAddress  int // of one IP address; 0 for no bound of its own
}

// Listener bounds the connections of a listener and accounts for the memory of their heads. If
// there are too many, it closes one that waits for a request, or else the new one.
type Listener struct {
	net.Listener
	limits Limits
	memory *Memory

	mu    sync.Mutex // guards conns and byAddress
	conns map[*conn]struct{}
	// byAddress holds the number of connections by IP address.
	byAddress map[string]int
}

// NewListener returns a Listener for the connections of next.
func NewListener(next net.Listener, limits Limits, memory *Memory) *Listener {
	return &Listener{Listener: next, limits: limits, memory: memory, conns: map[*conn]struct{}{}, byAddress: map[string]int{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(accepted); c != nil {
			return c, nil
		}
		_ = accepted.Close() // nothing was sent on it
	}
}

// admit returns the connection to serve; nil if it is to be closed.
func (l *Listener) admit(accepted net.Conn) *conn {
	address := ipOf(accepted)
	l.mu.Lock()
	if l.limits.PerAddress > 0 && l.byAddress[address] >= l.limits.PerAddress {
		l.refuse(ReasonAddress)
		l.mu.Unlock()
		return nil
	}
	var replaced *conn
	if len(l.conns) >= l.limits.Connections {
		if replaced = l.replaceable(); replaced == nil {
			l.refuse(ReasonConnections)
			l.mu.Unlock()
			return nil
		}
		l.refuse(ReasonReplaced)
		l.remove(replaced)
	}
	c := &conn{Conn: accepted, listener: l, address: address, since: l.memory.now()}
	c.claim = l.memory.Open(address, c.giveUp)
	l.conns[c] = struct{}{}
	l.byAddress[address]++
	l.mu.Unlock()
	if replaced != nil {
		_ = replaced.Close() // its caller is refused whatever the error
	}
	return c
}

// refuse records a refusal. The caller holds mu.
func (l *Listener) refuse(reason Reason) {
	l.memory.refusals.Refused(reason, func() []zap.Field {
		most := largest(l.byAddress)
		return []zap.Field{zap.String("address", most), zap.Int("connections", l.byAddress[most])}
	})
}

// replaceable returns a connection to close for a new one, which delivers no request any more; nil
// if there is none. The caller holds mu.
func (l *Listener) replaceable() *conn {
	conns := make([]*conn, 0, len(l.conns))
	occupants := make([]occupant, 0, len(l.conns))
	for c := range l.conns {
		conns, occupants = append(conns, c), append(occupants, c.occupant())
	}
	n := replaceable(occupants, l.memory.now())
	if n < 0 || !conns[n].end() && !occupants[n].stalled {
		return nil
	}
	return conns[n]
}

// remove removes a connection. The caller holds mu.
func (l *Listener) remove(c *conn) {
	if _, ok := l.conns[c]; !ok {
		return
	}
	delete(l.conns, c)
	if l.byAddress[c.address]--; l.byAddress[c.address] == 0 {
		delete(l.byAddress, c.address)
	}
}

func ipOf(c net.Conn) string {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return c.RemoteAddr().String()
}

// writeBytes is the size of the parts in which responses are written. Progress is recorded after
// each, so that a larger one could take longer than a caller may who makes just enough progress.
const writeBytes = minProgressBytes

// conn is a connection of a caller.
type conn struct {
	net.Conn
	listener *Listener
	claim    *Claim
	address  string

	mu      sync.Mutex // guards all below
	phase   phase
	since   time.Time // begin of the phase
	size    headSize
	charged int    // cost of the head that is claimed
	endHead func() // ends the wait for the head
	ended   bool   // nothing that comes is delivered any more
	closed  bool
}

// errEnded is the error of reads after a connection was given up. net/http closes connections with
// such errors without a response.
var errEnded = &net.OpError{Op: "read", Err: net.ErrClosed}

// Read implements net.Conn. It claims the memory of heads.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.claim.Progress(n)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return 0, errEnded
	}
	if c.phase == idle {
		c.phase, c.since, c.endHead = head, c.listener.memory.now(), c.claim.Wait()
	}
	if c.phase == head {
		c.size.add(p[:n])
		cost := c.size.cost()
		if c.claim.Grow(cost-c.charged) != nil {
			c.ended = true
			return 0, errEnded
		}
		c.charged = cost
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	defer c.claim.WaitWrite()()
	written := 0
	for {
		n, err := c.Conn.Write(p[written:min(len(p), written+writeBytes)])
		written += n
		c.claim.Progress(n)
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	if first {
		c.claim.Close()
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.listener.remove(c)
	}
	return err
}

// Established marks the connection as one of another instance, which is not closed for others.
func (c *conn) Established() { c.begin() }

// begin marks the begin of a request's handler. It reports false if the connection has ended, so
// that the request must not be served.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = serving, c.listener.memory.now()
	c.stopHead()
	return !c.ended
}

// rest marks the end of a request. The next one may follow.
func (c *conn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since, c.size, c.charged = idle, c.listener.memory.now(), headSize{}, 0
	c.stopHead()
	c.claim.Reset()
}

func (c *conn) stopHead() {
	if c.endHead != nil {
		c.endHead()
		c.endHead = nil
	}
}

func (c *conn) occupant() occupant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return occupant{c.phase, c.since, c.claim.stalled()}
}

// end stops the delivery of requests. It reports false if one is being served.
func (c *conn) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = c.ended || c.phase != serving
	return c.ended
}

// giveUp breaks off what the caller sends or receives. A request that is being read fails, so that
// it can be rejected; other connections are closed. If the read or write has ended meanwhile,
// nothing is broken off: the reader of the body finds that the caller was given up.
func (c *conn) giveUp() {
	if c.end() || c.breakOff() {
		_ = c.Close() // the caller is given up whatever the error
	}
}

// breakOff ends the read that waits for the caller. It reports true if a write waits instead, whose
// connection is to be closed.
func (c *conn) breakOff() (closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claim.interrupt(func(writing bool) {
		if closing = writing; !writing {
			_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
		}
	})
	c.ended = c.ended || closing
	return closing
}

// CloseWrite ends what is sent. net/http calls it before it closes a connection, so that the caller
// gets the response.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// contextKey is the key of a connection in the context of its requests.
type contextKey struct{}

// ClaimOf returns the claim of the connection of a request; nil if it came without a Listener.
func ClaimOf(ctx context.Context) *Claim {
	if c, ok := ctx.Value(contextKey{}).(*conn); ok {
		return c.claim
	}
	return nil
}

// Attach makes a server that serves a Listener report the begin and end of requests. Requests whose
// connection has ended are aborted: net/http may have read their heads before, from one read with
// an earlier request for example, and no caller can get their responses.
func Attach(server *http.Server) {
	next := server.Handler
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if x, ok := c.(*conn); ok && state == http.StateIdle {
			x.rest()
		}
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(contextKey{}).(*conn); ok && !c.begin() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}
