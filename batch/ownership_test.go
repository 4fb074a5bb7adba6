package batch

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/catalog"
	"github.com/pomelocross/pomelocross/internal/memstore"
	"github.com/pomelocross/pomelocross/roster"
)

// newIdleService returns a service of an instance that runs no items, since it knows no
// engines.
func newIdleService(store *memstore.Store, name string) *Service {
	r := NewRunner(Options{
		Name: name, Peer: name, Store: NewStore(store, name), Roster: roster.New(), Catalog: func() *catalog.Catalog { return nil },
		Clock: clockwork.NewRealClock(), Log: zap.NewNop(), Retention: time.Minute, RetentionBytes: 1 << 20,
		LimitsOf: func(Head) Limits { return Limits{Due: time.Second, MaxAge: time.Minute} },
	})
	return NewService(r, store, unresponsivePeers{})
}

// refusingPeers simulates peers that refuse connections.
type refusingPeers struct{ unresponsivePeers }

func (refusingPeers) Read(context.Context, string, ReadArgs) (Page, error) {
	return Page{}, syscall.ECONNREFUSED
}

// unresponsivePeers simulates peers that do not respond.
type unresponsivePeers struct{}

func (unresponsivePeers) Read(ctx context.Context, _ string, _ ReadArgs) (Page, error) {
	return Page{}, context.DeadlineExceeded
}
func (unresponsivePeers) Body(context.Context, string, BodyArgs) ([]byte, error) {
	return nil, context.DeadlineExceeded
}
func (unresponsivePeers) End(context.Context, string, string) error { return context.DeadlineExceeded }
func (unresponsivePeers) Adopt(context.Context, string, string) error {
	return context.DeadlineExceeded
}
func (unresponsivePeers) Owners(string) []string { return nil }
func (unresponsivePeers) Submit(context.Context, string, SubmitArgs) (Stored, error) {
	return Stored{}, context.DeadlineExceeded
}

var _ = Describe("An owner that was replaced while it was unreachable", func() {
	var a, b *Service
	read := ReadArgs{ID: "l", Team: "t", After: 1}

	BeforeEach(func(ctx SpecContext) {
		store := memstore.New()
		a, b = newIdleService(store, "a"), newIdleService(store, "b")
		Expect(a.Submit(ctx, SubmitArgs{Submission: submission("l", 4), Team: "t", Route: "r"}, time.Now())).To(Succeed())
		_, err := a.store.Append(ctx, "l", 0, completeResults("l-0"))
		Expect(err).NotTo(HaveOccurred())
		a.runner.jobs["l"].results.Apply(completeResults("l-0"))
		_, err = b.claim(ctx, "l", ownedByAny)
		Expect(err).NotTo(HaveOccurred())
		_, err = b.store.Append(ctx, "l", 1, completeResults("l-1", "l-2"))
		Expect(err).NotTo(HaveOccurred())
		a.runner.jobs["l"].verifiedAt = time.Now().Add(-verifiedTTL) // the takeover takes longer than verifiedTTL
	})

	It("returns the results stored by the new owner after it has read the end of the batch from the store", func(ctx SpecContext) {
		Expect(b.End(ctx, "l", "t")).To(Succeed())
		h, err := a.store.Head(ctx, "l")
		Expect(err).NotTo(HaveOccurred())
		a.runner.applyHead(h)
		page, err := a.Read(ctx, read)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Results).To(Equal(completeResults("l-1", "l-2")))
	})

	It("returns the results stored by the new owner after another instance has notified it of the end", func(ctx SpecContext) {
		Expect(b.End(ctx, "l", "t")).To(Succeed())
		a.runner.MarkEnded("l")
		page, err := a.Read(ctx, read)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Results).To(Equal(completeResults("l-1", "l-2")))
	})

	It("returns the results stored by the new owner after it has ended the batch itself", func(ctx SpecContext) {
		Expect(a.End(ctx, "l", "t")).To(Succeed())
		page, err := a.Read(ctx, read)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Results).To(Equal(completeResults("l-1", "l-2")))
	})

	It("may store further results, which the new owner returns after the end of the batch", func(ctx SpecContext) {
		b.runner.jobs["l"].results.Apply(completeResults("l-1", "l-2"))
		last := ReadArgs{ID: "l", Team: "t", After: 3}
		b.runner.jobs["l"].verifiedAt = time.Now().Add(-verifiedTTL)
		page, err := b.Read(ctx, last)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Results).To(BeEmpty())
		Expect(b.End(ctx, "l", "t")).To(Succeed())
		_, err = a.store.Append(ctx, "l", 2, completeResults("l-3"))
		Expect(err).NotTo(HaveOccurred())
		b.runner.jobs["l"].verifiedAt = time.Now().Add(-verifiedTTL)
		page, err = b.Read(ctx, last)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Results).To(Equal(completeResults("l-3")))
	})

	It("returns the results stored by the new owner while the batch is open, once its last check of the store has expired", func(ctx SpecContext) {
		page, err := a.Read(ctx, read)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Results).To(Equal(completeResults("l-1", "l-2")))
	})
})

