// Package rawserver serves requests whose responses tests write to the connection themselves,
// such as responses that are cut, late, repeated or without end.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Respond writes the response to a request to the connection.
type Respond func(conn net.Conn, r *http.Request)

// Listen serves connections on a free local port until close is called. onConnection returns
// the Respond of a new connection, which is called once the body of a request was read.
func Listen(onConnection func() Respond) (address string, closeListener func() error, err error) {
	return listen(func(conn net.Conn) { serve(conn, readingBody(onConnection())) })
}

// ListenText is Listen with a Respond that writes text and closes the connection.
func ListenText(text string) (address string, closeListener func() error, err error) {
	return Listen(func() Respond {
		return func(conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, text) // the client may have closed the connection
			_ = conn.Close()
		}
	})
}

// receiveBufferBytes is a small receive buffer, so that clients cannot write a large body that the
// server doesn't read.
const receiveBufferBytes = 64 << 10

// ListenEarly is Listen with a respond that is called before the body of a request is read. The rest
// of the body is read afterwards.
func ListenEarly(respond Respond) (address string, closeListener func() error, err error) {
	return listen(func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetReadBuffer(receiveBufferBytes) // the kernel may allow other sizes only
		serve(conn, respond)
	})
}

func listen(serve func(net.Conn)) (address string, closeListener func() error, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the listener is closed
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String(), listener.Close, nil
}

// readingBody returns a Respond that reads the body of a request first.
func readingBody(respond Respond) Respond {
	return func(conn net.Conn, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			_ = conn.Close() // the client has left in the middle of the request
			return
		}
		respond(conn, r)
	}
}

func serve(conn net.Conn, respond Respond) {
	defer conn.Close()
	requests := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return // the client has closed the connection
		}
		respond(conn, r)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // either side has closed the connection
		}
	}
}
