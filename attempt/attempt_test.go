package attempt_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/attempt"
	"github.com/pomelocross/pomelocross/internal/standin/engine"
	"github.com/pomelocross/pomelocross/internal/standin/service"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/queue"
	"github.com/pomelocross/pomelocross/route"
	"github.com/pomelocross/pomelocross/upstream"
)

func TestAttempt(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Attempt")
}

const slots = 64

var ticket = queue.Ticket{Team: "desk", Weight: 1, Cost: 1, Route: route.Request{Service: "s"}}

// runnerFor returns a runner before upstreams named a, b and so on.
func runnerFor(upstreams ...http.Handler) *attempt.Runner {
	waiting := queue.New(route.Default())
	var slotted []queue.Upstream
	for n, handler := range upstreams {
		server := httptest.NewServer(handler)
		DeferCleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		member := objects.Member{Name: string(rune('a' + n)), Service: "s", Address: strings.TrimPrefix(server.URL, "http://")}
		slotted = append(slotted, queue.Upstream{Upstream: upstream.Upstream{Member: member}, Slots: slots})
	}
	waiting.Update(slotted)
	return &attempt.Runner{
		Client: upstream.NewClient(), Queue: func(string) *queue.Queue { return waiting },
		Alternative: func(r route.Request) bool { return len(r.Exclude) < len(upstreams) },
	}
}

func discard(upstream.Chunk) error { return nil }

var order = upstream.PlainRequest{Method: "POST", Path: "/orders", Body: []byte("pins")}

var _ = Describe("Plain requests", func() {
	DescribeTable("run at most once, or again only where that is harmless",
		func(ctx SpecContext, faults service.Faults, declared, idempotent bool, runs int, outcome attempt.Outcome) {
			first, second := service.New("a"), service.New("b")
			first.SetFaults(faults)
			second.SetFaults(faults)
			request := order
			request.RefusalMeansNotRun = declared
			_, err := runnerFor(first, second).Plain(ctx, ticket, request, idempotent)
			var failed *attempt.Error
			Expect(errors.As(err, &failed)).To(BeTrue())
			Expect(failed.Outcome).To(Equal(outcome))
			Expect(len(first.Record()) + len(second.Record())).To(Equal(runs))
		},
		Entry("cut after it ran, not idempotent", service.Faults{RunThenCut: true}, false, false, 1, attempt.Unknown),
		Entry("cut after it ran, idempotent", service.Faults{RunThenCut: true}, false, true, attempt.MaxAttempts, attempt.Unknown),
		Entry("refused as declared", service.Faults{Refuse: true}, true, false, 0, attempt.Refused),
	)

	It("sends a request that is not idempotent to another upstream when nothing left", func(ctx SpecContext) {
		dead, alive := httptest.NewServer(http.NotFoundHandler()), service.New("b")
		runner := runnerFor(dead.Config.Handler, alive)
		waiting := runner.Queue("")
		gone := upstream.Upstream{Member: objects.Member{Name: "gone", Service: "s", Address: strings.TrimPrefix(dead.URL, "http://")}}
		dead.Close()
		live := httptest.NewServer(alive)
		DeferCleanup(live.Close)
		there := upstream.Upstream{Member: objects.Member{Name: "there", Service: "s", Address: strings.TrimPrefix(live.URL, "http://")}}
		waiting.Update([]queue.Upstream{{Upstream: gone, Slots: slots}, {Upstream: there, Slots: 1}})
		_, err := runner.Plain(ctx, ticket, order, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(alive.Record()).To(HaveLen(1))
	})

	It("does not amplify an outage beyond its budget", func(ctx SpecContext) {
		const requests = 1000
		sent := func(budgets *attempt.Budgets) int {
			broken := service.New("a")
			broken.SetFaults(service.Faults{RunThenCut: true})
			runner := runnerFor(broken)
			runner.Budgets = budgets
			for range requests {
				_, err := runner.Plain(ctx, ticket, order, true)
				Expect(err).To(HaveOccurred())
			}
			return len(broken.Record())
		}
		with, without := sent(attempt.NewBudgets(clockwork.NewFakeClock())), sent(nil)
		GinkgoWriter.Printf("requests %d, sent upstream with budget %d, without %d\n", requests, with, without)
		Expect(without).To(Equal(attempt.MaxAttempts * requests))
		Expect(with).To(BeNumerically("<=", requests*112/100))
	})
})

var _ = Describe("Streams", func() {
	DescribeTable("go on at another engine with the same text, each range under its version",
		func(ctx SpecContext, faults engine.Faults) {
			broken, whole := engine.New(engine.Options{WeightVersion: 3}), engine.New(engine.Options{WeightVersion: 4})
			broken.SetFaults(faults)
			var streamed strings.Builder
			completion, err := runnerFor(broken, whole).Stream(ctx, ticket, upstream.CompletionRequest{ID: "r", Prompt: "pins", MaxTokens: 10}, func(c upstream.Chunk) error {
				streamed.WriteString(c.Text)
				return nil
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(completion.Text).To(Equal(engine.Text("pins", 0, 10)))
			Expect(streamed.String()).To(Equal(completion.Text))
			Expect(completion.OutputTokens).To(Equal(10))
			Expect(completion.Ranges).To(Equal([]attempt.Range{{WeightVersion: 3, Tokens: 4}, {WeightVersion: 4, Tokens: 6}}))
		},
		Entry("cut", engine.Faults{CutAfter: 4}),
		Entry("crossed", engine.Faults{Damage: engine.WrongID, DamageAt: 4}),
		Entry("missing", engine.Faults{Damage: engine.Missing, DamageAt: 4}),
		Entry("garbage", engine.Faults{Damage: engine.Garbage, DamageAt: 4}),
		Entry("too long", engine.Faults{Damage: engine.TooLong, DamageAt: 4}),
	)

	It("end upstream at once when the caller stops reading or leaves", func(ctx SpecContext) {
		slow := engine.New(engine.Options{WeightVersion: 1, TokenTime: 5 * time.Millisecond})
		runner := runnerFor(slow)
		_, err := runner.Stream(ctx, ticket, upstream.CompletionRequest{ID: "1", MaxTokens: 100000}, func(upstream.Chunk) error { return errors.New("gone") })
		Expect(err).To(HaveOccurred())
		leaving, leave := context.WithCancel(ctx)
		_, err = runner.Stream(leaving, ticket, upstream.CompletionRequest{ID: "2", MaxTokens: 100000}, func(upstream.Chunk) error {
			leave()
			return nil
		})
		Expect(err).To(HaveOccurred())
		Eventually(func() (cancelled int) {
			for _, r := range slow.Record().Requests {
				if r.Cancelled {
					cancelled++
				}
			}
			return cancelled
		}).Should(Equal(2))
		Expect(slow.Record().Requests).To(HaveLen(2))
	})

	It("are told as not run only if no engine began them", func(ctx SpecContext) {
		refusing := engine.New(engine.Options{WeightVersion: 1})
		refusing.SetFaults(engine.Faults{Refuse: true})
		_, err := runnerFor(refusing).Stream(ctx, ticket, upstream.CompletionRequest{ID: "r", MaxTokens: 4}, discard)
		var failed *attempt.Error
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.Outcome).To(Equal(attempt.Refused))
		Expect(failed.RetryAfter).To(Equal(time.Second))
		Expect(refusing.Record().Requests).To(BeEmpty())
	})
})
