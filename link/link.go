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
		go s.serve(tls.Server(conn, s.identity.config()))
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

// Dialer keeps one connection to each peer.
type Dialer struct {
	identity *Identity

	mu    sync.Mutex // guards peers; never held while dialling
	peers map[string]*rpc.Client
}

// NewDialer returns a Dialer that proves identity.
func NewDialer(identity *Identity) *Dialer {
	return &Dialer{identity: identity, peers: map[string]*rpc.Client{}}
}

// Call calls method at address and waits for the answer or the end of ctx. An
// error answered by the peer is an rpc.ServerError; after any other error the
// call may or may not have run.
func (d *Dialer) Call(ctx context.Context, address, method string, args, reply any) error {
	client, err := d.client(ctx, address)
	if err != nil {
		return oops.In("link").With("step", "dial", "peer", address).Wrap(err)
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return d.finish(address, method, client, call.Error)
	case <-ctx.Done():
		return oops.In("link").With("step", method, "peer", address).Wrap(ctx.Err())
	}
}

func (d *Dialer) finish(address, method string, client *rpc.Client, err error) error {
	if err == nil {
		return nil
	}
	if _, answered := err.(rpc.ServerError); !answered {
		d.drop(address, client)
	}
	return oops.In("link").With("step", method, "peer", address).Wrap(err)
}

func (d *Dialer) client(ctx context.Context, address string) (*rpc.Client, error) {
	d.mu.Lock()
	client := d.peers[address]
	d.mu.Unlock()
	if client != nil {
		return client, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := tls.Dialer{Config: d.identity.config()}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return d.keep(address, rpc.NewClient(conn)), nil
}

// keep stores client unless another goroutine was first, whose client it returns.
func (d *Dialer) keep(address string, client *rpc.Client) *rpc.Client {
	d.mu.Lock()
	defer d.mu.Unlock()
	if first := d.peers[address]; first != nil {
		client.Close()
		return first
	}
	d.peers[address] = client
	return client
}

func (d *Dialer) drop(address string, client *rpc.Client) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peers[address] == client {
		delete(d.peers, address)
	}
	client.Close()
}

// Close ends all connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, client := range d.peers {
		client.Close()
		delete(d.peers, address)
	}
}
