package batch

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/memstore"
)

var _ = Describe("Recent owners", func() {
	It("are the owners of recently submitted batches, ended or not, without duplicates", func(ctx SpecContext) {
		store := memstore.New()
		now := time.Now()
		for id, h := range map[string]Head{
			"l0": {Peer: "a:1", Submitted: now.UnixMilli()},
			"l1": {Peer: "a:1", Submitted: now.Add(-time.Second).UnixMilli(), Ended: true},
			"l2": {Peer: "b:1", Submitted: now.Add(-time.Hour).UnixMilli()},
			"l3": {Submitted: now.UnixMilli()},
		} {
			_, err := store.Put(ctx, KindHead, id, 0, h)
			Expect(err).NotTo(HaveOccurred())
		}
		heads, err := store.List(ctx, KindHead)
		Expect(err).NotTo(HaveOccurred())
		Expect(RecentOwners(heads.Objects, now.Add(-time.Minute))).To(Equal([]string{"a:1"}))
	})
})

var _ = Describe("The end of a batch", func() {
	It("is applied by an instance that loads the batch from an older head", func(ctx SpecContext) {
		store := memstore.New()
		a, b := newIdleService(store, "a"), newIdleService(store, "b")
		_, err := a.SubmitHere(ctx, SubmitArgs{Submission: submission("l", 2), Team: "t", Route: "r"}, time.Now())
		Expect(err).NotTo(HaveOccurred())
		h, err := b.store.Head(ctx, "l")
		Expect(err).NotTo(HaveOccurred())
		sub, results, _, err := b.store.Load(ctx, h)
		Expect(err).NotTo(HaveOccurred())
		b.runner.MarkEnded("l") // arrives while b loads the batch
		b.runner.Add(h, sub, results, nil, Limits{Due: time.Second, MaxAge: time.Minute})
		Expect(b.runner.Open()).To(BeZero())
	})

	It("is detected after a gap in the change history, and the watch continues from the current version", func(ctx SpecContext) {
		store := memstore.New()
		a := newIdleService(store, "a")
		_, err := a.SubmitHere(ctx, SubmitArgs{Submission: submission("l", 2), Team: "t", Route: "r"}, time.Now())
		Expect(err).NotTo(HaveOccurred())
		h, err := a.store.UpdateHead(ctx, "l", func(h *Head) bool { h.Ended = true; return true })
		Expect(err).NotTo(HaveOccurred())
		Expect(a.resyncHeads(ctx)).To(BeNumerically(">=", h.Version))
		Expect(a.runner.Open()).To(BeZero())
	})
})

// forgetfulPeers simulates a connection on which the first calls get no response.
type forgetfulPeers struct {
	unresponsivePeers
	failures atomic.Int32
	owner    *Service
}

func (p *forgetfulPeers) End(_ context.Context, _, id string) error {
	if p.failures.Add(-1) >= 0 {
		return context.DeadlineExceeded
	}
	p.owner.runner.MarkEnded(id)
	return nil
}

var _ = Describe("The owner of a batch that is ended through another instance", func() {
	// One lost notification left only the watch of the heads, which takes up to 3 s through
	// a source that fails too: items reached engines after the batch had ended.
	It("is notified again if the first notification is lost", func(ctx SpecContext) {
		store := memstore.New()
		owner, other := newIdleService(store, "a"), newIdleService(store, "b")
		peers := &forgetfulPeers{owner: owner}
		peers.failures.Store(2)
		other.peers = peers
		_, err := owner.SubmitHere(ctx, SubmitArgs{Submission: submission("l", 2), Team: "t", Route: "r"}, time.Now())
		Expect(err).NotTo(HaveOccurred())
		Expect(other.End(ctx, "l", "t")).To(Succeed())
		Eventually(owner.runner.Open).WithTimeout(2 * time.Second).Should(BeZero())
	})
})
