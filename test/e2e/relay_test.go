package e2e

import (
	"net"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// relay is a TCP proxy that simulates the network between two processes and its
// failures.
type relay struct {
	address string
	target  string

	mu           sync.Mutex // guards the fields below
	disconnected bool
	blackholed   bool // connections are accepted, but data is discarded, as if packets were dropped
	open         map[net.Conn]struct{}
	listener     net.Listener
}

func newRelay(target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &relay{address: listener.Addr().String(), target: target, open: map[net.Conn]struct{}{}, listener: listener}
	go r.accept()
	DeferCleanup(func() {
		listener.Close()
		r.setDisconnected(true)
	})
	return r
}

// setDisconnected closes all connections and new ones too, or restores the relay.
func (r *relay) setDisconnected(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disconnected = cut
	r.closeAll()
}

// setBlackholed discards all data without closing connections, or restores the relay and
// closes open connections.
func (r *relay) setBlackholed(silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blackholed = silent
	if !silent {
		r.closeAll()
	}
}

// closeAll closes open connections. The caller holds mu.
func (r *relay) closeAll() {
	for conn := range r.open {
		conn.Close()
		delete(r.open, conn)
	}
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(conn)
	}
}

func (r *relay) forward(from net.Conn) {
	to, err := net.Dial("tcp", r.target)
	if err != nil || !r.track(from, to) {
		from.Close()
		return
	}
	go r.copy(to, from)
	r.copy(from, to)
}

// track registers open connections. It returns false if the relay is disconnected.
func (r *relay) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.disconnected {
		return false
	}
	for _, conn := range conns {
		r.open[conn] = struct{}{}
	}
	return true
}

func (r *relay) copy(to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if r.isBlackholed() {
			discard(from)
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// discard reads and discards data until the connection is closed.
func discard(from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		if _, err := from.Read(buffer); err != nil {
			return
		}
	}
}

func (r *relay) isBlackholed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.blackholed
}
