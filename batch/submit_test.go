package batch

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/memstore"
)

// singleOwnerPeers simulates peers of which one is the preferred owner of all batches.
type singleOwnerPeers struct {
	unresponsivePeers
	owner *Service
	// submitErr, if set, is returned by Submit after the owner has processed the batch,
	// or instead if refuse is set.
	submitErr   error
	refuse      bool
	submitCalls int
}

func (p *singleOwnerPeers) Owners(string) []string { return []string{p.owner.runner.Peer, "a"} }

func (p *singleOwnerPeers) Submit(ctx context.Context, _ string, args SubmitArgs) (Stored, error) {
	p.submitCalls++
	if p.refuse {
		return Stored{}, p.submitErr
	}
	head, err := p.owner.SubmitHere(ctx, args, time.Now())
	if p.submitErr != nil {
		return Stored{}, p.submitErr
	}
	return head, err
}

var _ = Describe("A batch submitted to an instance that is not its owner", func() {
	var (
		store *memstore.Store
		a, b  *Service
		peers *singleOwnerPeers
	)
	args := func(id string) SubmitArgs { return SubmitArgs{Submission: submission(id, 2), Team: "t", Route: "r"} }

	BeforeEach(func() {
		store = memstore.New()
		a, b = newIdleService(store, "a"), newIdleService(store, "b")
		peers = &singleOwnerPeers{owner: b}
		a.peers = peers
	})

	It("is run by its owner", func(ctx SpecContext) {
		Expect(a.Submit(ctx, args("l"), time.Now())).To(Succeed())
		Expect([]bool{a.runner.Runs("l"), b.runner.Runs("l")}).To(Equal([]bool{false, true}))
		h, err := a.store.Head(ctx, "l")
		Expect(err).NotTo(HaveOccurred())
		Expect(h.Owner).To(Equal("b"))
	})

	It("runs on the receiving instance if the owner declines it, and the owner gets no batches for a while", func(ctx SpecContext) {
		peers.refuse, peers.submitErr = true, ErrDeclined
		Expect(a.Submit(ctx, args("l"), time.Now())).To(Succeed())
		Expect(a.Submit(ctx, args("m"), time.Now())).To(Succeed())
		Expect(a.runner.Runs("l")).To(BeTrue())
		Expect(peers.submitCalls).To(Equal(1))
	})

	It("runs on the receiving instance if the owner has no room for it, and the owner gets the next one", func(ctx SpecContext) {
		peers.refuse, peers.submitErr = true, errors.Join(ErrDeclined, ErrNoRoom)
		Expect(a.Submit(ctx, args("l"), time.Now())).To(Succeed())
		Expect(a.runner.Runs("l")).To(BeTrue())
		Expect(peers.submitCalls).To(Equal(1), "it is not asked twice")
		peers.refuse, peers.submitErr = false, nil
		Expect(a.Submit(ctx, args("m"), time.Now())).To(Succeed())
		Expect(b.runner.Runs("m")).To(BeTrue())
	})

	// One batch that was too large kept those of all others from their owner for ten seconds.
	It("is rejected if the owner says that it is too large, and the owner gets the next one", func(ctx SpecContext) {
		peers.refuse, peers.submitErr = true, errors.Join(ErrDeclined, ErrTooLarge)
		Expect(a.Submit(ctx, args("l"), time.Now())).To(MatchError(ErrTooLarge))
		Expect(peers.submitCalls).To(Equal(1))
		peers.refuse, peers.submitErr = false, nil
		Expect(a.Submit(ctx, args("m"), time.Now())).To(Succeed())
		Expect(b.runner.Runs("m")).To(BeTrue())
	})

	It("is run once if the response of the owner is lost", func(ctx SpecContext) {
		peers.submitErr = context.DeadlineExceeded
		Expect(a.Submit(ctx, args("l"), time.Now())).To(Succeed())
		Expect([]bool{a.runner.Runs("l"), b.runner.Runs("l")}).To(Equal([]bool{false, true}))
	})

	It("has an unknown outcome if the owner may have accepted it", func(ctx SpecContext) {
		peers.refuse, peers.submitErr = true, context.DeadlineExceeded
		store.Fault = func(string, string, bool) memstore.Fault { return memstore.Down }
		Expect(a.Submit(ctx, args("l"), time.Now())).To(MatchError(ErrOutcomeUnknown))
	})

	It("is rejected if neither instance could store it", func(ctx SpecContext) {
		peers.refuse, peers.submitErr = true, ErrDeclined
		store.Fault = func(string, string, bool) memstore.Fault { return memstore.Down }
		err := a.Submit(ctx, args("l"), time.Now())
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(ErrOutcomeUnknown))
	})
})

// stoppingPeers simulates peers of which one is stopping and hands over its batches.
type stoppingPeers struct {
	unresponsivePeers
	owner *Service
}

func (s stoppingPeers) Read(ctx context.Context, _ string, args ReadArgs) (Page, error) {
	return s.owner.ReadHere(ctx, args)
}

var _ = Describe("A batch whose owner stops", func() {
	var (
		a, b *Service
		read = ReadArgs{ID: "l", Team: "t"}
	)

	BeforeEach(func(ctx SpecContext) {
		store := memstore.New()
		a, b = newIdleService(store, "a"), newIdleService(store, "b")
		b.peers = stoppingPeers{owner: a}
		_, err := a.SubmitHere(ctx, SubmitArgs{Submission: submission("l", 2), Team: "t", Route: "r"}, time.Now())
		Expect(err).NotTo(HaveOccurred())
		a.runner.mu.Lock()
		a.runner.stopping = true
		a.runner.mu.Unlock()
	})

	It("is not taken over by a reader before its texts are handed over", func(ctx SpecContext) {
		read := func() string {
			_, err := b.Read(ctx, read)
			Expect(err).NotTo(HaveOccurred())
			h, err := b.store.Head(ctx, "l")
			Expect(err).NotTo(HaveOccurred())
			return h.Owner
		}
		Expect(read()).To(Equal("a"))
		Eventually(read).WithTimeout(5*time.Second).Should(Equal("b"), "an owner that never completes the handover is replaced")
	})

	It("is not claimed again by the stopping owner", func(ctx SpecContext) {
		_, err := a.Read(ctx, read)
		Expect(err).NotTo(HaveOccurred())
		_, err = a.claim(ctx, "l", ownedByAny)
		Expect(err).To(MatchError(ErrStateUnknown))
		h, err := b.store.Head(ctx, "l")
		Expect(err).NotTo(HaveOccurred())
		Expect(h.Owner).To(Equal("a"))
	})

	It("is read from its next owner", func(ctx SpecContext) {
		claimed := make(chan error, 1)
		go func() {
			time.Sleep(2 * handoverPollInterval)
			_, err := b.claim(context.Background(), "l", ownedByAny)
			claimed <- err
		}()
		page, err := b.Read(ctx, read)
		Expect(<-claimed).To(Succeed())
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Total).To(Equal(2))
		Expect(b.runner.Runs("l")).To(BeTrue())
	})
})
