package http1

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// undelivered returns the number of written bytes that the peer has not acknowledged; 0 if it is not
// available for the connection. It returns an error if the connection was reset.
func undelivered(conn net.Conn) (int, error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, nil
	}
	var queued int
	var failure error
	err = raw.Control(func(fd uintptr) { queued, failure = socketState(int(fd)) })
	if err != nil {
		return 0, err // the connection is closed
	}
	return queued, failure
}

func socketState(fd int) (queued int, failure error) {
	if code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR); err == nil && code != 0 {
		return 0, syscall.Errno(code)
	}
	queued, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
	if err != nil {
		return 0, nil // not available for this socket
	}
	return queued, nil
}
