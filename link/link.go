package link

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/samber/oops"
)

// dialTimeout bounds dialing with its TLS handshake, and the handshake of an
// accepted connection.
const dialTimeout = 2 * time.Second

// Server serves RPC calls of peers.
type Server struct {
	rpc      *rpc.Server
	identity *Identity
	bytes    byteCounter

	mu    sync.Mutex            // guards conns
	conns map[net.Conn]struct{} // without TLS, whose Close may wait for seconds to write a notice
}

// NewServer returns a server without services that authenticates with identity.
func NewServer(identity *Identity) *Server {
	return &Server{rpc: rpc.NewServer(), identity: identity, conns: map[net.Conn]struct{}{}}
}

// Register adds a service under name, as rpc.Server.RegisterName does.
func (s *Server) Register(name string, service any) error { return s.rpc.RegisterName(name, service) }

// Pauses after a connection could not be accepted, for example because the process has
// no free file descriptor. The pause doubles with each consecutive failure.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// Serve accepts and serves connections until the listener is closed, and then returns
// net.ErrClosed. It passes every other error of the listener to onError and goes on.
func (s *Server) Serve(listener net.Listener, onError func(error)) error {
	pause := minAcceptPause
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return net.ErrClosed
		}
		if err != nil {
			onError(err)
			time.Sleep(pause)
			pause = min(2*pause, maxAcceptPause)
			continue
		}
		pause = minAcceptPause
		go s.serve(conn, tls.Server(countingConn{conn, &s.bytes}, s.identity.tlsConfig()))
	}
}

// establisher is a connection that a listener treats differently once its peer is known.
type establisher interface{ Established() }

func (s *Server) serve(accepted net.Conn, conn *tls.Conn) {
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	err := conn.HandshakeContext(ctx)
	cancel()
	if err != nil {
		return
	}
	if e, ok := accepted.(establisher); ok {
		e.Established()
	}
	s.track(conn.NetConn(), true)
	defer s.track(conn.NetConn(), false)
	s.rpc.ServeConn(conn)
}

func (s *Server) track(conn net.Conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.conns[conn] = struct{}{}
		return
	}
	delete(s.conns, conn)
}

// Close closes all open connections. It does not close the listener.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}

// Traffic returns the bytes sent and received on accepted connections.
func (s *Server) Traffic() Traffic { return s.bytes.traffic() }

// Dialer calls peers over one reused connection to each. It is safe for concurrent
// use.
type Dialer struct {
	identity *Identity
	bytes    byteCounter

	mu    sync.Mutex // guards peers; never held while dialing
	peers map[string]*peerConn
}

// NewDialer returns a Dialer that authenticates with identity.
func NewDialer(identity *Identity) *Dialer {
	return &Dialer{identity: identity, peers: map[string]*peerConn{}}
}

// Traffic returns the bytes sent and received on dialed connections.
func (d *Dialer) Traffic() Traffic { return d.bytes.traffic() }

// Call calls method at address and waits for the reply or until ctx is done. An
// error that the peer returned wraps an rpc.ServerError; after any other error the
// call may or may not have run. If ctx ends and no reply to any call has arrived on
// the connection since this call began, the connection is not reused. reply is written
// only if Call returns nil. args must not be changed after an error: the call may still be
// waiting to be written.
func (d *Dialer) Call(ctx context.Context, address, method string, args, reply any) error {
	p, err := d.peer(ctx, address)
	if err != nil {
		return oops.In("link").With("step", "dial", "peer", address).Wrap(err)
	}
	started := time.Now()
	p.beginCall()
	// A reply may arrive after ctx has ended, when the caller no longer expects writes.
	received := reflect.New(reflect.TypeOf(reply).Elem())
	done := make(chan *rpc.Call, 1)
	// Go blocks while the connection takes no bytes, also for another call.
	go p.client.Go(method, args, received.Interface(), done)
	select {
	case call := <-done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(received.Elem())
		}
		return d.finishCall(address, method, p, call.Error)
	case <-ctx.Done():
		if p.noReplySince(started) {
			d.dropPeer(address, p)
		}
		p.endCall(false)
		return oops.In("link").With("step", method, "peer", address).Wrap(ctx.Err())
	}
}

func (d *Dialer) finishCall(address, method string, p *peerConn, err error) error {
	_, replied := err.(rpc.ServerError)
	p.endCall(err == nil || replied)
	if err == nil {
		return nil
	}
	if !replied {
		d.dropPeer(address, p)
	}
	return oops.In("link").With("step", method, "peer", address).Wrap(err)
}

func (d *Dialer) peer(ctx context.Context, address string) (*peerConn, error) {
	d.mu.Lock()
	p := d.peers[address]
	d.mu.Unlock()
	if p != nil {
		return p, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tlsConn := tls.Client(countingConn{conn, &d.bytes}, d.identity.tlsConfig())
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return d.addPeer(address, &peerConn{conn: conn, client: rpc.NewClient(tlsConn), lastReply: time.Now()}), nil
}

// addPeer stores p and returns it. If another goroutine has stored a connection
// first, it closes p and returns that one.
func (d *Dialer) addPeer(address string, p *peerConn) *peerConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if existing := d.peers[address]; existing != nil {
		p.close()
		return existing
	}
	d.peers[address] = p
	return p
}

// dropPeer excludes p from further calls. Its running calls may finish.
func (d *Dialer) dropPeer(address string, p *peerConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peers[address] == p {
		delete(d.peers, address)
	}
	p.retire()
}

// Close closes all connections except retired ones, which are closed when their
// last call finishes.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, p := range d.peers {
		p.close()
		delete(d.peers, address)
	}
}
