package batch

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/catalog"
	"github.com/pomelocross/pomelocross/forward"
	"github.com/pomelocross/pomelocross/internal/memstore"
	"github.com/pomelocross/pomelocross/roster"
	"github.com/pomelocross/pomelocross/upstream"
)

// refusingEngines refuses each item, so that it is sent again. It asks for permission like a
// connection does, after waiting.
type refusingEngines struct {
	wait func() // between the decision to send and the first byte; may be nil
	sent atomic.Int32
}

func (e *refusingEngines) Forward(_ context.Context, _ upstream.Target, f upstream.Forward) (*upstream.Reply, error) {
	if e.wait != nil {
		e.wait()
	}
	if f.Permit != nil && !f.Permit() {
		return nil, &upstream.SendError{NotSent: true, Err: errors.New("not permitted")}
	}
	e.sent.Add(1)
	return &upstream.Reply{Status: http.StatusServiceUnavailable, ID: f.ID, NotRun: true, Body: http.NoBody}, nil
}

// unfitRewards responds to each reward call without a reward. It asks for permission like a
// connection does.
type unfitRewards struct{ sent atomic.Int32 }

func (f *unfitRewards) Do(_ context.Context, r forward.Request) forward.Response {
	if r.Permit != nil && !r.Permit() {
		return forward.Response{FinalStatus: forward.FinalStatus{Status: 504}}
	}
	f.sent.Add(1)
	return forward.Response{FinalStatus: forward.FinalStatus{Status: 502}, Tally: forward.Tally{Sent: 1}}
}

