package link

import (
	"net/rpc"
	"sync"
	"time"
)

// peer is one connection to a peer with its calls.
type peer struct {
	client *rpc.Client

	mu       sync.Mutex // guards all below
	running  int
	answered time.Time // when the newest answer came
	retired  bool      // takes no new calls; closed when none runs
}

// begin counts a call that starts.
func (p *peer) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running++
}

// end counts a call that is over.
func (p *peer) end(answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	if answered {
		p.answered = time.Now()
	}
	p.closeIfDone()
}

// silentSince reports whether no answer has come since a time. A path that drops
// packets shows only in this way.
func (p *peer) silentSince(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answered.Before(since)
}

// retire closes the connection when its last call is over, which leaves a long
// call on a slow path its chance.
func (p *peer) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	p.closeIfDone()
}

// closeIfDone closes a retired connection without calls. The caller holds mu.
func (p *peer) closeIfDone() {
	if p.retired && p.running == 0 {
		p.client.Close()
	}
}
