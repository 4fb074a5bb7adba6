package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/catalog"
	"github.com/pomelocross/pomelocross/roster"
	"github.com/pomelocross/pomelocross/upstream"
)

// fakes are upstreams whose behaviour each test sets by id.
type fakes struct {
	answer func(ctx context.Context, to upstream.Target, f upstream.Forward) (*upstream.Reply, error)

	mu   sync.Mutex // guards sent
	sent []upstream.Forward
	to   []string
}

func (f *fakes) Forward(ctx context.Context, to upstream.Target, r upstream.Forward) (*upstream.Reply, error) {
	f.mu.Lock()
	f.sent, f.to = append(f.sent, r), append(f.to, to.ID)
	f.mu.Unlock()
	return f.answer(ctx, to, r)
}

func (f *fakes) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sent)
}

func whole(id, body string) *upstream.Reply {
	return &upstream.Reply{Status: http.StatusOK, ID: id, Signed: true, Header: http.Header{"X-Seal": {"s"}}, Body: io.NopCloser(bytes.NewReader([]byte(body)))}
}

func refusal() *upstream.Reply {
	return &upstream.Reply{Status: http.StatusServiceUnavailable, NotRun: true, Header: http.Header{}, Body: io.NopCloser(&bytes.Buffer{})}
}

var errReset = &upstream.SendError{Err: errors.New("connection reset")}

func newForwarder(f *fakes, upstreams int) *Forwarder {
	r := roster.New()
	for n := range upstreams {
		r.Put(roster.Entry{ID: fmt.Sprint("u", n), Service: "desk", Ready: true, Slots: 4})
	}
	return &Forwarder{Roster: r, Upstreams: f, Clock: clockwork.NewRealClock(), Log: zap.NewNop()}
}

func request(route catalog.Route) Request {
	route.Shares = []catalog.Share{{Service: "desk", Weight: 1}}
	return Request{Route: route, Forward: upstream.Forward{ID: "r1", Team: "north", Budget: time.Second}}
}

