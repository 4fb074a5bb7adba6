package link

import (
	"net"
	"sync/atomic"
	"time"
)

// Traffic counts bytes on the wire, TLS included.
type Traffic struct{ Sent, Received int64 }

// counter counts the bytes of all connections of one side.
type counter struct{ sent, received atomic.Int64 }

func (c *counter) traffic() Traffic { return Traffic{Sent: c.sent.Load(), Received: c.received.Load()} }

// counted is a connection whose bytes are counted.
type counted struct {
	net.Conn
	counter *counter
}

// Read implements net.Conn.
func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.received.Add(int64(n))
	return n, err
}

// writeTimeout bounds one write, so that a path that drops packets does not
// block the callers that share a connection.
const writeTimeout = 5 * time.Second

// Write implements net.Conn.
func (c counted) Write(b []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.counter.sent.Add(int64(n))
	return n, err
}
