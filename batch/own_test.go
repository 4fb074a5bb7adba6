package batch

import (
	"context"
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

// idle returns a service over a store that runs nothing, as one of an instance
// whose engines are all away.
func idle(store *memstore.Store, name string) *Service {
	r := NewRunner(Options{
		Name: name, Peer: name, Store: NewStore(store, name), Roster: roster.New(), Catalog: func() *catalog.Catalog { return nil },
		Clock: clockwork.NewRealClock(), Log: zap.NewNop(), Retention: time.Minute, RetentionBytes: 1 << 20,
	})
	return NewService(r, store, nobody{}, func(string) Limits { return Limits{Due: time.Second, MaxAge: time.Minute} })
}

// refusing are peers that are gone.
type refusing struct{ nobody }

func (refusing) Read(context.Context, string, ReadArgs) (Page, error) {
	return Page{}, syscall.ECONNREFUSED
}

// nobody are peers that do not answer.
type nobody struct{}

func (nobody) Read(ctx context.Context, _ string, _ ReadArgs) (Page, error) {
	return Page{}, context.DeadlineExceeded
}
func (nobody) Body(context.Context, string, BodyArgs) ([]byte, error) {
	return nil, context.DeadlineExceeded
}
func (nobody) End(context.Context, string, string) error   { return context.DeadlineExceeded }
func (nobody) Adopt(context.Context, string, string) error { return context.DeadlineExceeded }
func (nobody) Owners(string) []string                      { return nil }
func (nobody) Submit(context.Context, string, SubmitArgs) (Stored, error) {
	return Stored{}, context.DeadlineExceeded
}

var _ = Describe("An owner that was replaced while it was cut off", func() {
	var a, b *Service
	read := ReadArgs{ID: "l", Team: "t", After: 1}

	BeforeEach(func(ctx SpecContext) {
		store := memstore.New()
		a, b = idle(store, "a"), idle(store, "b")
		Expect(a.Submit(ctx, SubmitArgs{submission("l", 4), "t", "r"}, time.Now())).To(Succeed())
		_, err := a.keeper.Append(ctx, "l", 0, named("l-0"))
		Expect(err).NotTo(HaveOccurred())
		a.runner.jobs["l"].ledger.Apply(named("l-0"))
		_, err = b.claim(ctx, "l")
		Expect(err).NotTo(HaveOccurred())
		_, err = b.keeper.Append(ctx, "l", 1, named("l-1", "l-2"))
		Expect(err).NotTo(HaveOccurred())
		a.runner.jobs["l"].sure = time.Now().Add(-sureFor) // the takeover took longer than that
	})

	It("shows no empty page where the other has listed results, once it learns of the batch's end", func(ctx SpecContext) {
		Expect(b.End(ctx, "l", "t")).To(Succeed())
		h, err := a.keeper.Head(ctx, "l")
		Expect(err).NotTo(HaveOccurred())
		a.runner.headSeen(h)
		page, err := a.Read(ctx, read)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Results).To(Equal(named("l-1", "l-2")))
	})

	It("nor when it is only told of the end by another instance", func(ctx SpecContext) {
		Expect(b.End(ctx, "l", "t")).To(Succeed())
		a.runner.MarkEnded("l")
		page, err := a.Read(ctx, read)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Results).To(Equal(named("l-1", "l-2")))
	})

	It("nor when it ends the batch itself", func(ctx SpecContext) {
		Expect(a.End(ctx, "l", "t")).To(Succeed())
		page, err := a.Read(ctx, read)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Results).To(Equal(named("l-1", "l-2")))
	})

	It("and its successor shows what it still lists, before and after the end", func(ctx SpecContext) {
		b.runner.jobs["l"].ledger.Apply(named("l-1", "l-2"))
		last := ReadArgs{ID: "l", Team: "t", After: 3}
		b.runner.jobs["l"].sure = time.Now().Add(-sureFor)
		page, err := b.Read(ctx, last)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Results).To(BeEmpty())
		Expect(b.End(ctx, "l", "t")).To(Succeed())
		_, err = a.keeper.Append(ctx, "l", 2, named("l-3"))
		Expect(err).NotTo(HaveOccurred())
		b.runner.jobs["l"].sure = time.Now().Add(-sureFor)
		page, err = b.Read(ctx, last)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Results).To(Equal(named("l-3")))
	})

	It("nor while the batch is open and its word has aged", func(ctx SpecContext) {
		page, err := a.Read(ctx, read)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Results).To(Equal(named("l-1", "l-2")))
	})
})

