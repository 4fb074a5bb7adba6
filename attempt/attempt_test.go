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

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Attempt")
}

const slotsPerUpstream = 64

var testTicket = queue.Ticket{Team: "desk", Weight: 1, Cost: 1, Route: route.Request{Service: "s"}}

// newRunner returns a runner with an upstream for each handler, named a, b and so
// on.
func newRunner(upstreams ...http.Handler) *attempt.Runner {
	serviceQueue := queue.New(route.Default())
	var allocations []queue.Upstream
	for n, handler := range upstreams {
		server := httptest.NewServer(handler)
		DeferCleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		member := objects.Member{Name: string(rune('a' + n)), Service: "s", Address: strings.TrimPrefix(server.URL, "http://")}
		allocations = append(allocations, queue.Upstream{Upstream: upstream.Upstream{Member: member}, Slots: slotsPerUpstream})
	}
	serviceQueue.Update(allocations)
	return &attempt.Runner{
		Client: upstream.NewClient(), Queue: func(string) *queue.Queue { return serviceQueue },
		Alternative: func(r route.Request) bool { return len(r.Exclude) < len(upstreams) },
	}
}

func discardChunk(upstream.Chunk) error { return nil }

var orderRequest = upstream.PlainRequest{Method: "POST", Path: "/orders", Body: []byte("pins")}

var _ = Describe("Plain requests", func() {
	DescribeTable("are executed at most once unless they are idempotent",
		func(ctx SpecContext, faults service.Faults, refusalMeansNotRun, idempotent bool, runs int, outcome attempt.Outcome) {
			first, second := service.New("a"), service.New("b")
			first.SetFaults(faults)
			second.SetFaults(faults)
			request := orderRequest
			request.RefusalMeansNotRun = refusalMeansNotRun
			_, err := newRunner(first, second).Plain(ctx, testTicket, request, idempotent)
			var attemptErr *attempt.Error
			Expect(errors.As(err, &attemptErr)).To(BeTrue())
			Expect(attemptErr.Outcome).To(Equal(outcome))
			Expect(len(first.Record()) + len(second.Record())).To(Equal(runs))
		},
		Entry("connection closed after execution, not idempotent", service.Faults{RunThenCut: true}, false, false, 1, attempt.Unknown),
		Entry("connection closed after execution, idempotent", service.Faults{RunThenCut: true}, false, true, attempt.MaxAttempts, attempt.Unknown),
		Entry("refused by a service with refusalMeansNotRun", service.Faults{Refuse: true}, true, false, 0, attempt.Refused),
	)

	It("retries a request that is not idempotent on another upstream if no byte was sent", func(ctx SpecContext) {
		closedServer, liveService := httptest.NewServer(http.NotFoundHandler()), service.New("b")
		runner := newRunner(closedServer.Config.Handler, liveService)
		serviceQueue := runner.Queue("")
		unreachableUpstream := upstream.Upstream{Member: objects.Member{Name: "dead", Service: "s", Address: strings.TrimPrefix(closedServer.URL, "http://")}}
		closedServer.Close()
		liveServer := httptest.NewServer(liveService)
		DeferCleanup(liveServer.Close)
		liveUpstream := upstream.Upstream{Member: objects.Member{Name: "live", Service: "s", Address: strings.TrimPrefix(liveServer.URL, "http://")}}
		serviceQueue.Update([]queue.Upstream{{Upstream: unreachableUpstream, Slots: slotsPerUpstream}, {Upstream: liveUpstream, Slots: 1}})
		_, err := runner.Plain(ctx, testTicket, orderRequest, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(liveService.Record()).To(HaveLen(1))
	})

	It("does not send more retries during an outage than the budget allows", func(ctx SpecContext) {
		const requests = 1000
		countSent := func(budgets *attempt.Budgets) int {
			broken := service.New("a")
			broken.SetFaults(service.Faults{RunThenCut: true})
			runner := newRunner(broken)
			runner.Budgets = budgets
			for range requests {
				_, err := runner.Plain(ctx, testTicket, orderRequest, true)
				Expect(err).To(HaveOccurred())
			}
			return len(broken.Record())
		}
		withBudget, withoutBudget := countSent(attempt.NewBudgets(clockwork.NewFakeClock())), countSent(nil)
		GinkgoWriter.Printf("requests %d, attempts with retry budget %d, without %d\n", requests, withBudget, withoutBudget)
		Expect(withoutBudget).To(Equal(attempt.MaxAttempts * requests))
		Expect(withBudget).To(BeNumerically("<=", requests*112/100))
	})
})

var _ = Describe("Streams", func() {
	DescribeTable("resume on another engine without changing the text and record the weight version of each range",
		func(ctx SpecContext, faults engine.Faults) {
			failing, healthy := engine.New(engine.Options{WeightVersion: 3}), engine.New(engine.Options{WeightVersion: 4})
			failing.SetFaults(faults)
			var streamed strings.Builder
			completion, err := newRunner(failing, healthy).Stream(ctx, testTicket, upstream.CompletionRequest{ID: "r", Prompt: "pins", MaxTokens: 10}, func(c upstream.Chunk) error {
				streamed.WriteString(c.Text)
				return nil
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(completion.Text).To(Equal(engine.Text("pins", 0, 10)))
			Expect(streamed.String()).To(Equal(completion.Text))
			Expect(completion.OutputTokens).To(Equal(10))
			Expect(completion.Ranges).To(Equal([]attempt.Range{{WeightVersion: 3, Tokens: 4}, {WeightVersion: 4, Tokens: 6}}))
		},
		Entry("connection closed", engine.Faults{CutAfter: 4}),
		Entry("chunk of another request", engine.Faults{Damage: engine.WrongID, DamageAt: 4}),
		Entry("missing chunk", engine.Faults{Damage: engine.Missing, DamageAt: 4}),
		Entry("invalid chunk", engine.Faults{Damage: engine.Garbage, DamageAt: 4}),
		Entry("too many tokens", engine.Faults{Damage: engine.TooLong, DamageAt: 4}),
	)

	It("are canceled on the engine when the caller stops reading or cancels", func(ctx SpecContext) {
		slow := engine.New(engine.Options{WeightVersion: 1, TokenTime: 5 * time.Millisecond})
		runner := newRunner(slow)
		_, err := runner.Stream(ctx, testTicket, upstream.CompletionRequest{ID: "1", MaxTokens: 100000}, func(upstream.Chunk) error { return errors.New("caller stopped reading") })
		Expect(err).To(HaveOccurred())
		cancellable, cancel := context.WithCancel(ctx)
		_, err = runner.Stream(cancellable, testTicket, upstream.CompletionRequest{ID: "2", MaxTokens: 100000}, func(upstream.Chunk) error {
			cancel()
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

	It("report Refused and the requested delay if the engine refused them", func(ctx SpecContext) {
		refusing := engine.New(engine.Options{WeightVersion: 1})
		refusing.SetFaults(engine.Faults{Refuse: true})
		_, err := newRunner(refusing).Stream(ctx, testTicket, upstream.CompletionRequest{ID: "r", MaxTokens: 4}, discardChunk)
		var attemptErr *attempt.Error
		Expect(errors.As(err, &attemptErr)).To(BeTrue())
		Expect(attemptErr.Outcome).To(Equal(attempt.Refused))
		Expect(attemptErr.RetryAfter).To(Equal(time.Second))
		Expect(refusing.Record().Requests).To(BeEmpty())
	})
})
