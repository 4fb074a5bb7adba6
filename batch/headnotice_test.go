package batch

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/memstore"
)

var _ = Describe("A head that changes while its batch is loaded", func() {
	// duringLoad claims the batch "l" for b and calls do while its results are read, which is
	// after the head was written and before the batch runs.
	duringLoad := func(ctx context.Context, store *memstore.Store, b *Service, do func()) {
		called := false
		results := NewStore(hookedStore{store, func(kind string) error {
			if kind == KindChunk && !called {
				called = true
				do()
			}
			return nil
		}}, "b")
		b.store, b.runner.Store = results, results
		_, err := b.claim(ctx, "l", ownedByAny)
		Expect(err).NotTo(HaveOccurred())
		Expect(called).To(BeTrue())
	}
	var (
		store *memstore.Store
		b     *Service
	)
	BeforeEach(func(ctx SpecContext) {
		store = memstore.New()
		_, err := newIdleService(store, "a").SubmitHere(ctx, SubmitArgs{Submission: submission("l", 2), Team: "t", Route: "r"}, time.Now())
		Expect(err).NotTo(HaveOccurred())
		b = newIdleService(store, "b")
	})

	// Its items were sent for as long as the instance ran.
	It("ends the batch if its end is requested through the owner", func(ctx SpecContext) {
		duringLoad(ctx, store, b, func() { Expect(b.End(ctx, "l", "t")).To(Succeed()) })
		Expect(b.runner.Open()).To(BeZero())
	})

	// Its items were sent for as long as the instance ran: the watch does not report the
	// change twice.
	It("ends the batch if its end is reported by the watch of the heads", func(ctx SpecContext) {
		duringLoad(ctx, store, b, func() {
			h, err := NewStore(store, "c").UpdateHead(ctx, "l", func(h *Head) bool { h.Ended = true; return true })
			Expect(err).NotTo(HaveOccurred())
			b.runner.applyHead(h)
		})
		Expect(b.runner.Open()).To(BeZero())
	})

	// Two instances ran its items, one of them for as long as it ran.
	It("does not run the batch here if another instance has taken it over", func(ctx SpecContext) {
		duringLoad(ctx, store, b, func() {
			h, err := NewStore(store, "c").UpdateHead(ctx, "l", func(h *Head) bool { h.Owner = "c"; return true })
			Expect(err).NotTo(HaveOccurred())
			b.runner.applyHead(h)
		})
		Expect(b.runner.Open()).To(BeZero())
	})

	// A job that missed the end stayed open although a claim had read the ended head.
	It("ends a batch that runs already and is claimed again", func(ctx SpecContext) {
		_, err := b.claim(ctx, "l", ownedByAny)
		Expect(err).NotTo(HaveOccurred())
		_, err = b.store.UpdateHead(ctx, "l", func(h *Head) bool { h.Ended = true; return true })
		Expect(err).NotTo(HaveOccurred())
		_, err = b.claim(ctx, "l", ownedBy("b"))
		Expect(err).NotTo(HaveOccurred())
		Expect(b.runner.Open()).To(BeZero())
	})
})
