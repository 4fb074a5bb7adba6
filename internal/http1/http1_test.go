package http1

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/dial"
	"github.com/pomelocross/pomelocross/internal/standin/rawserver"
)

// serve serves requests by respond, which is called before the body of a request is read.
func serve(respond rawserver.Respond) string {
	address, closeListener, err := rawserver.ListenEarly(respond)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(closeListener)
	return address
}

// newClient returns a client that is to be used in one spec.
func newClient() *http.Client {
	transport := NewTransport(dial.Func(time.Second, time.Second))
	DeferCleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 5 * time.Second}
}

// fetch sends a request and returns the status and body of a response that was read to its end.
func fetch(client *http.Client, method, address string) (int, string, error) {
	r, err := http.NewRequest(method, "http://"+address+"/", nil)
	Expect(err).NotTo(HaveOccurred())
	response, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// respondWith returns a Respond that writes text in pieces and closes the connection.
func respondWith(text string, pieceBytes int) rawserver.Respond {
	return func(conn net.Conn, _ *http.Request) {
		for rest := text; len(rest) > 0; {
			n := min(pieceBytes, len(rest))
			_, _ = io.WriteString(conn, rest[:n]) // the client may have closed the connection
			rest = rest[n:]
			time.Sleep(time.Millisecond) // a read of its own for each piece
		}
		_ = conn.Close()
	}
}

const (
	inOnePiece    = 1 << 20
	inSmallPieces = 7
)

// soundResponses are valid responses with the body "hello", by their framing.
var soundResponses = []struct{ kind, text string }{
	{"of stated length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"},
	{"with the length stated twice", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello"},
	{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\n\r\n"},
	{"in chunks with a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n5\r\nhello\r\n0\r\nX: y\r\n\r\n"},
	{"that ends with its connection", "HTTP/1.1 200 OK\r\n\r\nhello"},
	{"of version 1.0", "HTTP/1.0 200 OK\r\n\r\nhello"},
	{"without a reason", "HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nhello"},
	{"after interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"},
	{"whose lines end with a line feed", "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello"},
	{"with a folded field", "HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 5\r\n\r\nhello"},
}

var _ = Describe("A client", func() {
	for _, sound := range soundResponses {
		for _, pieceBytes := range []int{inOnePiece, inSmallPieces} {
			It(fmt.Sprintf("reads a response %s in pieces of %d bytes", sound.kind, pieceBytes), func() {
				status, body, err := fetch(newClient(), "GET", serve(respondWith(sound.text, pieceBytes)))
				Expect(err).NotTo(HaveOccurred())
				Expect(status).To(Equal(http.StatusOK))
				Expect(body).To(Equal("hello"))
			})
		}
	}

	It("reads responses that have no body, whatever their header says", func() {
		client := newClient()
		for _, c := range []struct{ method, response string }{
			{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"},
			{"GET", "HTTP/1.1 204 No Content\r\n\r\n"},
			{"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"},
		} {
			address := serve(func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, c.response) })
			for range 3 { // on the same connection
				_, body, err := fetch(client, c.method, address)
				Expect(err).NotTo(HaveOccurred())
				Expect(body).To(BeEmpty())
			}
		}
	})

	It("returns an error for a truncated response with a length or in chunks", func() {
		for _, sound := range soundResponses {
			text := sound.text
			if !strings.Contains(text, "hunked") && !strings.Contains(text, "Length") {
				continue // it ends with its connection
			}
			for length := len("HTTP/1.1 200 OK\r\n"); length < len(text); length++ {
				_, _, err := fetch(newClient(), "GET", serve(respondWith(text[:length], inOnePiece)))
				Expect(err).To(HaveOccurred(), text[:length])
			}
		}
	})

	// After a final response, net/http does not write a body that waits for "100 Continue".
	It("does not wait for a body that it has not written", func() {
		client := newClient()
		transport := client.Transport.(*http.Transport)
		transport.ExpectContinueTimeout, transport.DisableKeepAlives = time.Second, true
		address := serve(func(conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 417 Expectation Failed\r\n\r\nno") // the client may have left
			_ = conn.Close()
		})
		r, err := http.NewRequest("POST", "http://"+address+"/", strings.NewReader("body"))
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set("Expect", "100-continue")
		response, err := client.Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("no"))
	})

	It("accepts no response before its request", func() {
		local, peer := net.Pipe()
		DeferCleanup(peer.Close)
		conn := newConn(local)
		DeferCleanup(conn.Close)
		go func() { _, _ = io.WriteString(peer, "HTTP/1.1 200 OK\r\n\r\n") }() // the pipe may be closed
		_, err := conn.Read(make([]byte, 100))
		Expect(err).To(MatchError(ErrSurplus))
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		Expect(err).To(MatchError(ErrSurplus))
	})

	It("quotes only the start of an invalid field in an error", func() {
		for _, field := range []string{strings.Repeat("n", 1<<15) + " : x", "X: " + strings.Repeat("v", 1<<15) + "\x01", strings.Repeat("l", 1<<15)} {
			_, _, err := fetch(newClient(), "GET", serve(respondWith("HTTP/1.1 200 OK\r\n"+field+"\r\n\r\n", inOnePiece)))
			Expect(err).To(MatchError(ErrInvalid))
			Expect(len(err.Error())).To(BeNumerically("<", 1000))
		}
	})
})

var _ = Describe("A connection", func() {
	// Heads have up to 64 KB, and an instance keeps hundreds of idle connections.
	It("frees the buffer of a head", func() {
		var response responseScanner
		line := []byte("X: " + strings.Repeat("v", 1<<10) + "\r\n")
		Expect(response.scan([]byte("HTTP/1.1 200 OK\r\n"))).Error().NotTo(HaveOccurred())
		for range 32 {
			Expect(response.scan(line)).Error().NotTo(HaveOccurred())
		}
		Expect(response.scan([]byte("Content-Length: 0\r\n\r\n"))).Error().NotTo(HaveOccurred())
		Expect(response.whole()).To(BeTrue())
		Expect(cap(response.head.part)).To(BeZero())
	})
})
