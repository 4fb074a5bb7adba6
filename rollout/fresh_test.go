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

// scripted hands each order to the test, which decides what comes of it.
type scripted struct{ asked chan *asked }

// asked is one order that waits for the test's answer.
type asked struct {
	rollout.SampleRequest
	ctx    context.Context
	answer chan rollout.Sample // closed to interrupt the attempt
}

func (g scripted) Generate(ctx context.Context, order rollout.SampleRequest) (rollout.Sample, error) {
	a := &asked{SampleRequest: order, ctx: ctx, answer: make(chan rollout.Sample)}
	g.asked <- a
	select {
	case sample := <-a.answer:
		return sample, nil
	case <-ctx.Done():
		begun := attempt.Completion{Text: "a b", OutputTokens: 2, Ranges: []attempt.Range{{WeightVersion: order.MinWeightVersion, Tokens: 2}}}
		return rollout.Sample{}, &rollout.Interrupted{Partial: begun, Upstream: "lm-slow", Err: ctx.Err()}
	}
}

func (g scripted) next() *asked {
	GinkgoHelper()
	var a *asked
	Eventually(g.asked).Should(Receive(&a))
	return a
}

var _ = Describe("Staleness", func() {
	var (
		ctx       = context.Background()
		clock     *clockwork.FakeClock
		generator scripted
		home      *rollout.Home
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		generator = scripted{asked: make(chan *asked, 64)}
		store := memstore.New()
		Expect(rollout.Create(ctx, store, rollout.RunSpec{Run: "r", Model: "m", MaxStaleness: 1, BatchSamples: 1}, "team", "i")).To(Succeed())
		var err error
		home, err = rollout.Open(ctx, store, generator, clock, "r", "i")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(home.Stop)
	})

	start := func(step, weights int64) { Expect(home.StartStep(ctx, stepOf(step, weights, 1, 1))).To(Succeed()) }
	ready := func() int { return home.Progress().Steps[0].Ready }
	pull := func(consumed int64) *rollout.Delivery {
		GinkgoHelper()
		delivery, err := home.Pull(ctx, rollout.PullRequest{Consumed: consumed})
		Expect(err).NotTo(HaveOccurred())
		return delivery
	}
	again := func() *asked {
		GinkgoHelper()
		Eventually(func() int { return home.Progress().Steps[0].Redone }).Should(Equal(1))
		clock.Advance(time.Minute)
		return generator.next()
	}

	It("ends a running sample at once whose engine runs older weights than it had reported", func() {
		start(1, 5)
		first := generator.next()
		first.OnTokens(3, 1)
		Eventually(first.ctx.Done()).Should(BeClosed())
		second := again()
		Expect(second.Partial.OutputTokens).To(BeZero())
		Expect(second.Avoid).To(Equal([]string{"lm-slow"}))
	})

	It("ends a running sample that newer weights leave behind, and runs it again on fresh ones", func() {
		start(1, 5)
		first := generator.next()
		first.OnTokens(5, 1)
		start(2, 7)
		Eventually(first.ctx.Done()).Should(BeClosed())
		generator.next() // of step 2
		Expect(again().MinWeightVersion).To(Equal(int64(6)))
	})

	It("does not hand over a finished sample that newer weights leave behind", func() {
		start(1, 5)
		first := generator.next()
		first.answer <- sampleOf(first.SampleRequest, 4)
		Eventually(ready).Should(Equal(1))
		start(2, 6)
		Expect(pull(0)).To(BeNil())
		Expect(home.Progress().Steps[0].Redone).To(Equal(1))
	})

	It("takes back a lost batch that newer weights leave behind instead of handing it over again", func() {
		start(1, 5)
		first := generator.next()
		first.answer <- sampleOf(first.SampleRequest, 5)
		Eventually(ready).Should(Equal(1))
		Expect(pull(0).Number).To(Equal(int64(1)))
		start(2, 7)
		generator.next() // of step 2
		Expect(pull(0)).To(BeNil())
		second := generator.next()
		second.answer <- sampleOf(second.SampleRequest, 7)
		Eventually(ready).Should(Equal(1))
		Expect(decode(pull(0)).Samples[0].Oldest()).To(Equal(int64(7)))
	})

	It("counts the oldest token range of a sample of several versions", func() {
		start(1, 5)
		first := generator.next()
		mixed := sampleOf(first.SampleRequest, 5)
		mixed.OutputTokens, mixed.Ranges = 3, append(mixed.Ranges, attempt.Range{WeightVersion: 3, Tokens: 1})
		first.answer <- mixed
		Expect(again().Step).To(Equal(int64(1)))
	})

	DescribeTable("refuses a sample that does not name the weights behind each token", func(ranges []attempt.Range) {
		start(1, 1)
		first := generator.next()
		unnamed := sampleOf(first.SampleRequest, 1)
		unnamed.Ranges = ranges
		first.answer <- unnamed
		Eventually(func() int { return home.Progress().Steps[0].Failed }).Should(Equal(1))
		Expect(ready()).To(BeZero())
	},
		Entry("none at all", nil),
		Entry("too few tokens", []attempt.Range{{WeightVersion: 1, Tokens: 1}}),
		Entry("version 0", []attempt.Range{{WeightVersion: 1, Tokens: 1}, {WeightVersion: 0, Tokens: 1}}),
	)

	It("resumes a straggler elsewhere behind what it has generated", func() {
		spec := stepOf(1, 5, 1, 2)
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

	DescribeTable("prefers weights that are fresh at the expected end", func(pace rollout.Pace, expected int64) {
		ledger := &rollout.Ledger{WeightVersion: 10, MaxStaleness: 2}
		at := clock.Now()
		pace.LastWeights = at.Add(-time.Minute)
		Expect(pace.Preferred(ledger, at)).To(Equal(expected))
	},
		Entry("nothing known", rollout.Pace{}, int64(8)),
		Entry("a short sample", rollout.Pace{Interval: 6 * time.Minute, Sample: time.Minute}, int64(8)),
		Entry("over one change of weights", rollout.Pace{Interval: 6 * time.Minute, Sample: 5 * time.Minute}, int64(9)),
		Entry("over more than the bound", rollout.Pace{Interval: time.Minute, Sample: time.Hour}, int64(10)),
	)
})