var _ = Describe("Batches that nobody ends", func() {
	It("have their waiting items given up once these are too old, and leave the memory and the store", func(ctx SpecContext) {
		store := memstore.New()
		a := idle(store, "a")
		a.limitsOf = func(string) Limits { return Limits{} }
		a.runner.Retention = 50 * time.Millisecond
		Expect(a.Submit(ctx, SubmitArgs{submission("l", 2), "t", "r"}, time.Now())).To(Succeed())
		a.runner.retire()
		Eventually(func() int { page, _ := a.Read(ctx, ReadArgs{ID: "l", Team: "t"}); return len(page.Results) }).Should(Equal(2))
		page, err := a.Read(ctx, ReadArgs{ID: "l", Team: "t"})
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Results[0].State).To(Equal(Dead))
		time.Sleep(60 * time.Millisecond)
		a.runner.retire()
		Expect(a.runner.jobs).To(BeEmpty())
		Expect(a.sweep(ctx, time.Now())).To(Succeed())
		Expect(store.Names(KindHead)).To(HaveLen(1), "it is not old enough yet")
		Expect(a.sweep(ctx, time.Now().Add(sweepSlack+time.Second))).To(Succeed())
		for _, kind := range []string{KindHead, KindPart, KindChunk, KindProgress} {
			Expect(store.Names(kind)).To(BeEmpty())
		}
	})
})

var _ = Describe("A reader with an old belief of the owner", func() {
	It("does not take a batch from the owner that the store names by now", func(ctx SpecContext) {
		store := memstore.New()
		gone, owner, reader := idle(store, "gone"), idle(store, "owner"), idle(store, "reader")
		Expect(gone.Submit(ctx, SubmitArgs{submission("l", 2), "t", "r"}, time.Now())).To(Succeed())
		_, err := reader.viewOf(ctx, "l")
		Expect(err).NotTo(HaveOccurred())
		_, err = owner.claim(ctx, "l")
		Expect(err).NotTo(HaveOccurred())
		for _, peers := range []Peers{refusing{}, nobody{}} {
			reader.peers = peers
			_, _ = reader.Read(ctx, ReadArgs{ID: "l", Team: "t"}) // what it answers is not the matter
			h, err := owner.keeper.Head(ctx, "l")
			Expect(err).NotTo(HaveOccurred())
			Expect(h.Owner).To(Equal("owner"))
		}
	})

	It("takes it from one that is gone", func(ctx SpecContext) {
		store := memstore.New()
		gone, reader := idle(store, "gone"), idle(store, "reader")
		Expect(gone.Submit(ctx, SubmitArgs{submission("l", 2), "t", "r"}, time.Now())).To(Succeed())
		reader.peers = refusing{}
		_, err := reader.Read(ctx, ReadArgs{ID: "l", Team: "t"})
		Expect(err).NotTo(HaveOccurred())
		Expect(reader.runner.Runs("l")).To(BeTrue())
	})
})

var _ = Describe("The age of a batch that is taken over", func() {
	It("is taken by the clock without steps", func(ctx SpecContext) {
		store := memstore.New()
		a, b := idle(store, "a"), idle(store, "b")
		Expect(a.Submit(ctx, SubmitArgs{submission("l", 1), "t", "r"}, time.Now())).To(Succeed())
		b.runner.Wall = func() time.Time { return time.Now().Add(45 * time.Second) }
		_, err := b.claim(ctx, "l")
		Expect(err).NotTo(HaveOccurred())
		left := b.runner.jobs["l"].expires.Sub(b.runner.Clock.Now())
		Expect(left).To(BeNumerically("~", 15*time.Second, time.Second))
	})
})
