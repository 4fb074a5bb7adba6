package batch

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/memstore"
	"github.com/pomelocross/pomelocross/objects"
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
		peers.refuse, peers.answer = true, objects.ErrRefused
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
		Expect(a.Submit(ctx, args("l"), time.Now())).To(MatchError(ErrUnsettled))
	})

	It("is refused when neither could store it", func(ctx SpecContext) {
		peers.refuse, peers.answer = true, objects.ErrRefused
		store.Fault = func(string, string, bool) memstore.Fault { return memstore.Down }
		err := a.Submit(ctx, args("l"), time.Now())
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(ErrUnsettled))
	})
})
