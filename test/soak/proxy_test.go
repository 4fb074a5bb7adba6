package soak

import (
	"io"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
)

// mode is how a proxy treats what passes it.
type mode int

// The modes.
const (
	pass     mode = iota
	delayed       // each piece waits
	cut           // open connections are reset, new ones refused
	silenced      // nothing passes either way; connections stay open
	oneWay        // answers do not come back
	modes
)

func (m mode) String() string {
	return [...]string{"pass", "delayed", "cut", "silenced", "one way"}[m]
}

const delay = 120 * time.Millisecond

// proxy is a path to an address that can be harmed.
type proxy struct {
	address string // where callers connect
	to      string

	mu    sync.Mutex // guards all below
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(to string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Fail(err.Error())
	}
	p := &proxy{address: listener.Addr().String(), to: to, conns: map[net.Conn]bool{}}
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

func (p *proxy) now() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == cut {
		for conn := range p.conns {
			reset(conn)
		}
	}
}

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // a closed one needs no reset
	conn.Close()
}

func (p *proxy) track(conn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[conn] = true
		return
	}
	delete(p.conns, conn)
}

func (p *proxy) serve(conn net.Conn) {
	if p.now() == cut {
		reset(conn)
		return
	}
	other, err := net.Dial("tcp", p.to)
	if err != nil {
		reset(conn)
		return
	}
	p.track(conn, true)
	p.track(other, true)
	var both sync.WaitGroup
	both.Go(func() { p.copy(other, conn, false) })
	both.Go(func() { p.copy(conn, other, true) })
	both.Wait()
	p.track(conn, false)
	p.track(other, false)
}

// copy passes one direction on; a broken end breaks the other by a reset, since a
// normal end would make a cut answer look whole.
func (p *proxy) copy(to, from net.Conn, back bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for m := p.now(); m == silenced || m == oneWay && back; m = p.now() {
			time.Sleep(20 * time.Millisecond)
		}
		if p.now() == delayed {
			time.Sleep(delay)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite() // a closed one has ended already
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}
