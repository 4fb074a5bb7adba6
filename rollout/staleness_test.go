package rollout_test

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/attempt"
	"github.com/pomelocross/pomelocross/internal/memstore"
	"github.com/pomelocross/pomelocross/rollout"
)

// scriptedGenerator passes each request to the test, which decides its result.
type scriptedGenerator struct{ requests chan *pendingRequest }

// pendingRequest is a request that waits for a reply from the test.
type pendingRequest struct {
	rollout.SampleRequest
	ctx   context.Context
	reply chan rollout.Sample
}

func (g scriptedGenerator) Generate(ctx context.Context, request rollout.SampleRequest) (rollout.Sample, error) {
	pending := &pendingRequest{SampleRequest: request, ctx: ctx, reply: make(chan rollout.Sample)}
	g.requests <- pending
	select {
	case sample := <-pending.reply:
		return sample, nil
	case <-ctx.Done():
		partial := attempt.Completion{Text: "a b", OutputTokens: 2, Ranges: []attempt.Range{{WeightVersion: request.MinWeightVersion, Tokens: 2}}}
		return rollout.Sample{}, &rollout.Interrupted{Partial: partial, Upstream: "lm-slow", Err: ctx.Err()}
	}
}

func (g scriptedGenerator) next() *pendingRequest {
	GinkgoHelper()
	var pending *pendingRequest
	Eventually(g.requests).Should(Receive(&pending))
	return pending
}

var _ = Describe("Staleness", func() {
	var (
		ctx       = context.Background()
		clock     *clockwork.FakeClock
		generator scriptedGenerator
		home      *rollout.Home
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		generator = scriptedGenerator{requests: make(chan *pendingRequest, 64)}
		store := memstore.New()
		Expect(rollout.Create(ctx, store, rollout.RunSpec{Run: "r", Model: "m", MaxStaleness: 1, BatchSamples: 1}, "team", "i")).To(Succeed())
		var err error
		home, err = rollout.Open(ctx, store, generator, clock, "r", "i")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(home.Stop)
	})

	startStep := func(step, weights int64) { Expect(home.StartStep(ctx, newStepSpec(step, weights, 1, 1))).To(Succeed()) }
	readySamples := func() int { return home.Progress().Steps[0].Ready }
	pull := func(consumed int64) *rollout.Delivery {
		GinkgoHelper()
		delivery, err := home.Pull(ctx, rollout.PullRequest{Consumed: consumed})
		Expect(err).NotTo(HaveOccurred())
		return delivery
	}
	nextAttempt := func() *pendingRequest {
		GinkgoHelper()
		Eventually(func() int { return home.Progress().Steps[0].Redone }).Should(Equal(1))
		clock.Advance(time.Minute)
		return generator.next()
	}

	It("cancels a running sample at once if its engine runs older weights than it reported", func() {
		startStep(1, 5)
		first := generator.next()
		first.OnTokens(3, 1)
		Eventually(first.ctx.Done()).Should(BeClosed())
		second := nextAttempt()
		Expect(second.Partial.OutputTokens).To(BeZero())
		Expect(second.Avoid).To(Equal([]string{"lm-slow"}))
	})

	It("cancels a running sample made stale by new weights and restarts it on newer weights", func() {
		startStep(1, 5)
		first := generator.next()
		first.OnTokens(5, 1)
		startStep(2, 7)
		Eventually(first.ctx.Done()).Should(BeClosed())
		generator.next() // of step 2
		Expect(nextAttempt().MinWeightVersion).To(Equal(int64(6)))
	})

	It("does not deliver a finished sample made stale by new weights", func() {
		startStep(1, 5)
		first := generator.next()
		first.reply <- newSample(first.SampleRequest, 4)
		Eventually(readySamples).Should(Equal(1))
		startStep(2, 6)
		Expect(pull(0)).To(BeNil())
		Expect(home.Progress().Steps[0].Redone).To(Equal(1))
	})

	It("voids a lost batch made stale by new weights instead of delivering it again", func() {
		startStep(1, 5)
		first := generator.next()
		first.reply <- newSample(first.SampleRequest, 5)
		Eventually(readySamples).Should(Equal(1))
		Expect(pull(0).Number).To(Equal(int64(1)))
		startStep(2, 7)
		generator.next() // of step 2
		Expect(pull(0)).To(BeNil())
		second := generator.next()
		second.reply <- newSample(second.SampleRequest, 7)
		Eventually(readySamples).Should(Equal(1))
		Expect(decodeBatch(pull(0)).Samples[0].Oldest()).To(Equal(int64(7)))
	})

	It("uses the oldest version of a sample with several versions", func() {
		startStep(1, 5)
		first := generator.next()
		mixed := newSample(first.SampleRequest, 5)
		mixed.OutputTokens, mixed.Ranges = 3, append(mixed.Ranges, attempt.Range{WeightVersion: 3, Tokens: 1})
		first.reply <- mixed
		Expect(nextAttempt().Step).To(Equal(int64(1)))
	})

	DescribeTable("rejects a sample that does not state the weight version of each token", func(ranges []attempt.Range) {
		startStep(1, 1)
		first := generator.next()
		unversioned := newSample(first.SampleRequest, 1)
		unversioned.Ranges = ranges
		first.reply <- unversioned
		Eventually(func() int { return home.Progress().Steps[0].Failed }).Should(Equal(1))
		Expect(readySamples()).To(BeZero())
	},
		Entry("no ranges", nil),
		Entry("fewer tokens in the ranges than in the sample", []attempt.Range{{WeightVersion: 1, Tokens: 1}}),
		Entry("version 0", []attempt.Range{{WeightVersion: 1, Tokens: 1}, {WeightVersion: 0, Tokens: 1}}),
	)

	It("resumes a straggler on another upstream after the tokens generated so far", func() {
		spec := newStepSpec(1, 5, 1, 2)
		Expect(home.StartStep(ctx, spec)).To(Succeed())
		slow, fast := generator.next(), generator.next()
		slow.OnTokens(5, 1)
		fast.OnTokens(5, 1)
		clock.Advance(10 * time.Second)
		fast.OnTokens(5, 1000)
		home.Tick(time.Second)
		Eventually(slow.ctx.Done()).Should(BeClosed())
		Expect(fast.ctx.Err()).NotTo(HaveOccurred())
		moved := generator.next()
		Expect(moved.Number).To(Equal(slow.Number))
		Expect(moved.Partial.OutputTokens).To(Equal(2))
		Expect(moved.Avoid).To(Equal([]string{"lm-slow"}))
	})

	DescribeTable("prefers a weight version that is not stale at the expected end of the sample", func(timing rollout.Timing, expected int64) {
		ledger := &rollout.Ledger{WeightVersion: 10, MaxStaleness: 2}
		now := clock.Now()
		timing.LastVersionAt = now.Add(-time.Minute)
		Expect(timing.PreferredVersion(ledger, now)).To(Equal(expected))
	},
		Entry("without measurements", rollout.Timing{}, int64(8)),
		Entry("sample that ends before the next version", rollout.Timing{VersionInterval: 6 * time.Minute, SampleDuration: time.Minute}, int64(8)),
		Entry("sample that ends after one new version", rollout.Timing{VersionInterval: 6 * time.Minute, SampleDuration: 5 * time.Minute}, int64(9)),
		Entry("sample that lasts for more versions than the staleness limit", rollout.Timing{VersionInterval: time.Minute, SampleDuration: time.Hour}, int64(10)),
	)
})
