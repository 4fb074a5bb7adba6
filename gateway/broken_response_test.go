package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/standin/rawserver"
	"github.com/pomelocross/pomelocross/platform/standin"
)

// earlyEngine serves requests by respond, which is called before the body of a request is read.
func earlyEngine(respond rawserver.Respond) string {
	address, closeListener, err := rawserver.ListenEarly(func(conn net.Conn, r *http.Request) {
		if r.URL.Path == "/report" {
			_, _ = io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n") // the instance may have left
			return
		}
		respond(conn, r)
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(closeListener)
	return address
}

// brokenAttempts is the number of requests for each broken response. Each needs its own upstream, since
// an upstream that has failed gets no requests for a while.
const brokenAttempts = 10

// Sizes of request bodies. Unless the upstream reads, the buffers of the kernel can hold heldBytes but
// not uploadBytes.
const (
	heldBytes   = 1 << 20
	uploadBytes = 12 << 20
)

// newBrokenDeployment returns a deployment whose upstreams for the route "desk" respond with respond.
// kind is the type of the route, which allows one attempt.
func newBrokenDeployment(kind string, respond rawserver.Respond) *deployment {
	d := newDeployment(0, 0)
	d.store.Remove("servers", d.desk.ID)
	address := earlyEngine(respond)
	for n := range brokenAttempts {
		e := &standin.Engine{ID: fmt.Sprint("desk-", n), Service: "desk", Slots: 8}
		d.store.Set("servers", e.ID, e.Registration(address, "a", "ready"))
	}
	d.configure(func(c map[string]any) {
		route := c["Routes"].([]map[string]any)[0]
		route["Type"], route["TimeoutMs"], route["Attempts"] = kind, 10000, 1
		c["Limits"] = map[string]any{"MaxBodyBytes": uploadBytes}
	})
	return d
}

// signedHead returns the status line and header of a response, without the empty line at its end
// and without a field that states the length of the body.
func signedHead(r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Pomelocross-Request-Id: %s\r\nX-Pomelocross-Server-Seal: s\r\n", r.Header.Get("X-Pomelocross-Request-Id"))
}

// uploadPause is long enough for a client to fill the buffers of the kernel.
const uploadPause = 50 * time.Millisecond

// connectionBreaks are ways to end a connection without reading the request.
var connectionBreaks = []struct {
	name string
	do   func(*net.TCPConn)
}{
	{"a reset", func(conn *net.TCPConn) {
		_ = conn.SetLinger(0) // resets the connection when it is closed
		_ = conn.Close()
	}},
	{"a close", func(conn *net.TCPConn) { _ = conn.Close() }},
	{"the end of the response and then a close", func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		time.Sleep(uploadPause)
		_ = conn.Close()
	}},
}

// expectUnknownOutcome sends a request to each upstream and expects 502 without the signature of an
// upstream: the request may have run.
func expectUnknownOutcome(listen string, body []byte) {
	for n := range brokenAttempts {
		a, err := call("POST", listen, "/kits/4", northKey, body, "X-Pomelocross-Request-Id", fmt.Sprint("r-", n))
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Status).To(Equal(http.StatusBadGateway), string(a.Body))
		Expect(a.Header).NotTo(HaveKey("X-Pomelocross-Server-Seal"))
	}
}

