package fenced

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelocross/pomelocross/internal/standin/rawserver"
)

// receiver is an HTTP server that counts the orders it could decode.
type receiver struct {
	*httptest.Server
	received atomic.Int32
	// beforeRead is called before the body is read.
	beforeRead func()
	// beforeAnswer is called after the body was read, before the response.
	beforeAnswer func()
	status       int
}

func newReceiver(t testing.TB) *receiver {
	r := &receiver{beforeRead: func() {}, beforeAnswer: func() {}, status: http.StatusOK}
	r.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.beforeRead()
		var order struct{ Epoch int }
		if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.received.Add(1)
		r.beforeAnswer()
		w.WriteHeader(r.status)
	}))
	t.Cleanup(r.Close)
	return r
}

// order returns a request whose body ends in a newline, as json.Encoder writes
// it.
func order(url string) *http.Request {
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader("{\"epoch\": 7}\n"))
	if err != nil {
		panic(err)
	}
	return r
}

var errConditionLapsed = errors.New("lapsed")

func TestSend(t *testing.T) {
	for name, c := range map[string]struct {
		setup   func(*atomic.Bool, *receiver) // makes the condition lapse at some point
		orders  int32
		notSent bool
	}{
		"condition holds":        {func(*atomic.Bool, *receiver) {}, 1, false},
		"lapsed before the send": {func(l *atomic.Bool, _ *receiver) { l.Store(true) }, 0, true},
		"lapses during the send": {func(l *atomic.Bool, r *receiver) { r.beforeRead = func() { l.Store(true) } }, 0, true},
		"receiver is closed":     {func(_ *atomic.Bool, r *receiver) { r.Close() }, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			var lapsed atomic.Bool
			r := newReceiver(t)
			c.setup(&lapsed, r)
			_, err := NewSender(time.Second).Send(context.Background(), order(r.URL), func() error {
				if lapsed.Load() {
					return errConditionLapsed
				}
				return nil
			})
			if errors.Is(err, ErrNotSent) != c.notSent || (err == nil) == c.notSent {
				t.Errorf("error is %v", err)
			}
			if r.received.Load() != c.orders {
				t.Errorf("receiver decoded %d orders, want %d", r.received.Load(), c.orders)
			}
		})
	}
}

// timedConn stores the time at which its last Write returned.
type timedConn struct {
	net.Conn
	lastWrite *atomic.Int64
}

func (c timedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.lastWrite.Store(time.Now().UnixNano())
	return n, err
}

// BenchmarkWindow measures the window that a sender cannot close: the time from
// the last check to the return of the system call that passes the last byte to
// the kernel.
func BenchmarkWindow(b *testing.B) {
	r := newReceiver(b)
	var wrote, checked atomic.Int64
	s := NewSender(time.Second)
	transport := s.http.Transport.(*http.Transport)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		return timedConn{conn, &wrote}, err
	}
	total, longest := int64(0), int64(0)
	for b.Loop() {
		_, err := s.Send(context.Background(), order(r.URL), func() error {
			checked.Store(time.Now().UnixNano())
			return nil
		})
		if err != nil {
			b.Fatal(err)
		}
		window := wrote.Load() - checked.Load()
		total, longest = total+window, max(longest, window)
	}
	b.ReportMetric(float64(total)/float64(b.N), "ns-window")
	b.ReportMetric(float64(longest), "ns-greatest")
}

// TestUnknownOutcome closes the connection after the receiver has read the whole
// order: Send must return neither a response nor ErrNotSent.
func TestUnknownOutcome(t *testing.T) {
	r := newReceiver(t)
	r.beforeAnswer = func() { panic(http.ErrAbortHandler) }
	_, err := NewSender(time.Second).Send(context.Background(), order(r.URL), func() error { return nil })
	if err == nil || errors.Is(err, ErrNotSent) {
		t.Errorf("error is %v after the order was read", err)
	}
	if r.received.Load() != 1 {
		t.Errorf("receiver decoded %d orders, want 1", r.received.Load())
	}
}

// rawReceiver returns the URL of a receiver that reads a whole order, answers it with text and
// closes the connection.
func rawReceiver(t *testing.T, text string) string {
	address, closeListener, err := rawserver.ListenEarly(func(conn net.Conn, r *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n") // the sender may have left
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = closeListener() }) // fails only if it is closed
	return "http://" + address
}

// TestBrokenResponse responds to complete orders with invalid or truncated responses: Send must return
// neither a status nor ErrNotSent.
func TestBrokenResponse(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":                          "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
		"version 2.0":                         "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
		"a blank in a field name":             "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 0\r\n\r\n",
		"a success that is cut":               "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
		"a success in chunks that are cut":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"a newer epoch, with a body cut":      "HTTP/1.1 409 Conflict\r\nContent-Length: 9\r\n\r\n{}",
		"a newer epoch, with a blank in name": "HTTP/1.1 409 Conflict\r\nX Y: z\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			status, err := NewSender(time.Second).Send(context.Background(), order(rawReceiver(t, text)), func() error { return nil })
			if err == nil || errors.Is(err, ErrNotSent) {
				t.Errorf("status is %d, error is %v", status, err)
			}
		})
	}
}

// TestEarlyResponse responds to an order before its body was sent. The receiver cannot have accepted
// the order then, but it can have refused it.
func TestEarlyResponse(t *testing.T) {
	for _, c := range []struct {
		text   string
		status int // 0 if the order was not sent
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0},
		{"HTTP/1.1 202 Accepted\r\n\r\naccepted", 0},
		{"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n", http.StatusConflict},
	} {
		address, closeListener, err := rawserver.ListenEarly(func(conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, c.text) // the sender may have left
			_ = conn.Close()
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = closeListener() }) // fails only if it is closed
		status, err := NewSender(time.Second).Send(context.Background(), order("http://"+address), func() error { return nil })
		if status != c.status || errors.Is(err, ErrNotSent) != (c.status == 0) {
			t.Errorf("after %q: status is %d, error is %v", c.text, status, err)
		}
	}
}