var _ = Describe("An owner that hears nothing of the heads", func() {
	const bound = 3 * time.Second
	// limit is the age of the head from which nothing is sent: a request may be on its way
	// for upstream.DeliveryTimeout.
	limit := bound - upstream.DeliveryTimeout
	var (
		store   *memstore.Store
		reads   atomic.Int32
		mute    atomic.Bool // the instance cannot read the store
		clock   *clockwork.FakeClock
		engines *refusingEngines
		rewards *unfitRewards
		owner   *Service
		end     func()
		advance func(time.Duration)
	)

	BeforeEach(func() {
		store, clock, engines, rewards = memstore.New(), clockwork.NewFakeClock(), &refusingEngines{}, &unfitRewards{}
		reads.Store(0)
		mute.Store(false)
		hooked := hookedStore{Store: store, onGet: func(string) error {
			reads.Add(1)
			if mute.Load() {
				return memstore.ErrDown
			}
			return nil
		}}
		owner = newIdleService(store, "a")
		r := owner.runner
		owner.store = NewStore(hooked, "a")
		r.Store, r.Clock, r.Engines, r.Rewards, r.EndBound = owner.store, clock, engines, rewards, bound
		r.Catalog = func() *catalog.Catalog {
			routes := []catalog.Route{
				{Name: "r", Host: "desk.example", Prefix: "/train/", Kind: catalog.KindRollout, Attempts: 3, Shares: []catalog.Share{{Service: "lm"}}},
				{Name: "rate", Host: "desk.example", Prefix: "/rate/", Kind: catalog.KindSafe, Attempts: 1000, Timeout: time.Second, Shares: []catalog.Share{{Service: "desk"}}},
			}
			return catalog.New(1, routes, []catalog.Service{{Name: "desk"}, {Name: "lm"}}, nil, catalog.Limits{})
		}
		r.Roster.Put(roster.Entry{ID: "desk", Service: "desk", Ready: true, Slots: 8})
		r.Roster.Put(roster.Entry{ID: "lm", Service: "lm", Ready: true, Slots: 8})
		end = func() {
			_, err := NewStore(store, "c").UpdateHead(context.Background(), "l", func(h *Head) bool { h.Ended = true; return true })
			Expect(err).NotTo(HaveOccurred())
		}
		// advance moves the clock in steps of a dispatch. The watch of the store reports
		// nothing, and no instance sends a notification.
		advance = func(d time.Duration) {
			for ; d > 0; d -= dispatchInterval {
				r.dispatch(context.Background())
				settle(r)
				clock.Advance(dispatchInterval)
			}
		}
	})

	submit := func(ctx context.Context, sub *Submission) {
		_, err := owner.SubmitHere(ctx, SubmitArgs{Submission: sub, Team: "t", Route: "r"}, time.Now())
		Expect(err).NotTo(HaveOccurred())
	}

	// A store that takes more than half a second confirmed nothing, so that no item was sent.
	It("is confirmed by a store that is slow but responds within the trusted age", func(ctx SpecContext) {
		submit(ctx, submission("l", 1))
		clock.Advance(2 * limit)
		owner.runner.Store = NewStore(slowStore{store, limit * 6 / 10}, "a")
		owner.runner.readHead(ctx, "l")
		owner.runner.mu.Lock()
		defer owner.runner.mu.Unlock()
		Expect(owner.runner.trusts(owner.runner.jobs["l"], clock.Now())).To(BeTrue())
	})

	// It sent items again for as long as it ran, and confirmed nothing.
	It("sends no item later than the bound after the end", func(ctx SpecContext) {
		submit(ctx, submission("l", 2))
		advance(5 * time.Second)
		Expect(engines.sent.Load()).To(BeNumerically(">", 10), "items are sent while the store confirms the batch")
		end()
		advance(limit)
		sent := engines.sent.Load()
		advance(10 * time.Second)
		Expect(engines.sent.Load()).To(Equal(sent))
		Expect(owner.runner.Open()).To(BeZero())
	})

	It("sends no item later than the bound after the end while it cannot read the store", func(ctx SpecContext) {
		submit(ctx, submission("l", 2))
		advance(2 * time.Second)
		mute.Store(true)
		end()
		advance(limit)
		sent := engines.sent.Load()
		advance(10 * time.Second)
		Expect(engines.sent.Load()).To(Equal(sent))
	})

	It("sends no reward call later than the bound after the end", func(ctx SpecContext) {
		submit(ctx, rewardedSubmission("l"))
		owner.runner.mu.Lock()
		s := owner.runner.jobs["l"].items["item"]
		s.appendEvent("a", 0, 3)
		s.awaitReward(clock.Now())
		owner.runner.mu.Unlock()
		advance(5 * time.Second)
		Expect(rewards.sent.Load()).To(BeNumerically(">", 2), "calls are made while the store confirms the batch")
		mute.Store(true)
		end()
		advance(limit)
		sent := rewards.sent.Load()
		advance(10 * time.Second)
		Expect(rewards.sent.Load()).To(Equal(sent))
	})

	It("sends no item that it decided on before it was suspended", func(ctx SpecContext) {
		var once sync.Once
		engines.wait = func() { once.Do(func() { end(); clock.Advance(10 * time.Second) }) }
		submit(ctx, submission("l", 1))
		advance(10 * time.Second)
		Expect(engines.sent.Load()).To(BeZero())
	})

	It("sends no item of a batch that another instance has taken over", func(ctx SpecContext) {
		submit(ctx, submission("l", 1))
		advance(2 * time.Second)
		_, err := NewStore(store, "c").UpdateHead(ctx, "l", func(h *Head) bool { h.Owner = "c"; return true })
		Expect(err).NotTo(HaveOccurred())
		advance(limit)
		sent := engines.sent.Load()
		advance(10 * time.Second)
		Expect(engines.sent.Load()).To(Equal(sent))
	})

	It("sends items again once the store confirms the batch", func(ctx SpecContext) {
		submit(ctx, submission("l", 1))
		advance(time.Second)
		mute.Store(true)
		advance(5 * time.Second)
		held := engines.sent.Load()
		advance(2 * time.Second)
		Expect(engines.sent.Load()).To(Equal(held))
		mute.Store(false)
		advance(time.Second)
		Expect(engines.sent.Load()).To(BeNumerically(">", held))
	})

	It("reads the head only to send, and no more often than the confirmations age", func(ctx SpecContext) {
		submit(ctx, submission("l", 4))
		advance(10 * time.Second)
		Expect(int(reads.Load())).To(BeNumerically("<=", 1+int(10*time.Second/refreshAge(bound))))
		owner.runner.Roster.Remove("lm")
		before := reads.Load()
		advance(10 * time.Second)
		Expect(reads.Load()).To(Equal(before))
	})
})

// settle waits until no attempt and no read of a head is in progress.
func settle(r *Runner) {
	Eventually(func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, j := range r.jobs {
			if j.confirming {
				return false
			}
			for _, s := range j.items {
				if s.running != nil || s.reward.cancel != nil {
					return false
				}
			}
		}
		return true
	}).WithPolling(100 * time.Microsecond).Should(BeTrue())
}