// Callers got the first part of the body as a complete response: the kernel reported the reset to the
// write of the upload, and the read of the response got the end of the input.
var _ = Describe("A response without a length whose connection breaks while the upload is written", func() {
	for _, size := range []int{heldBytes, uploadBytes} {
		for _, broken := range connectionBreaks {
			It(fmt.Sprintf("is not returned as a success, by %s, for an upload of %d bytes", broken.name, size), func() {
				d := newBrokenDeployment("unsafe", func(conn net.Conn, r *http.Request) {
					_, _ = io.WriteString(conn, signedHead(r)+"\r\npart") // the instance may have left
					time.Sleep(uploadPause)
					broken.do(conn.(*net.TCPConn))
				})
				expectUnknownOutcome(d.startProcess().listen, make([]byte, size))
			})

			It(fmt.Sprintf("is no complete stream, by %s, for an upload of %d bytes", broken.name, size), func() {
				d := newBrokenDeployment("stream", func(conn net.Conn, r *http.Request) {
					_, _ = io.WriteString(conn, signedHead(r)+"Content-Type: text/event-stream\r\n\r\nid: 0\ndata: a\n\n") // as above
					time.Sleep(uploadPause)
					broken.do(conn.(*net.TCPConn))
				})
				gw := d.startProcess()
				for n := range brokenAttempts {
					_, err := call("POST", gw.listen, "/kits/4", northKey, make([]byte, size), "X-Pomelocross-Request-Id", fmt.Sprint("r-", n))
					Expect(err).To(MatchError(io.ErrUnexpectedEOF))
				}
			})
		}
	}

	// The first events were listed as the complete text.
	It("is no complete item of a batch", func() {
		const items, events = 4, 3
		var resumed atomic.Int64
		address := earlyEngine(func(conn net.Conn, r *http.Request) {
			id := r.Header.Get("X-Pomelocross-Request-Id")
			first, last := 0, events-2
			if r.Header.Get("Last-Event-Id") != "" {
				first, last = events-1, events-1
				resumed.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
			}
			_, _ = io.WriteString(conn, signedHead(r)+"Content-Type: text/event-stream\r\nX-Pomelocross-Weight-Versions: 1\r\n\r\n") // as above
			for n := first; n <= last; n++ {
				_, _ = fmt.Fprintf(conn, "id: %d\ndata: %s\n\n", n, standin.EventData(id, int64(n)))
			}
			_ = conn.(*net.TCPConn).CloseWrite()
			time.Sleep(uploadPause)
			_ = conn.Close()
		})
		d := newDeployment(0, 0)
		for n := range 2 {
			e := &standin.Engine{ID: fmt.Sprint("engine-", n), Service: "lm", Slots: 8}
			e.SetVersion(model, 1)
			d.store.Set("servers", e.ID, e.Registration(address, "a", "ready"))
		}
		d.configure(func(c map[string]any) { c["Limits"] = map[string]any{"MaxBodyBytes": uploadBytes} })
		gw := d.startProcess()
		Expect(submit(gw.listen, "l", largeBatchBody(items, heldBytes/4))).To(Equal(http.StatusAccepted))
		expectComplete(results(gw.listen, "l", items), items, events)
		Expect(resumed.Load()).To(BeNumerically(">=", items))
	})
})

// largeBatchBody returns the body of a submission whose items have a body of a size in bytes.
func largeBatchBody(items, size int) []byte {
	var body map[string]any
	Expect(json.Unmarshal(batchBody(items, 1), &body)).To(Succeed())
	for _, item := range body["Items"].([]any) {
		item.(map[string]any)["Body"] = make([]byte, size)
	}
	encoded, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	return encoded
}

// The status of an upstream that had begun a request was passed on, with its signature, and promised
// that the request had not run.
var _ = Describe("An upstream's own 503, 429 or 408 without its mark", func() {
	for _, kind := range []string{"unsafe", "stream"} {
		for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
			It(fmt.Sprintf("is no promise to the caller of a request of type %s, status %d", kind, status), func() {
				d := newBrokenDeployment(kind, func(conn net.Conn, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					head := strings.Replace(signedHead(r), "200 OK", fmt.Sprint(status, " Failing"), 1)
					_, _ = io.WriteString(conn, head+"Retry-After: 1\r\nContent-Length: 8\r\n\r\nfailing\n") // the instance may have left
				})
				expectUnknownOutcome(d.startProcess().listen, nil)
			})
		}
	}
})

