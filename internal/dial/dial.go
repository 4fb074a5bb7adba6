// Package dial opens TCP connections that detect a broken network path: the kernel
// closes a connection when sent data stays unacknowledged or when the peer does not
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
// connection on which sent data stays unacknowledged for userTimeout
// (TCP_USER_TIMEOUT). It sends keep-alive probes on a connection that has been idle
// for userTimeout, at intervals of half of it.
func Dialer(timeout, userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: userTimeout, Interval: userTimeout / 2, Count: 2},
		Control: func(_, _ string, c syscall.RawConn) error {
			var sockoptErr error
			err := c.Control(func(fd uintptr) {
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockoptErr
		},
	}
}

// Func returns a dial function that connects as Dialer does. Closing one of its
// connections resets it and drops the kernel's unsent data. Otherwise, a request
// abandoned on a broken path could arrive when the path recovers, long after its
// lease has expired or its caller has timed out.
func Func(timeout, userTimeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	dialer := Dialer(timeout, userTimeout)
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
