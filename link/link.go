package link

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/samber/oops"
)

const dialTimeout = 2 * time.Second

// Server accepts peers' calls.
type Server struct {
	rpc      *rpc.Server
	identity *Identity
	bytes    counter

	mu    sync.Mutex // guards conns, which Close ends
	conns map[net.Conn]struct{}
}

// NewServer returns a server without services.
func NewServer(identity *Identity) *Server {
	return &Server{rpc: rpc.NewServer(), identity: identity, conns: map[net.Conn]struct{}{}}
}

// Register adds a service as net/rpc does.
func (s *Server) Register(name string, service any) error { return s.rpc.RegisterName(name, service) }

// Serve accepts connections until the listener closes.
func (s *Server) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serve(tls.Server(counted{conn, &s.bytes}, s.identity.config()))
	}
}

func (s *Server) serve(conn *tls.Conn) {
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	err := conn.HandshakeContext(ctx)
	cancel()
	if err != nil {
		return
	}
	s.track(conn, true)
	defer s.track(conn, false)
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

// Close ends all open connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}

// Traffic returns what the connections of callers have carried.
func (s *Server) Traffic() Traffic { return s.bytes.traffic() }

// Dialer keeps one connection to each peer.
type Dialer struct {
	identity *Identity
	bytes    counter

	mu    sync.Mutex // guards peers; never held while dialling
	peers map[string]*peer
}

// NewDialer returns a Dialer that proves identity.
func NewDialer(identity *Identity) *Dialer {
	return &Dialer{identity: identity, peers: map[string]*peer{}}
}

// Traffic returns what the connections to peers have carried.
func (d *Dialer) Traffic() Traffic { return d.bytes.traffic() }

// Call calls method at address and waits for the answer or the end of ctx. An
// error answered by the peer is an rpc.ServerError; after any other error the
// call may or may not have run. A connection on which nothing was answered
// during a call that ran into its end is not used again.
func (d *Dialer) Call(ctx context.Context, address, method string, args, reply any) error {
	p, err := d.peer(ctx, address)
	if err != nil {
		return oops.In("link").With("step", "dial", "peer", address).Wrap(err)
	}
	started := time.Now()
	p.begin()
	call := p.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return d.finish(address, method, p, call.Error)
	case <-ctx.Done():
		if p.silentSince(started) {
			d.drop(address, p)
		}
		p.end(false)
		return oops.In("link").With("step", method, "peer", address).Wrap(ctx.Err())
	}
}

func (d *Dialer) finish(address, method string, p *peer, err error) error {
	_, refused := err.(rpc.ServerError)
	p.end(err == nil || refused)
	if err == nil {
		return nil
	}
	if !refused {
		d.drop(address, p)
	}
	return oops.In("link").With("step", method, "peer", address).Wrap(err)
}

func (d *Dialer) peer(ctx context.Context, address string) (*peer, error) {
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
	secured := tls.Client(counted{conn, &d.bytes}, d.identity.config())
	if err := secured.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return d.keep(address, &peer{client: rpc.NewClient(secured), answered: time.Now()}), nil
}

// keep stores p unless another goroutine was first, whose connection it returns.
func (d *Dialer) keep(address string, p *peer) *peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if first := d.peers[address]; first != nil {
		p.client.Close()
		return first
	}
	d.peers[address] = p
	return p
}

// drop uses p for no further call.
func (d *Dialer) drop(address string, p *peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peers[address] == p {
		delete(d.peers, address)
	}
	p.retire()
}

// Close ends all connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, p := range d.peers {
		p.client.Close()
		delete(d.peers, address)
	}
}