// Valid responses that resemble the broken ones above.
var _ = Describe("A response that is early, or has no length, and ends in an orderly way", func() {
	DescribeTable("is returned whole", func(bodyBytes int, respond rawserver.Respond) {
		d := newBrokenDeployment("unsafe", respond)
		gw := d.startProcess()
		for n := range brokenAttempts {
			a, err := call("POST", gw.listen, "/kits/4", northKey, make([]byte, bodyBytes), "X-Pomelocross-Request-Id", fmt.Sprint("r-", n))
			Expect(err).NotTo(HaveOccurred())
			Expect(a.Status).To(Equal(http.StatusOK), string(a.Body))
			Expect(string(a.Body)).To(Equal("first second"))
		}
	},
		Entry("after a request without a body", 0, rawserver.Respond(func(conn net.Conn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, signedHead(r)+"\r\nfirst second")
			_ = conn.Close()
		})),
		Entry("of stated length that comes before the upload was read", uploadBytes, rawserver.Respond(func(conn net.Conn, r *http.Request) {
			_, _ = io.WriteString(conn, signedHead(r)+"Content-Length: 12\r\n\r\nfirst second")
			_, _ = io.Copy(io.Discard, r.Body)
		})),
		Entry("that begins before the upload was read", uploadBytes, rawserver.Respond(func(conn net.Conn, r *http.Request) {
			_, _ = io.WriteString(conn, signedHead(r)+"\r\nfirst ")
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, "second")
			_ = conn.Close()
		})),
		Entry("that ends before the upload was read", uploadBytes, rawserver.Respond(func(conn net.Conn, r *http.Request) {
			_, _ = io.WriteString(conn, signedHead(r)+"\r\nfirst second")
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, r.Body)
			_ = conn.Close()
		})),
	)
})

// brokenHead is an invalid head of a response. @FIELDS is replaced by the fields with the ID of the
// request and the signature, and @CHUNKS by a body in chunks.
type brokenHead struct{ name, text string }

// Bodies with one event.
const (
	eventBody   = "\r\nid: 0\ndata: a\n\n"
	eventChunks = "\r\nf\r\nid: 0\ndata: a\n\n\r\n0\r\n\r\n"
)

// response returns a response with the head and a body.
func (h brokenHead) response(r *http.Request) string {
	_, fields, _ := strings.Cut(signedHead(r), "\r\n")
	text := strings.ReplaceAll(h.text, "@FIELDS", fields)
	if head, found := strings.CutSuffix(text, "@CHUNKS"); found {
		return head + eventChunks
	}
	return text + eventBody
}

// itExpectsNoSuccess adds specs in which all upstreams respond with one of the heads.
func itExpectsNoSuccess(heads []brokenHead) {
	for _, head := range heads {
		for _, kind := range []string{"unsafe", "stream"} {
			It(fmt.Sprintf("gives callers no success on a route of type %s after %s", kind, head.name), func() {
				d := newBrokenDeployment(kind, func(conn net.Conn, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(conn, head.response(r)) // the instance may have left
					_ = conn.Close()
				})
				expectUnknownOutcome(d.startProcess().listen, nil)
			})
		}
	}
}

