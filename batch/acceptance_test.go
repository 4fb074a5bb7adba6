package batch

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/catalog"
	"github.com/pomelocross/pomelocross/internal/memstore"
	"github.com/pomelocross/pomelocross/roster"
	"github.com/pomelocross/pomelocross/upstream"
)

// completingEngines completes each item with one event.
type completingEngines struct{}

func (completingEngines) Forward(_ context.Context, _ upstream.Target, f upstream.Forward) (*upstream.Reply, error) {
	sent := false
	next := func() (upstream.Event, error) {
		if sent {
			return upstream.Event{}, io.EOF
		}
		sent = true
		return upstream.Event{ID: 0, Data: "text"}, nil
	}
	return &upstream.Reply{Status: http.StatusOK, ID: f.ID, Version: 1, Body: http.NoBody, Next: next}, nil
}

// rolloutCatalog returns a version of the configuration with the named rollout routes.
func rolloutCatalog(version int64, names ...string) *catalog.Catalog {
	var routes []catalog.Route
	for _, name := range names {
		routes = append(routes, rolloutRoute(name))
	}
	return catalog.New(version, routes, []catalog.Service{{Name: "lm"}}, nil, catalog.Limits{})
}

func rolloutRoute(name string) catalog.Route {
	return catalog.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: catalog.KindRollout, Attempts: 3, MaxAge: time.Minute, Shares: []catalog.Share{{Service: "lm", Weight: 1}}}
}

var _ = Describe("A batch whose owner knows an older configuration than it was accepted under", func() {
	// The owner took a route that it did not know yet for one that had ended, and listed all
	// items of accepted batches as dead.
	const acceptedUnder = 2
	var store *memstore.Store
	accepted := &Acceptance{Config: acceptedUnder, Route: rolloutRoute("new")}

	// newOwner returns a service that runs items and knows a configuration, which may be nil.
	newOwner := func(name string, config *catalog.Catalog) *Service {
		s := newIdleService(store, name)
		s.runner.Engines = completingEngines{}
		s.runner.Catalog = func() *catalog.Catalog { return config }
		s.runner.Roster.Put(roster.Entry{ID: "lm-0", Service: "lm", Ready: true, Slots: 8})
		return s
	}
	submit := func(ctx context.Context, s *Service) {
		_, err := s.SubmitHere(ctx, SubmitArgs{Submission: submission("l", 4), Team: "t", Route: "new", Accepted: accepted}, time.Now())
		Expect(err).NotTo(HaveOccurred())
	}
	// states returns the number of results by state after the owner has dispatched.
	states := func(s *Service) map[State]int {
		for range 20 {
			s.runner.dispatch(context.Background())
			s.runner.attempts.Wait()
		}
		s.runner.mu.Lock()
		defer s.runner.mu.Unlock()
		counts, results := map[State]int{}, s.runner.jobs["l"].results
		for _, r := range append(slices.Clone(results.stored), results.pending...) {
			counts[r.State]++
		}
		return counts
	}

	BeforeEach(func() { store = memstore.New() })

	It("runs on the route as accepted", func(ctx SpecContext) {
		owner := newOwner("a", rolloutCatalog(acceptedUnder-1))
		submit(ctx, owner)
		Expect(states(owner)).To(Equal(map[State]int{Complete: 4}))
	})

	It("runs on the route as accepted at an owner that takes it over", func(ctx SpecContext) {
		submit(ctx, newOwner("a", nil))
		next := newOwner("b", rolloutCatalog(acceptedUnder-1))
		_, err := next.claim(ctx, "l", ownedByAny)
		Expect(err).NotTo(HaveOccurred())
		Expect(states(next)).To(Equal(map[State]int{Complete: 4}))
	})

	It("runs on the service of the accepted route, not on that of an older one", func(ctx SpecContext) {
		older := rolloutRoute("new")
		older.Shares = []catalog.Share{{Service: "gone", Weight: 1}}
		owner := newOwner("a", catalog.New(acceptedUnder-1, []catalog.Route{older}, nil, nil, catalog.Limits{}))
		submit(ctx, owner)
		Expect(states(owner)).To(Equal(map[State]int{Complete: 4}))
	})

	It("waits while the owner knows no configuration", func(ctx SpecContext) {
		owner := newOwner("a", nil)
		submit(ctx, owner)
		Expect(states(owner)).To(BeEmpty())
	})

	DescribeTable("is abandoned once a configuration without its route is known", func(ctx SpecContext, version int64) {
		owner := newOwner("a", rolloutCatalog(version, "other"))
		submit(ctx, owner)
		Expect(states(owner)).To(Equal(map[State]int{Dead: 4}))
	},
		Entry("the one it was accepted under", int64(acceptedUnder)),
		Entry("a later one", int64(acceptedUnder+3)),
	)
})

var _ = Describe("The expiry of a batch", func() {
	// A batch kept the default maximum age for good if its owner did not know the route when it
	// added the batch.
	It("is postponed if its route allows a higher age by then", func(ctx SpecContext) {
		s := newIdleService(memstore.New(), "a")
		maxAge := time.Duration(0)
		s.runner.LimitsOf = func(Head) Limits { return Limits{MaxAge: maxAge} }
		Expect(s.Submit(ctx, SubmitArgs{Submission: submission("l", 2), Team: "t", Route: "r"}, time.Now())).To(Succeed())
		maxAge = time.Minute
		s.runner.cleanUp()
		Expect(s.runner.jobs["l"].items).To(HaveLen(2))
		maxAge = 0
		s.runner.jobs["l"].expires = time.Now().Add(-time.Second)
		s.runner.cleanUp()
		Expect(s.runner.jobs["l"].items).To(BeEmpty())
	})
})
