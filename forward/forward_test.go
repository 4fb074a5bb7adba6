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

// fakeUpstreams implements upstream.Forwarder. Each test sets respond, whose
// result may depend on the ID of the upstream.
type fakeUpstreams struct {
	respond func(ctx context.Context, to upstream.Target, f upstream.Forward) (*upstream.Reply, error)

	mu   sync.Mutex // guards sent and to
	sent []upstream.Forward
	to   []string
}

func (f *fakeUpstreams) Forward(ctx context.Context, to upstream.Target, r upstream.Forward) (*upstream.Reply, error) {
	f.mu.Lock()
	f.sent, f.to = append(f.sent, r), append(f.to, to.ID)
	f.mu.Unlock()
	return f.respond(ctx, to, r)
}

func (f *fakeUpstreams) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sent)
}

func completeReply(id, body string) *upstream.Reply {
	return &upstream.Reply{Status: http.StatusOK, ID: id, Signature: "s", Header: http.Header{"X-Seal": {"s"}}, Body: io.NopCloser(bytes.NewReader([]byte(body)))}
}

func refusedReply(id string) *upstream.Reply {
	return &upstream.Reply{Status: http.StatusServiceUnavailable, ID: id, NotRun: true, Header: http.Header{}, Body: io.NopCloser(&bytes.Buffer{})}
}

var errReset = &upstream.SendError{Err: errors.New("connection reset")}

