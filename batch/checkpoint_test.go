package batch

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/memstore"
)

// queueDelay is long enough for a goroutine to reach a mutex that the test holds.
const queueDelay = 100 * time.Millisecond

var _ = Describe("A checkpoint that is due when its instance stops", func() {
	var (
		store *memstore.Store
		r     *Runner
		due   checkpoint
	)

	BeforeEach(func(ctx SpecContext) {
		store = memstore.New()
		s := newIdleService(store, "a")
		r = s.runner
		_, err := s.SubmitHere(ctx, SubmitArgs{Submission: submission("l", 1), Team: "t", Route: "r"}, time.Now())
		Expect(err).NotTo(HaveOccurred())
		due = checkpoint{job: r.jobs["l"], texts: map[string]Partial{"l-0": {Events: 1, Text: "old", Versions: []int64{1}}}}
	})

	// The checkpoint holds older texts than the handover, and could be stored after them.
	It("is not stored after the stop", func(ctx SpecContext) {
		r.Stop(ctx)
		r.startCheckpoint(context.Background(), due)
		Consistently(func() []string { return store.Names(KindProgress) }).WithTimeout(2 * queueDelay).Should(BeEmpty())
	})

	// The race detector ended the process: the group of attempts was added to while the
	// stop began to wait for it.
	It("is not started while the stop begins to wait for running attempts", func(ctx SpecContext) {
		stopped, started := make(chan struct{}), make(chan struct{})
		r.mu.Lock()
		go func() { defer close(stopped); r.Stop(ctx) }()
		time.Sleep(queueDelay) // the stop is first in the queue for the mutex
		go func() { defer close(started); r.startCheckpoint(context.Background(), due) }()
		time.Sleep(queueDelay)
		r.mu.Unlock()
		Eventually(stopped).Should(BeClosed())
		Eventually(started).Should(BeClosed())
		Expect(store.Names(KindProgress)).To(BeEmpty())
	})
})
