package link

import (
	"net"
	"net/rpc"
	"sync"
	"time"
)

// peerConn is a connection to a peer with the state of its calls.
type peerConn struct {
	conn   net.Conn // without TLS
	client *rpc.Client

	mu           sync.Mutex // guards the fields below
	pendingCalls int
	lastReply    time.Time // time of the newest reply, or of the connection setup before the first
	retired      bool      // takes no new calls; closed once no call is pending
}

// beginCall counts a started call.
func (p *peerConn) beginCall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingCalls++
}

// endCall counts a finished call. replied says whether the peer replied.
func (p *peerConn) endCall(replied bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingCalls--
	if replied {
		p.lastReply = time.Now()
	}
	p.closeIfIdle()
}

// noReplySince reports whether no reply has arrived since a time. A network path
// that drops packets without an error can't be detected otherwise.
func (p *peerConn) noReplySince(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastReply.Before(since)
}

// retire closes the connection once its last call has finished, so that a long call
// over a slow path can still complete.
func (p *peerConn) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	p.closeIfIdle()
}

// closeIfIdle closes a retired connection without pending calls. The caller holds
// mu.
func (p *peerConn) closeIfIdle() {
	if p.retired && p.pendingCalls == 0 {
		p.close()
	}
}

// close closes the connection without a notice to the peer. TLS would wait up to 5 s to write
// one to a connection that takes no bytes, and all calls of the dialer with it.
func (p *peerConn) close() {
	_ = p.conn.Close()   // nothing more is expected on it
	_ = p.client.Close() // fails if the connection was lost before
}
