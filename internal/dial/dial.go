// Package dial opens connections that notice a silent path: the kernel ends one
// on which sent bytes stay unacknowledged, or whose peer answers no probes.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer returns a dialer that gives up connecting after timeout, and a
// connection after silence without acknowledgement.
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

// Func connects as Dialer does. Closing a connection resets it: what the kernel
// still holds is dropped, so that a request which was given up on a broken path does
// not arrive when the path heals, long after its lease or its caller.
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