func newForwarder(f *fakeUpstreams, upstreams int) *Forwarder {
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
	It("is retried at a second upstream when the response of the first is lost", func(ctx SpecContext) {
		f := &fakeUpstreams{}
		f.respond = func(_ context.Context, _ upstream.Target, r upstream.Forward) (*upstream.Reply, error) {
			if f.count() == 1 {
				return nil, errReset
			}
			return completeReply(r.ID, "kits"), nil
		}
		response := newForwarder(f, 2).Do(ctx, request(safe))
		Expect(response.Status).To(Equal(http.StatusOK))
		Expect(string(response.Body)).To(Equal("kits"))
		Expect(f.to[0]).NotTo(Equal(f.to[1]))
	})

	It("adds the time of a complete response, and of no other, to the pace of the upstream", func(ctx SpecContext) {
		f := &fakeUpstreams{}
		f.respond = func(_ context.Context, to upstream.Target, r upstream.Forward) (*upstream.Reply, error) {
			if f.count() == 1 {
				return refusedReply(r.ID), nil
			}
			return completeReply(r.ID, "kits"), nil
		}
		forwarder := newForwarder(f, 2)
		Expect(forwarder.Do(ctx, request(safe)).Status).To(Equal(http.StatusOK))
		refused, answered := forwarder.Roster.PaceOf(f.to[0], time.Now()), forwarder.Roster.PaceOf(f.to[1], time.Now())
		Expect(refused.Samples).To(BeZero())
		Expect(answered.Samples).To(Equal(1))
		Expect(answered.Response).To(BeNumerically(">", 0))
	})

	It("that must not run twice is sent once and gets 502 when its response is lost", func(ctx SpecContext) {
		f := &fakeUpstreams{respond: func(context.Context, upstream.Target, upstream.Forward) (*upstream.Reply, error) {
			return nil, errReset
		}}
		response := newForwarder(f, 3).Do(ctx, request(unsafe))
		Expect(response.Status).To(Equal(http.StatusBadGateway))
		Expect(f.count()).To(Equal(1))
	})

	It("that every upstream refuses returns immediately with a Retry-After delay", func(ctx SpecContext) {
		f := &fakeUpstreams{respond: func(_ context.Context, _ upstream.Target, r upstream.Forward) (*upstream.Reply, error) {
			return refusedReply(r.ID), nil
		}}
		forwarder, r := newForwarder(f, 3), request(unsafe)
		forwarder.Clock = clockwork.NewFakeClock() // does not advance: a wait would not end
		r.Budget = time.Minute
		response := forwarder.Do(ctx, r)
		Expect(response.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(response.RetryAfter).To(BeNumerically(">=", minRetryAfter))
		Expect(f.count()).To(Equal(3))
	}, SpecTimeout(20*time.Second))

	It("varies the Retry-After delay of refused callers", func(ctx SpecContext) {
		f := &fakeUpstreams{}
		seen := map[time.Duration]bool{}
		for range 20 {
			seen[newForwarder(f, 0).Do(ctx, request(safe)).RetryAfter] = true
		}
		Expect(len(seen)).To(BeNumerically(">", 10))
	})

	It("is hedged to a second upstream when the first is slow, and the first attempt is cancelled", func(ctx SpecContext) {
		cancelled := make(chan struct{})
		f := &fakeUpstreams{}
		f.respond = func(ctx context.Context, _ upstream.Target, r upstream.Forward) (*upstream.Reply, error) {
			if f.count() == 1 {
				<-ctx.Done()
				close(cancelled)
				return nil, &upstream.SendError{Err: ctx.Err()}
			}
			return completeReply(r.ID, "kits"), nil
		}
		forwarder, r, clock := newForwarder(f, 2), request(safe), clockwork.NewFakeClock()
		forwarder.Clock = clock
		r.Budget = time.Minute
		r.Route.Timeout = time.Minute
		responses := make(chan Response, 1)
		go func() { responses <- forwarder.Do(ctx, r) }()
		Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
		Eventually(f.count).Should(Equal(1))
		Consistently(f.count).Should(Equal(1))
		clock.Advance(safe.Goal - time.Millisecond)
		Expect((<-responses).Status).To(Equal(http.StatusOK))
		Eventually(cancelled).Should(BeClosed())
	}, SpecTimeout(20*time.Second))

	// The second copy of another request's refusal, late, was taken for the response: the
	// request was sent again, or was reported as not run, while the first upstream ran it.
	DescribeTable("that must not run twice is not judged by the response to another request", func(ctx SpecContext, reply *upstream.Reply) {
		f := &fakeUpstreams{respond: func(context.Context, upstream.Target, upstream.Forward) (*upstream.Reply, error) {
			return reply, nil
		}}
		Expect(newForwarder(f, 3).Do(ctx, request(unsafe)).Status).To(Equal(http.StatusBadGateway))
		Expect(f.count()).To(Equal(1))
		stream := unsafe
		stream.Kind = catalog.KindStream
		response := newForwarder(f, 3).Stream(ctx, request(stream), nil)
		Expect(response.Status).To(Equal(http.StatusBadGateway))
		Expect(response.Header).To(BeNil())
		Expect(f.count()).To(Equal(2))
	},
		Entry("a refusal", refusedReply("r0")),
		Entry("a refusal without an ID", refusedReply("")),
		Entry("an error", &upstream.Reply{Status: http.StatusInternalServerError, ID: "r0", Header: http.Header{}, Body: http.NoBody}),
		Entry("a misdirected request", &upstream.Reply{Status: http.StatusMisdirectedRequest, ID: "r0", NotRun: true, Misdirected: true, Header: http.Header{}, Body: http.NoBody}),
	)

	// A service that began a request and then answered 503 had its status passed on: the caller
	// took it for the promise that the request had not run, and repeated it.
	DescribeTable("that has run is not answered with a promise that it hasn't", func(ctx SpecContext, status int) {
		f := &fakeUpstreams{respond: func(_ context.Context, _ upstream.Target, r upstream.Forward) (*upstream.Reply, error) {
			reply := completeReply(r.ID, "failing")
			reply.Status = status
			return reply, nil
		}}
		expectNoPromise := func(response Response) {
			Expect(response.Status).To(Equal(http.StatusBadGateway))
			Expect(response.Header).To(BeNil())
			Expect(response.Signature).To(BeEmpty())
			Expect(response.RetryAfter).To(BeZero())
			Expect(response.Tally.MayHaveRun).To(BeTrue())
		}
		expectNoPromise(newForwarder(f, 3).Do(ctx, request(unsafe)))
		Expect(f.count()).To(Equal(1))
		stream := unsafe
		stream.Kind = catalog.KindStream
		expectNoPromise(newForwarder(f, 3).Stream(ctx, request(stream), nil).Response)
		Expect(f.count()).To(Equal(2))
		expectNoPromise(newForwarder(f, 3).Do(ctx, request(safe)))
		Expect(f.count()).To(Equal(2 + safe.Attempts))
		stream.Resumable = true
		expectNoPromise(newForwarder(f, 3).Stream(ctx, request(stream), nil).Response)
		Expect(f.count()).To(Equal(2 + safe.Attempts + stream.Attempts))
	},
		Entry("408", http.StatusRequestTimeout),
		Entry("421", http.StatusMisdirectedRequest),
		Entry("429", http.StatusTooManyRequests),
		Entry("503", http.StatusServiceUnavailable),
	)

	// The last response alone decided the status for the caller.
	It("that may have run is not answered with a promise because a later upstream refuses it", func(ctx SpecContext) {
		f := &fakeUpstreams{}
		f.respond = func(_ context.Context, _ upstream.Target, r upstream.Forward) (*upstream.Reply, error) {
			if f.count() == 1 {
				return nil, errReset
			}
			reply := completeReply(r.ID, "limited")
			reply.Status = http.StatusTooManyRequests
			return reply, nil
		}
		Expect(newForwarder(f, 2).Do(ctx, request(safe)).Status).To(Equal(http.StatusBadGateway))
	})

	DescribeTable("rejects an incomplete response or one to another request", func(ctx SpecContext, reply func(id string) *upstream.Reply) {
		f := &fakeUpstreams{respond: func(_ context.Context, _ upstream.Target, r upstream.Forward) (*upstream.Reply, error) {
			return reply(r.ID), nil
		}}
		response := newForwarder(f, 2).Do(ctx, request(safe))
		Expect(response.Status).To(Equal(http.StatusBadGateway))
		Expect(response.Body).To(BeEmpty())
	},
		Entry("for another request", func(string) *upstream.Reply { return completeReply("r0", "theirs") }),
		Entry("without a signature", func(id string) *upstream.Reply {
			r := completeReply(id, "kits")
			r.Signature = ""
			return r
		}),
		Entry("truncated", func(id string) *upstream.Reply {
			r := completeReply(id, "")
			r.Body = io.NopCloser(io.MultiReader(bytes.NewReader([]byte("ki")), failingReader{}))
			return r
		}),
	)

	// A success without a signature was returned on the routes of streams, unless its status was 200.
	It("for a stream does not return a success that is not signed", func(ctx SpecContext) {
		f := &fakeUpstreams{respond: func(_ context.Context, _ upstream.Target, r upstream.Forward) (*upstream.Reply, error) {
			reply := completeReply(r.ID, "")
			reply.Status, reply.Signature = http.StatusNoContent, ""
			return reply, nil
		}}
		stream := unsafe
		stream.Kind = catalog.KindStream
		response := newForwarder(f, 2).Stream(ctx, request(stream), nil)
		Expect(response.Status).To(Equal(http.StatusBadGateway))
		Expect(response.Header).To(BeNil())
	})

	It("returns an upstream's error response when no other upstream succeeds", func(ctx SpecContext) {
		f := &fakeUpstreams{respond: func(_ context.Context, _ upstream.Target, r upstream.Forward) (*upstream.Reply, error) {
			reply := completeReply(r.ID, "broken")
			reply.Status = http.StatusInternalServerError
			return reply, nil
		}}
		response := newForwarder(f, 3).Do(ctx, request(safe))
		Expect(response.Status).To(Equal(http.StatusInternalServerError))
		Expect(string(response.Body)).To(Equal("broken"))
		Expect(f.count()).To(Equal(2))
	})

	It("passes the remaining budget to the next attempt", func(ctx SpecContext) {
		f := &fakeUpstreams{}
		f.respond = func(_ context.Context, _ upstream.Target, r upstream.Forward) (*upstream.Reply, error) {
			if f.count() == 1 {
				time.Sleep(60 * time.Millisecond)
				return nil, errReset
			}
			return completeReply(r.ID, "kits"), nil
		}
		newForwarder(f, 2).Do(ctx, request(safe))
		Expect(f.sent[1].Budget).To(BeNumerically("<=", f.sent[0].Budget-60*time.Millisecond))
	})

	It("is counted for its team once, and only if it may have run", func(ctx SpecContext) {
		f := &fakeUpstreams{}
		counted := 0
		forwarder := newForwarder(f, 2)
		forwarder.OnRun = func(string, time.Time) { counted++ }
		f.respond = func(_ context.Context, _ upstream.Target, r upstream.Forward) (*upstream.Reply, error) {
			return refusedReply(r.ID), nil
		}
		forwarder.Do(ctx, request(safe))
		Expect(counted).To(BeZero())
		f.respond = func(context.Context, upstream.Target, upstream.Forward) (*upstream.Reply, error) {
			return nil, errReset
		}
		forwarder = newForwarder(f, 2)
		forwarder.OnRun = func(string, time.Time) { counted++ }
		forwarder.Do(ctx, request(safe))
		Expect(counted).To(Equal(1))
	})
})

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