var _ = Describe("A request", func() {
	It("is answered by a second upstream when the first loses its answer", func(ctx SpecContext) {
		f := &fakes{}
		f.answer = func(_ context.Context, _ upstream.Target, r upstream.Forward) (*upstream.Reply, error) {
			if f.count() == 1 {
				return nil, errReset
			}
			return whole(r.ID, "kits"), nil
		}
		answer := newForwarder(f, 2).Do(ctx, request(safe))
		Expect(answer.Status).To(Equal(http.StatusOK))
		Expect(string(answer.Body)).To(Equal("kits"))
		Expect(f.to[0]).NotTo(Equal(f.to[1]))
	})

	It("that must not run twice is sent once when its answer is lost, and promises nothing", func(ctx SpecContext) {
		f := &fakes{answer: func(context.Context, upstream.Target, upstream.Forward) (*upstream.Reply, error) {
			return nil, errReset
		}}
		answer := newForwarder(f, 3).Do(ctx, request(unsafe))
		Expect(answer.Status).To(Equal(http.StatusBadGateway))
		Expect(f.count()).To(Equal(1))
	})

	It("that every upstream refuses comes back at once with when to return", func(ctx SpecContext) {
		f := &fakes{answer: func(context.Context, upstream.Target, upstream.Forward) (*upstream.Reply, error) {
			return refusal(), nil
		}}
		begun := time.Now()
		answer := newForwarder(f, 3).Do(ctx, request(unsafe))
		Expect(answer.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(answer.RetryAfter).To(BeNumerically(">=", leastPause))
		Expect(time.Since(begun)).To(BeNumerically("<", 100*time.Millisecond))
		Expect(f.count()).To(Equal(3))
	})

	It("spreads the return of refused callers", func(ctx SpecContext) {
		f := &fakes{}
		seen := map[time.Duration]bool{}
		for range 20 {
			seen[newForwarder(f, 0).Do(ctx, request(safe)).RetryAfter] = true
		}
		Expect(len(seen)).To(BeNumerically(">", 10))
	})

	It("goes to a second upstream when the first is slow, which is cancelled then", func(ctx SpecContext) {
		cancelled := make(chan struct{})
		f := &fakes{}
		f.answer = func(ctx context.Context, _ upstream.Target, r upstream.Forward) (*upstream.Reply, error) {
			if f.count() == 1 {
				<-ctx.Done()
				close(cancelled)
				return nil, &upstream.SendError{Err: ctx.Err()}
			}
			return whole(r.ID, "kits"), nil
		}
		begun := time.Now()
		answer := newForwarder(f, 2).Do(ctx, request(safe))
		Expect(answer.Status).To(Equal(http.StatusOK))
		Expect(time.Since(begun)).To(BeNumerically("<", safe.Goal))
		Eventually(cancelled).Should(BeClosed())
	})

	DescribeTable("never takes an answer that is not its own and whole", func(ctx SpecContext, reply func(id string) *upstream.Reply) {
		f := &fakes{answer: func(_ context.Context, _ upstream.Target, r upstream.Forward) (*upstream.Reply, error) {
			return reply(r.ID), nil
		}}
		answer := newForwarder(f, 2).Do(ctx, request(safe))
		Expect(answer.Status).To(Equal(http.StatusBadGateway))
		Expect(answer.Body).To(BeEmpty())
	},
		Entry("of another request", func(string) *upstream.Reply { return whole("r0", "theirs") }),
		Entry("without signature", func(id string) *upstream.Reply {
			r := whole(id, "kits")
			r.Signed = false
			return r
		}),
		Entry("cut short", func(id string) *upstream.Reply {
			r := whole(id, "")
			r.Body = io.NopCloser(io.MultiReader(bytes.NewReader([]byte("ki")), failing{}))
			return r
		}),
	)

	It("hands on an upstream's own failure when no other can answer", func(ctx SpecContext) {
		f := &fakes{answer: func(_ context.Context, _ upstream.Target, r upstream.Forward) (*upstream.Reply, error) {
			reply := whole(r.ID, "broken")
			reply.Status = http.StatusInternalServerError
			return reply, nil
		}}
		answer := newForwarder(f, 3).Do(ctx, request(safe))
		Expect(answer.Status).To(Equal(http.StatusInternalServerError))
		Expect(string(answer.Body)).To(Equal("broken"))
		Expect(f.count()).To(Equal(2))
	})

	It("carries over what is left of its time", func(ctx SpecContext) {
		f := &fakes{}
		f.answer = func(_ context.Context, _ upstream.Target, r upstream.Forward) (*upstream.Reply, error) {
			if f.count() == 1 {
				time.Sleep(60 * time.Millisecond)
				return nil, errReset
			}
			return whole(r.ID, "kits"), nil
		}
		newForwarder(f, 2).Do(ctx, request(safe))
		Expect(f.sent[1].Budget).To(BeNumerically("<=", f.sent[0].Budget-60*time.Millisecond))
	})

	It("counts for its team once, and only if it may have run", func(ctx SpecContext) {
		f := &fakes{}
		counted := 0
		forwarder := newForwarder(f, 2)
		forwarder.OnRun = func(string, time.Time) { counted++ }
		f.answer = func(context.Context, upstream.Target, upstream.Forward) (*upstream.Reply, error) {
			return refusal(), nil
		}
		forwarder.Do(ctx, request(safe))
		Expect(counted).To(BeZero())
		f.answer = func(context.Context, upstream.Target, upstream.Forward) (*upstream.Reply, error) {
			return nil, errReset
		}
		forwarder = newForwarder(f, 2)
		forwarder.OnRun = func(string, time.Time) { counted++ }
		forwarder.Do(ctx, request(safe))
		Expect(counted).To(Equal(1))
	})
})

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
