package fenced

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// receiver records the orders that it could decode.
type receiver struct {
	*httptest.Server
	orders atomic.Int32
	// reading is called before the body is read.
	reading func()
	// answering is called after the body was read, before the answer.
	answering func()
	status    int
}

func newReceiver(t testing.TB) *receiver {
	r := &receiver{reading: func() {}, answering: func() {}, status: http.StatusOK}
	r.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.reading()
		var order struct{ Epoch int }
		if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.orders.Add(1)
		r.answering()
		w.WriteHeader(r.status)
	}))
	t.Cleanup(r.Close)
	return r
}

// order returns a request whose body ends in a newline, as encoders write it.
func order(url string) *http.Request {
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader("{\"epoch\": 7}\n"))
	if err != nil {
		panic(err)
	}
	return r
}

var errLapsed = errors.New("lapsed")

func TestSend(t *testing.T) {
	for name, c := range map[string]struct {
		lapse   func(*atomic.Bool, *receiver) // when the condition ceases to hold
		orders  int32
		notSent bool
	}{
		"holds":                    {func(*atomic.Bool, *receiver) {}, 1, false},
		"lapsed before the send":   {func(l *atomic.Bool, _ *receiver) { l.Store(true) }, 0, true},
		"lapses inside the send":   {func(l *atomic.Bool, r *receiver) { r.reading = func() { l.Store(true) } }, 0, true},
		"receiver is gone already": {func(_ *atomic.Bool, r *receiver) { r.Close() }, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			var lapsed atomic.Bool
			r := newReceiver(t)
			c.lapse(&lapsed, r)
			answer, err := NewSender(time.Second).Send(context.Background(), order(r.URL), func() error {
				if lapsed.Load() {
					return errLapsed
				}
				return nil
			})
			if err == nil {
				Close(answer)
			}
			if errors.Is(err, ErrNotSent) != c.notSent || (err == nil) == c.notSent {
				t.Errorf("error is %v", err)
			}
			if r.orders.Load() != c.orders {
				t.Errorf("receiver took %d orders, want %d", r.orders.Load(), c.orders)
			}
		})
	}
}

// timedConn notes when its writes have returned.
type timedConn struct {
	net.Conn
	wrote *atomic.Int64
}

func (c timedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wrote.Store(time.Now().UnixNano())
	return n, err
}

// BenchmarkWindow measures the time from the last check to the return of the
// system call that hands the last byte to the kernel: what no sender can close.
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
	total, most := int64(0), int64(0)
	for b.Loop() {
		answer, err := s.Send(context.Background(), order(r.URL), func() error {
			checked.Store(time.Now().UnixNano())
			return nil
		})
		if err != nil {
			b.Fatal(err)
		}
		Close(answer)
		window := wrote.Load() - checked.Load()
		total, most = total+window, max(most, window)
	}
	b.ReportMetric(float64(total)/float64(b.N), "ns-window")
	b.ReportMetric(float64(most), "ns-greatest")
}

// TestUnknownOutcome cuts the connection after the whole order was read: the
// sender must neither report an answer nor claim that nothing was sent.
func TestUnknownOutcome(t *testing.T) {
	r := newReceiver(t)
	r.answering = func() { panic(http.ErrAbortHandler) }
	_, err := NewSender(time.Second).Send(context.Background(), order(r.URL), func() error { return nil })
	if err == nil || errors.Is(err, ErrNotSent) {
		t.Errorf("error is %v after the order was read", err)
	}
	if r.orders.Load() != 1 {
		t.Errorf("receiver took %d orders, want 1", r.orders.Load())
	}
}
