// Package rawserver serves requests whose responses tests write to the connection themselves,
// such as responses that are cut, late, repeated or without end.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Respond writes what a server sends in response to a request, whose body was read, to the
// connection.
type Respond func(conn net.Conn, r *http.Request)

// Listen serves connections on a free local port until close is called. onConnection returns
// the Respond of a new connection.
func Listen(onConnection func() Respond) (address string, closeListener func() error, err error) {
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
			go serve(conn, onConnection())
		}
	}()
	return listener.Addr().String(), listener.Close, nil
}

func serve(conn net.Conn, respond Respond) {
	defer conn.Close()
	requests := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return // the client has closed the connection
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		respond(conn, r)
	}
}