var _ = Describe("Batches that are not ended by their caller", func() {
	It("are removed from memory and from the store after their expired items are abandoned", func(ctx SpecContext) {
		store := memstore.New()
		a := newIdleService(store, "a")
		a.runner.LimitsOf = func(Head) Limits { return Limits{} }
		a.runner.Retention = 50 * time.Millisecond
		Expect(a.Submit(ctx, SubmitArgs{Submission: submission("l", 2), Team: "t", Route: "r"}, time.Now())).To(Succeed())
		a.runner.cleanUp()
		Eventually(func() int { page, _ := a.Read(ctx, ReadArgs{ID: "l", Team: "t"}); return len(page.Results) }).Should(Equal(2))
		page, err := a.Read(ctx, ReadArgs{ID: "l", Team: "t"})
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Results[0].State).To(Equal(Dead))
		time.Sleep(60 * time.Millisecond)
		a.runner.cleanUp()
		Expect(a.runner.jobs).To(BeEmpty())
		Expect(a.sweep(ctx, time.Now())).To(Succeed())
		Expect(store.Names(KindHead)).To(HaveLen(1), "the batch has not reached its deletion age")
		Expect(a.sweep(ctx, time.Now().Add(sweepMargin+time.Second))).To(Succeed())
		for _, kind := range []string{KindHead, KindPart, KindChunk, KindProgress} {
			Expect(store.Names(kind)).To(BeEmpty())
		}
	})
})

var _ = Describe("A reader with an outdated owner", func() {
	It("does not take over a batch from the owner named in the store", func(ctx SpecContext) {
		store := memstore.New()
		former, owner, reader := newIdleService(store, "former"), newIdleService(store, "owner"), newIdleService(store, "reader")
		Expect(former.Submit(ctx, SubmitArgs{Submission: submission("l", 2), Team: "t", Route: "r"}, time.Now())).To(Succeed())
		_, err := reader.remote(ctx, "l")
		Expect(err).NotTo(HaveOccurred())
		_, err = owner.claim(ctx, "l", ownedByAny)
		Expect(err).NotTo(HaveOccurred())
		for _, peers := range []Peers{refusingPeers{}, unresponsivePeers{}} {
			reader.peers = peers
			_, _ = reader.Read(ctx, ReadArgs{ID: "l", Team: "t"}) // the result does not matter here
			h, err := owner.store.Head(ctx, "l")
			Expect(err).NotTo(HaveOccurred())
			Expect(h.Owner).To(Equal("owner"))
		}
	})

	It("takes the batch over from an owner that refuses connections", func(ctx SpecContext) {
		store := memstore.New()
		unavailable, reader := newIdleService(store, "unavailable"), newIdleService(store, "reader")
		Expect(unavailable.Submit(ctx, SubmitArgs{Submission: submission("l", 2), Team: "t", Route: "r"}, time.Now())).To(Succeed())
		reader.peers = refusingPeers{}
		_, err := reader.Read(ctx, ReadArgs{ID: "l", Team: "t"})
		Expect(err).NotTo(HaveOccurred())
		Expect(reader.runner.Runs("l")).To(BeTrue())
	})
})