var _ = Describe("An upstream in trouble", func() {
	itExpectsNoSuccess([]brokenHead{
		{"status 000", "HTTP/1.1 000 OK\r\n@FIELDS"},
		{"status 099", "HTTP/1.1 099 OK\r\n@FIELDS"},
		{"status 600", "HTTP/1.1 600 OK\r\n@FIELDS"},
		{"status 999", "HTTP/1.1 999 OK\r\n@FIELDS"},
		{"a status with a sign", "HTTP/1.1 +20 OK\r\n@FIELDS"},
		{"a status of four digits", "HTTP/1.1 2000 OK\r\n@FIELDS"},
		{"two blanks before the status", "HTTP/1.1  200 OK\r\n@FIELDS"},
		{"a switch of protocols", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n@FIELDS"},
		{"version 2.0", "HTTP/2.0 200 OK\r\n@FIELDS"},
		{"version 0.9", "HTTP/0.9 200 OK\r\n@FIELDS"},
		{"a version in lower case", "http/1.1 200 OK\r\n@FIELDS"},
		{"a control byte in the reason", "HTTP/1.1 200 O\x01K\r\n@FIELDS"},
		{"a carriage return in the reason", "HTTP/1.1 200 O\rK\r\n@FIELDS"},
		{"interim responses and status 000", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n@FIELDS"},
		{"an interim response without end", "HTTP/1.1 100 Continue\r\n"},
	})
	itExpectsNoSuccess([]brokenHead{
		{"a field name with a blank", "HTTP/1.1 200 OK\r\n@FIELDSX Y: z\r\n"},
		{"a length whose name ends with a blank", "HTTP/1.1 200 OK\r\n@FIELDSContent-Length : 3\r\n"},
		{"a field name that ends with a tab", "HTTP/1.1 200 OK\r\n@FIELDSContent-Length\t: 3\r\n"},
		{"a field name with a control byte", "HTTP/1.1 200 OK\r\n@FIELDSX\x01Y: z\r\n"},
		{"a field name with a zero byte", "HTTP/1.1 200 OK\r\n@FIELDSX\x00Y: z\r\n"},
		{"a field name with a byte over 127", "HTTP/1.1 200 OK\r\n@FIELDSX\xe4Y: z\r\n"},
		{"a field name with a bracket", "HTTP/1.1 200 OK\r\n@FIELDSX[Y]: z\r\n"},
		{"a field without a name", "HTTP/1.1 200 OK\r\n@FIELDS: z\r\n"},
		{"a line without a colon", "HTTP/1.1 200 OK\r\n@FIELDSX\r\n"},
		{"a first line that is folded", "HTTP/1.1 200 OK\r\n X: y\r\n@FIELDS"},
		{"a control byte in a value", "HTTP/1.1 200 OK\r\n@FIELDSX: a\x01b\r\n"},
		{"a carriage return in a value", "HTTP/1.1 200 OK\r\n@FIELDSX: a\rb\r\n"},
		{"an interim response with a blank in a field name", "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\n@FIELDS"},
	})

	itExpectsNoSuccess([]brokenHead{
		{"chunks in version 1.0", "HTTP/1.0 200 OK\r\n@FIELDSTransfer-Encoding: chunked\r\n@CHUNKS"},
		{"chunks and a length", "HTTP/1.1 200 OK\r\n@FIELDSTransfer-Encoding: chunked\r\nContent-Length: 3\r\n@CHUNKS"},
		{"chunks stated twice", "HTTP/1.1 200 OK\r\n@FIELDSTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n@CHUNKS"},
		{"another coding", "HTTP/1.1 200 OK\r\n@FIELDSTransfer-Encoding: gzip, chunked\r\n@CHUNKS"},
		{"chunks in an empty list", "HTTP/1.1 200 OK\r\n@FIELDSTransfer-Encoding: , chunked\r\n@CHUNKS"},
		{"two lengths", "HTTP/1.1 200 OK\r\n@FIELDSContent-Length: 3\r\nContent-Length: 15\r\n"},
		{"a negative length", "HTTP/1.1 200 OK\r\n@FIELDSContent-Length: -1\r\n"},
		{"a length with a sign", "HTTP/1.1 200 OK\r\n@FIELDSContent-Length: +15\r\n"},
		{"an empty length", "HTTP/1.1 200 OK\r\n@FIELDSContent-Length:\r\n"},
		{"a folded length", "HTTP/1.1 200 OK\r\n@FIELDSContent-Length: 1\r\n 5\r\n"},
		{"a length that is too large", "HTTP/1.1 200 OK\r\n@FIELDSContent-Length: 18446744073709551631\r\n"},
	})

	const brokenTrailer = "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 0\ndata: a\n\n\r\n0\r\nX Y: z\r\n\r\n"
	respond := func(conn net.Conn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, signedHead(r)+brokenTrailer) // the instance may have left
	}

	It("gives callers no success after a trailer with a blank in a field name", func() {
		expectUnknownOutcome(newBrokenDeployment("unsafe", respond).startProcess().listen, nil)
	})

	It("gives callers no complete stream after a trailer with a blank in a field name", func() {
		_, err := call("POST", newBrokenDeployment("stream", respond).startProcess().listen, "/kits/4", northKey, nil)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})
})

// Callers got a 503, which says that the request has not run, because of a truncated response.
var _ = Describe("A refusal that is cut", func() {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Pomelocross-Request-Id: %s\r\nX-Pomelocross-Not-Run: 1\r\nContent-Length: 100\r\n\r\nbusy"
	for _, kind := range []string{"unsafe", "stream"} {
		It("promises nothing on a route of type "+kind, func() {
			var received atomic.Int64
			d := newBrokenDeployment(kind, func(conn net.Conn, r *http.Request) {
				received.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = fmt.Fprintf(conn, refusal, r.Header.Get("X-Pomelocross-Request-Id")) // the instance may have left
				_ = conn.Close()
			})
			expectUnknownOutcome(d.startProcess().listen, nil)
			Expect(received.Load()).To(BeEquivalentTo(brokenAttempts))
		})
	}
})

// Items were listed as dead because of truncated responses.
var _ = Describe("An error response to a batch item that is cut", func() {
	DescribeTable("does not count against the item", func(status int) {
		const items, events, cuts = 4, 2, 3
		var mu sync.Mutex
		seen := map[string]int{}
		address := earlyEngine(func(conn net.Conn, r *http.Request) {
			id := r.Header.Get("X-Pomelocross-Request-Id")
			_, _ = io.Copy(io.Discard, r.Body)
			mu.Lock()
			seen[id]++
			cut := seen[id] <= cuts
			mu.Unlock()
			if !cut {
				_, _ = io.WriteString(conn, itemResponse(id, events)) // the instance may have left
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Error\r\nX-Pomelocross-Request-Id: %s\r\nContent-Length: 100\r\n\r\nno", status, id) // as above
			_ = conn.Close()
		})
		d := newDeployment(0, 0)
		for n := range 6 {
			e := &standin.Engine{ID: fmt.Sprint("engine-", n), Service: "lm", Slots: 8}
			e.SetVersion(model, 1)
			d.store.Set("servers", e.ID, e.Registration(address, "a", "ready"))
		}
		d.setRoute("lots", "Attempts", 1) // two errors give an item up
		gw := d.startProcess()
		Expect(submit(gw.listen, "l", batchBody(items, 1))).To(Equal(http.StatusAccepted))
		expectComplete(results(gw.listen, "l", items), items, events)
	},
		Entry("status 422", http.StatusUnprocessableEntity),
		Entry("status 500", http.StatusInternalServerError),
	)
})

// The signature of the response to a reward call is the reward. Signatures of broken responses were
// listed.
var _ = Describe("A broken response to a reward call", func() {
	responses := []brokenHead{
		{"a field name with a blank", "HTTP/1.1 200 OK\r\n@FIELDSX Y: z\r\n"},
		{"version 2.0", "HTTP/2.0 200 OK\r\n@FIELDS"},
		{"an end before its length", "HTTP/1.1 200 OK\r\n@FIELDSContent-Length: 100\r\n"},
	}
	for _, broken := range responses {
		It("is no reward: "+broken.name, func() {
			const items = 4
			var mu sync.Mutex
			seen := map[string]bool{}
			address := earlyEngine(func(conn net.Conn, r *http.Request) {
				id := r.Header.Get("X-Pomelocross-Request-Id")
				_, _ = io.Copy(io.Discard, r.Body)
				mu.Lock()
				again := seen[id]
				seen[id] = true
				mu.Unlock()
				if again {
					_, _ = io.WriteString(conn, strings.Replace(signedResponse(id, "rated"), "Seal: s", "Seal: sound", 1)) // the instance may have left
					return
				}
				_, _ = io.WriteString(conn, broken.response(r)) // as above
				_ = conn.Close()
			})
			d := newDeployment(2, 2)
			d.store.Remove("servers", d.desk.ID)
			for n := range items {
				e := &standin.Engine{ID: fmt.Sprint("desk-", n), Service: "desk", Slots: 8}
				d.store.Set("servers", e.ID, e.Registration(address, "a", "ready"))
			}
			gw := d.startProcess()
			Expect(submit(gw.listen, "l", rewardedBatchBody(items))).To(Equal(http.StatusAccepted))
			expectComplete(results(gw.listen, "l", items), items, 2)
			got, _ := read(gw.listen, "l", 0)
			for _, result := range got.Results {
				Expect(result.Score).To(Equal("sound"))
			}
		})
	}
})
