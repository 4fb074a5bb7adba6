package e2e

import (
	"net"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// relay passes connections on until it is cut. It stands for the network
// between two processes.
type relay struct {
	address string
	target  string

	mu       sync.Mutex // guards all below
	cut      bool
	silent   bool // accept and pass nothing on, as a path that drops packets
	open     map[net.Conn]struct{}
	listener net.Listener
}

func newRelay(target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &relay{address: listener.Addr().String(), target: target, open: map[net.Conn]struct{}{}, listener: listener}
	go r.accept()
	DeferCleanup(func() {
		listener.Close()
		r.setCut(true)
	})
	return r
}

// setCut resets all connections and refuses new ones, or lets them pass again.
func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	r.dropAll()
}

// setSilent drops everything without resetting anything, or lets it pass again.
func (r *relay) setSilent(silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = silent
	if !silent {
		r.dropAll()
	}
}

// dropAll closes open connections. The caller holds mu.
func (r *relay) dropAll() {
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
		go r.pass(conn)
	}
}

func (r *relay) pass(from net.Conn) {
	to, err := net.Dial("tcp", r.target)
	if err != nil || !r.keep(from, to) {
		from.Close()
		return
	}
	go r.copy(to, from)
	r.copy(from, to)
}

func (r *relay) keep(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
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
		if r.isSilent() {
			continueSilently(from)
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

// continueSilently reads until the connection is closed, passing nothing on.
func continueSilently(from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		if _, err := from.Read(buffer); err != nil {
			return
		}
	}
}

func (r *relay) isSilent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent
}
