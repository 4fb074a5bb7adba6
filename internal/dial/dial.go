// Package dial opens TCP connections that detect a broken path: the kernel closes
// a connection when sent bytes stay unacknowledged or when the peer does not
// respond to keep-alive probes.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer returns a dialer with the given connect timeout. The kernel closes a
// connection on which sent data stays unacknowledged for silence
// (TCP_USER_TIMEOUT). Idle connections send keep-alive probes after silence, then
// every half of it.
func Dialer(timeout, silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: silence, Interval: silence / 2, Count: 2},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}

// Func returns a dial function that connects as Dialer does. Closing one of its
// connections resets it and drops the kernel's unsent data. Otherwise, a request
// abandoned on a broken path could arrive when the path recovers, long after its
// lease has expired or its caller has given up.
func Func(timeout, silence time.Duration) func(context.Context, string, string) (net.Conn, error) {
	dialer := Dialer(timeout, silence)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			if err := tcp.SetLinger(0); err != nil {
				conn.Close()
				return nil, err
			}
		}
		return conn, nil
	}
}