var _ = Describe("A batch whose owner fails while several instances read it", func() {
	// Each reader took the batch over from the reader before it: four owners in 0.4 s, and
	// the items started anew with each.
	It("is taken over once", func(ctx SpecContext) {
		store := memstore.New()
		failed := newIdleService(store, "failed")
		Expect(failed.Submit(ctx, SubmitArgs{Submission: submission("l", 2), Team: "t", Route: "r"}, time.Now())).To(Succeed())
		_, err := failed.store.Append(ctx, "l", 0, completeResults("l-0"))
		Expect(err).NotTo(HaveOccurred())
		previous, err := failed.store.Head(ctx, "l")
		Expect(err).NotTo(HaveOccurred())
		var readers []*Service
		for _, name := range []string{"a", "b", "c"} {
			reader := newIdleService(store, name)
			reader.peers = refusingPeers{}
			readers = append(readers, reader)
			page, err := reader.takeOver(ctx, ReadArgs{ID: "l", Team: "t"}, previous, "test") // all saw the same owner
			Expect(err).NotTo(HaveOccurred())
			Expect(page.Results).To(Equal(completeResults("l-0")))
		}
		h, err := failed.store.Head(ctx, "l")
		Expect(err).NotTo(HaveOccurred())
		Expect(h.Owner).To(Equal("a"))
		Expect([]bool{readers[0].runner.Runs("l"), readers[1].runner.Runs("l"), readers[2].runner.Runs("l")}).To(Equal([]bool{true, false, false}))
	})

	It("is run by its owner again if that has only restarted", func(ctx SpecContext) {
		store := memstore.New()
		Expect(newIdleService(store, "a").Submit(ctx, SubmitArgs{Submission: submission("l", 2), Team: "t", Route: "r"}, time.Now())).To(Succeed())
		restarted := newIdleService(store, "a")
		_, err := restarted.ReadHere(ctx, ReadArgs{ID: "l", Team: "t"})
		Expect(err).NotTo(HaveOccurred())
		Expect(restarted.runner.Runs("l")).To(BeTrue())
	})

	It("is not claimed back by an owner that was replaced before it restarted", func(ctx SpecContext) {
		store := memstore.New()
		Expect(newIdleService(store, "a").Submit(ctx, SubmitArgs{Submission: submission("l", 2), Team: "t", Route: "r"}, time.Now())).To(Succeed())
		restarted, successor := newIdleService(store, "a"), newIdleService(store, "b")
		_, err := restarted.remote(ctx, "l") // the head as cached before the takeover
		Expect(err).NotTo(HaveOccurred())
		_, err = successor.claim(ctx, "l", ownedByAny)
		Expect(err).NotTo(HaveOccurred())
		_, err = restarted.ReadHere(ctx, ReadArgs{ID: "l", Team: "t"})
		Expect(err).To(MatchError(ErrNotHere))
		h, err := successor.store.Head(ctx, "l")
		Expect(err).NotTo(HaveOccurred())
		Expect(h.Owner).To(Equal("b"))
	})
})

var _ = Describe("The age of a batch that is taken over", func() {
	It("is measured by the wall clock of the runner", func(ctx SpecContext) {
		store := memstore.New()
		a, b := newIdleService(store, "a"), newIdleService(store, "b")
		Expect(a.Submit(ctx, SubmitArgs{Submission: submission("l", 1), Team: "t", Route: "r"}, time.Now())).To(Succeed())
		b.runner.Wall = func() time.Time { return time.Now().Add(45 * time.Second) }
		_, err := b.claim(ctx, "l", ownedByAny)
		Expect(err).NotTo(HaveOccurred())
		left := b.runner.jobs["l"].expires.Sub(b.runner.Clock.Now())
		Expect(left).To(BeNumerically("~", 15*time.Second, time.Second))
	})
})

// adoptingPeers simulates a successor that adopts a batch and whose response is lost.
type adoptingPeers struct {
	unresponsivePeers
	successor *Service
}

func (p adoptingPeers) Owners(string) []string { return []string{p.successor.runner.Peer} }
func (p adoptingPeers) Adopt(ctx context.Context, _, id string) error {
	return errors.Join(p.successor.Adopt(ctx, id), context.DeadlineExceeded)
}

var _ = Describe("A batch that is handed over while the response of its next owner is lost", func() {
	// The stopping owner cleared the owner that had adopted the batch: its items were
	// cancelled and started anew with the next reader.
	It("stays with its next owner", func(ctx SpecContext) {
		store := memstore.New()
		stopping, successor := newIdleService(store, "a"), newIdleService(store, "b")
		Expect(stopping.Submit(ctx, SubmitArgs{Submission: submission("l", 2), Team: "t", Route: "r"}, time.Now())).To(Succeed())
		stopping.peers = adoptingPeers{successor: successor}
		stopping.handOverBatch(ctx, "l", unfinishedBatch{})
		h, err := successor.store.Head(ctx, "l")
		Expect(err).NotTo(HaveOccurred())
		Expect(h.Owner).To(Equal("b"))
	})
})
