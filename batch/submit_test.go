package batch

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/memstore"
)

// handing are peers of which one is to run all batches.
type handing struct {
	nobody
	owner *Service
	// answer replaces what comes back of a batch that was handed in; refuse keeps it
	// from the owner.
	answer error
	refuse bool
	asked  int
}

func (h *handing) Owners(string) []string { return []string{h.owner.runner.Peer, "a"} }

func (h *handing) Submit(ctx context.Context, _ string, args SubmitArgs) (Stored, error) {
	h.asked++
	if h.refuse {
		return Stored{}, h.answer
	}
	head, err := h.owner.SubmitHere(ctx, args, time.Now())
	if h.answer != nil {
		return Stored{}, h.answer
	}
	return head, err
}

var _ = Describe("A batch that reaches another instance than its owner", func() {
	var (
		store *memstore.Store
		a, b  *Service
		peers *handing
	)
	args := func(id string) SubmitArgs { return SubmitArgs{submission(id, 2), "t", "r"} }

	BeforeEach(func() {
		store = memstore.New()
		a, b = idle(store, "a"), idle(store, "b")
		peers = &handing{owner: b}
		a.peers = peers
	})

	It("is run by its owner", func(ctx SpecContext) {
		Expect(a.Submit(ctx, args("l"), time.Now())).To(Succeed())
		Expect([]bool{a.runner.Runs("l"), b.runner.Runs("l")}).To(Equal([]bool{false, true}))
		h, err := a.keeper.Head(ctx, "l")
		Expect(err).NotTo(HaveOccurred())
		Expect(h.Owner).To(Equal("b"))
	})

	It("is run here when the owner refuses it, which is not asked again for a while", func(ctx SpecContext) {
		peers.refuse, peers.answer = true, ErrDeclined
		Expect(a.Submit(ctx, args("l"), time.Now())).To(Succeed())
		Expect(a.Submit(ctx, args("m"), time.Now())).To(Succeed())
		Expect(a.runner.Runs("l")).To(BeTrue())
		Expect(peers.asked).To(Equal(1))
	})

	It("is run once when the owner's answer is lost", func(ctx SpecContext) {
		peers.answer = context.DeadlineExceeded
		Expect(a.Submit(ctx, args("l"), time.Now())).To(Succeed())
		Expect([]bool{a.runner.Runs("l"), b.runner.Runs("l")}).To(Equal([]bool{false, true}))
	})

	It("is not refused as if it could not run when the owner may have it", func(ctx SpecContext) {
		peers.refuse, peers.answer = true, context.DeadlineExceeded
		store.Fault = func(string, string, bool) memstore.Fault { return memstore.Down }
		Expect(a.Submit(ctx, args("l"), time.Now())).To(MatchError(ErrOutcomeUnknown))
	})

	It("is refused when neither could store it", func(ctx SpecContext) {
		peers.refuse, peers.answer = true, ErrDeclined
		store.Fault = func(string, string, bool) memstore.Fault { return memstore.Down }
		err := a.Submit(ctx, args("l"), time.Now())
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(ErrOutcomeUnknown))
	})
})

// stoppingOwner are peers of which one is handing its batches over.
type stoppingOwner struct {
	nobody
	owner *Service
}

func (s stoppingOwner) Read(ctx context.Context, _ string, args ReadArgs) (Page, error) {
	return s.owner.ReadHere(ctx, args)
}

var _ = Describe("A batch whose owner stops", func() {
	var (
		a, b *Service
		read = ReadArgs{ID: "l", Team: "t"}
	)

	BeforeEach(func(ctx SpecContext) {
		store := memstore.New()
		a, b = idle(store, "a"), idle(store, "b")
		b.peers = stoppingOwner{owner: a}
		_, err := a.SubmitHere(ctx, SubmitArgs{submission("l", 2), "t", "r"}, time.Now())
		Expect(err).NotTo(HaveOccurred())
		a.runner.mu.Lock()
		a.runner.stopping = true
		a.runner.mu.Unlock()
	})

	It("is not taken over by a reader before its texts are handed over", func(ctx SpecContext) {
		read := func() string {
			_, err := b.Read(ctx, read)
			Expect(err).NotTo(HaveOccurred())
			h, err := b.keeper.Head(ctx, "l")
			Expect(err).NotTo(HaveOccurred())
			return h.Owner
		}
		Expect(read()).To(Equal("a"))
		Eventually(read).WithTimeout(5*time.Second).Should(Equal("b"), "an owner that never hands over is replaced")
	})

	It("is not claimed again by the owner itself", func(ctx SpecContext) {
		_, err := a.Read(ctx, read)
		Expect(err).NotTo(HaveOccurred())
		_, err = a.claim(ctx, "l")
		Expect(err).To(MatchError(ErrStateUnknown))
		h, err := b.keeper.Head(ctx, "l")
		Expect(err).NotTo(HaveOccurred())
		Expect(h.Owner).To(Equal("a"))
	})

	It("is read from its next owner", func(ctx SpecContext) {
		claimed := make(chan error, 1)
		go func() {
			time.Sleep(2 * handoverStep)
			_, err := b.claim(context.Background(), "l")
			claimed <- err
		}()
		page, err := b.Read(ctx, read)
		Expect(<-claimed).To(Succeed())
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Total).To(Equal(2))
		Expect(b.runner.Runs("l")).To(BeTrue())
	})
})
