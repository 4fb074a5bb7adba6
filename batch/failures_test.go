package batch

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/catalog"
	"github.com/pomelocross/pomelocross/internal/memstore"
	"github.com/pomelocross/pomelocross/roster"
	"github.com/pomelocross/pomelocross/upstream"
)

// failingEngines responds to each item with an error.
type failingEngines struct{ sent atomic.Int32 }

func (e *failingEngines) Forward(_ context.Context, _ upstream.Target, f upstream.Forward) (*upstream.Reply, error) {
	e.sent.Add(1)
	return &upstream.Reply{Status: http.StatusInternalServerError, ID: f.ID, Body: http.NoBody}, nil
}

var _ = Describe("An item that fails at each run", func() {
	// Each owner of its batch counted its failures from zero.
	const attempts = 3 // of the route
	var (
		store   *memstore.Store
		engines *failingEngines
	)
	newOwner := func(name string) *Service {
		s := newIdleService(store, name)
		s.runner.Engines = engines
		s.runner.Catalog = func() *catalog.Catalog { return rolloutCatalog(1, "r") }
		s.runner.Roster.Put(roster.Entry{ID: "lm-0", Service: "lm", Ready: true, Slots: 8})
		return s
	}
	// runUntil dispatches until the item was sent n times or is dead. It saves checkpoints if
	// the owner may.
	runUntil := func(ctx context.Context, s *Service, n int32, checkpoints bool) {
		for range 200 {
			s.runner.mu.Lock()
			open := len(s.runner.jobs["l"].items) > 0
			s.runner.mu.Unlock()
			if !open || engines.sent.Load() >= n {
				return
			}
			s.runner.Roster.Remove("lm-0") // a new one is available in spite of the errors
			s.runner.Roster.Put(roster.Entry{ID: "lm-0", Service: "lm", Ready: true, Slots: 8})
			s.runner.dispatch(ctx)
			s.runner.attempts.Wait()
			if checkpoints {
				for _, c := range s.runner.dueCheckpoints() {
					s.runner.saveCheckpoint(ctx, c)
				}
			}
		}
	}

	BeforeEach(func(ctx SpecContext) {
		store, engines = memstore.New(), &failingEngines{}
	})

	submit := func(ctx context.Context, s *Service) {
		_, err := s.SubmitHere(ctx, SubmitArgs{Submission: submission("l", 1), Team: "t", Route: "r"}, time.Now())
		Expect(err).NotTo(HaveOccurred())
	}
	claim := func(ctx context.Context, s *Service) {
		_, err := s.claim(ctx, "l", ownedByAny)
		Expect(err).NotTo(HaveOccurred())
	}
	dead := func(s *Service) bool {
		s.runner.mu.Lock()
		defer s.runner.mu.Unlock()
		return len(s.runner.jobs["l"].items) == 0
	}

	It("is given up after the same number of failures if its batch is handed over", func(ctx SpecContext) {
		first, next := newOwner("a"), newOwner("b")
		submit(ctx, first)
		runUntil(ctx, first, 5, true)
		Expect(dead(first)).To(BeFalse())
		first.peers = adoptingPeers{successor: next}
		first.Handover(ctx)
		runUntil(ctx, next, 100, true)
		Expect(dead(next)).To(BeTrue())
		Expect(engines.sent.Load()).To(BeEquivalentTo(failuresPerAttempt * attempts))
	})

	It("is given up after three times the attempts at most if an owner crashes", func(ctx SpecContext) {
		first, next := newOwner("a"), newOwner("b")
		submit(ctx, first)
		runUntil(ctx, first, 5, true)
		claim(ctx, next)
		runUntil(ctx, next, 100, true)
		Expect(dead(next)).To(BeTrue())
		Expect(engines.sent.Load()).To(BeNumerically("<=", 3*attempts))
	})

	It("is not sent again while its failures cannot be stored", func(ctx SpecContext) {
		owner := newOwner("a")
		submit(ctx, owner)
		runUntil(ctx, owner, 100, false)
		Expect(engines.sent.Load()).To(BeEquivalentTo(attempts))
		Expect(dead(owner)).To(BeFalse())
	})
})
