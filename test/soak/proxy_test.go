package soak

import (
	"io"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
)

// mode is how a proxy handles connections and data.
type mode int

// Modes of a proxy.
const (
	forwarding       mode = iota
	delayed               // each chunk read is delayed by chunkDelay
	disconnected          // open connections are reset, and so are new ones
	stalled               // no data passes in either direction; connections stay open
	responsesBlocked      // data from the target does not reach the caller
	modeCount
)

func (m mode) String() string {
	return [...]string{"forwarding", "delayed", "disconnected", "stalled", "responses blocked"}[m]
}

const chunkDelay = 120 * time.Millisecond

// proxy is a TCP proxy in front of an address that can simulate network faults.
type proxy struct {
	address string // where clients connect
	target  string

	mu    sync.Mutex // guards the fields below
	mode  mode
	conns map[net.Conn]bool
	// degradedUntil holds the end of each period in which it did not just forward, by its
	// begin; zero while it lasts.
	degradedUntil map[time.Time]time.Time
}

func newProxy(target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Fail(err.Error())
	}
	p := &proxy{address: listener.Addr().String(), target: target, conns: map[net.Conn]bool{}, degradedUntil: map[time.Time]time.Time{}}
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

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordMode(m, time.Now())
	p.mode = m
	if m == disconnected {
		for conn := range p.conns {
			reset(conn)
		}
	}
}

// recordMode records the periods in which the proxy does not just forward. The caller holds
// mu.
func (p *proxy) recordMode(m mode, now time.Time) {
	for begin, end := range p.degradedUntil {
		if end.IsZero() {
			p.degradedUntil[begin] = now
		}
	}
	if m != forwarding {
		p.degradedUntil[now] = time.Time{}
	}
}

// degradedWithin reports whether the proxy did not just forward at some time in a period.
func (p *proxy) degradedWithin(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for begin, end := range p.degradedUntil {
		if begin.Before(to) && (end.IsZero() || end.After(from)) {
			return true
		}
	}
	return false
}

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // fails only if the connection is closed already
	conn.Close()
}

// track adds an open connection or removes a closed one.
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
	if p.currentMode() == disconnected {
		reset(conn)
		return
	}
	targetConn, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(conn)
		return
	}
	p.track(conn, true)
	p.track(targetConn, true)
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(targetConn, conn, false) })
	copies.Go(func() { p.copy(conn, targetConn, true) })
	copies.Wait()
	p.track(conn, false)
	p.track(targetConn, false)
}

// copy forwards one direction. An error on one side resets the other side, since an
// orderly close would make a truncated response look complete.
func (p *proxy) copy(to, from net.Conn, isResponse bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for m := p.currentMode(); m == stalled || m == responsesBlocked && isResponse; m = p.currentMode() {
			time.Sleep(20 * time.Millisecond)
		}
		if p.currentMode() == delayed {
			time.Sleep(chunkDelay)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite() // fails only if the connection is closed already
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}
