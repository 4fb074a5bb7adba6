package httpdrain_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pomelocross/pomelocross/internal/httpdrain"
)

const (
	limit    = 1 << 20
	bodySize = 3 * limit
	// pause is the time that the callers below take to send their body; it exceeds the
	// 500 ms for which net/http delays the reset of a connection.
	pause = 900 * time.Millisecond
)

// tooLarge rejects bodies larger than limit.
func tooLarge(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit)); err != nil {
		w.Header().Set("Content-Length", "4")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		_, _ = io.WriteString(w, "big\n")
	}
}

// unread rejects requests without reading their body.
func unread(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) }

// dial starts a server that serves handler and connects to it.
func dial(t *testing.T, handler http.Handler) net.Conn {
	server := httptest.NewServer(httpdrain.Handler(handler))
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// A caller that was still sending its body when it was rejected got a reset connection
// instead of the response.
func TestSlowCallerGetsResponse(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		want    int
	}{{"too large", tooLarge, 413}, {"unread", unread, 401}} {
		t.Run(c.name, func(t *testing.T) {
			conn := dial(t, c.handler)
			fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", bodySize)
			half := make([]byte, bodySize/2)
			for _, part := range [][]byte{half, half} {
				if _, err := conn.Write(part); err != nil {
					t.Fatalf("the connection was closed while the body was sent: %v", err)
				}
				time.Sleep(pause)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || response.StatusCode != c.want {
				t.Fatalf("got %v, %v, want status %d", response, err, c.want)
			}
		})
	}
}

// A caller that never ends its body must not hold its connection for good.
func TestEndlessBodyIsBounded(t *testing.T) {
	conn := dial(t, http.HandlerFunc(unread))
	fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
	start := time.Now()
	for time.Since(start) < 10*time.Second {
		if _, err := fmt.Fprintf(conn, "1\r\nx\r\n"); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the connection is still open after 10 s")
}

// A connection whose body was read to its end serves the next request.
func TestConnectionIsReused(t *testing.T) {
	conn := dial(t, http.HandlerFunc(unread))
	reader := bufio.NewReader(conn)
	for range 3 {
		fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello")
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusUnauthorized {
			t.Fatal(response, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
}
