package link

import (
	"net"
	"sync/atomic"
	"time"
)

// Traffic holds the bytes on the wire, including TLS overhead.
type Traffic struct{ Sent, Received int64 }

// byteCounter counts the bytes of all connections of a Server or a Dialer.
type byteCounter struct{ sent, received atomic.Int64 }

func (c *byteCounter) traffic() Traffic {
	return Traffic{Sent: c.sent.Load(), Received: c.received.Load()}
}

// countingConn is a connection that counts its bytes and bounds each write.
type countingConn struct {
	net.Conn
	counter *byteCounter
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.received.Add(int64(n))
	return n, err
}

// writeTimeout bounds one write, so that a network path that drops packets does not
// block the callers that share the connection.
const writeTimeout = 5 * time.Second

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.counter.sent.Add(int64(n))
	return n, err
}
