package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/internal/standin/engine"
	"github.com/pomelocross/pomelocross/internal/standin/journal"
	"github.com/pomelocross/pomelocross/internal/standin/service"
	"github.com/pomelocross/pomelocross/internal/standin/trainer"
	"github.com/pomelocross/pomelocross/rollout"
)

const (
	pairTokens    = 10 // in the response to a completion
	pairStaleness = 1  // maximum, in weight versions
	pairGroups    = 2
	pairSamples   = 3 // per group
)

// sentRequest is a request of a caller and the responses to all its attempts.
type sentRequest struct {
	prompt    string // of a completion; the body of an order
	stream    bool
	responses []response
}

// workload runs a trainer and callers during failures and records their responses.
type workload struct {
	d         *deployment
	instances []*daemon
	stopping  atomic.Bool // callers stop; the trainer runs two more steps
	wg        sync.WaitGroup

	trainer           *trainer.Trainer
	steps             int64
	mu                sync.Mutex // guards the fields below
	sent              []sentRequest
	revisionDecreases []string // one message for each decrease observed
}

// start starts a trainer, callers that send completions and orders, and a watcher of the
// revision of each instance. It returns when orders have been given in both domains.
func (w *workload) start() {
	for _, inst := range w.instances {
		Eventually(func() int { return inst.complete(demoKey("centros"), "warm", 1, false).status }).Should(Equal(200))
		Eventually(func() int { return placeOrder(inst, "warm "+inst.name).status }).Should(Equal(200))
		w.goRun(func() { w.watchRevision(inst) })
	}
	w.trainer = &trainer.Trainer{Key: demoKey("restockplans"), Run: "plans"}
	for _, inst := range w.instances {
		w.trainer.Addresses = append(w.trainer.Addresses, inst.listen)
	}
	w.goRun(w.train)
	for n := range 3 {
		w.goRun(func() { w.sendRequests(fmt.Sprint("stream ", n), w.stream) })
		w.goRun(func() { w.sendRequests(fmt.Sprint("order ", n), w.order) })
	}
	for _, domain := range []string{"mty-a", "mty-b"} {
		Eventually(w.d.receivedOrders).WithArguments(domain).ShouldNot(BeEmpty())
	}
}

// goRun runs a function in a goroutine that stopAndCheck waits for.
func (w *workload) goRun(work func()) {
	w.wg.Go(func() {
		defer GinkgoRecover()
		work()
	})
}

// train runs training steps until the workload is stopping, and two more.
func (w *workload) train() {
	ctx := timeoutContext(time.Minute)
	t := w.trainer
	retry := func(operation func(context.Context) error) {
		Eventually(operation).WithContext(ctx).WithTimeout(time.Minute).WithPolling(50 * time.Millisecond).Should(Succeed())
	}
	retry(func(ctx context.Context) error {
		return t.Create(ctx, rollout.RunSpec{Run: t.Run, Model: "restock", MaxStaleness: pairStaleness, BatchSamples: 4})
	})
	for extra := 2; extra > 0; w.steps++ {
		if w.stopping.Load() {
			extra--
		}
		step := w.steps + 1
		retry(func(ctx context.Context) error { return t.Step(ctx, newStep(step, pairGroups, pairSamples)) })
		Expect(t.Collect(ctx, step)).To(Succeed())
	}
	retry(t.Acknowledge)
}

// sendRequests sends requests, each through the next instance, until the workload is
// stopping.
func (w *workload) sendRequests(name string, send func(prompt string, first int) sentRequest) {
	for n := 0; !w.stopping.Load(); n++ {
		sent := send(fmt.Sprint(name, " ", n), n)
		w.mu.Lock()
		w.sent = append(w.sent, sent)
		w.mu.Unlock()
	}
}

// stream sends a streamed completion.
func (w *workload) stream(prompt string, n int) sentRequest {
	return sentRequest{prompt: prompt, stream: true, responses: []response{w.instances[n%len(w.instances)].complete(demoKey("fabricas"), prompt, pairTokens, true)}}
}

// order sends an order three times with the same Idempotency-Key, through different
// instances and regardless of the responses.
func (w *workload) order(body string, n int) sentRequest {
	a := sentRequest{prompt: body}
	for try := range 3 {
		a.responses = append(a.responses, placeOrder(w.instances[(n+try)%len(w.instances)], body))
	}
	return a
}

// placeOrder sends an order with its body as its Idempotency-Key.
func placeOrder(inst *daemon, body string) response {
	return inst.do(request{method: "POST", path: "/orders", key: demoKey("desk"), body: body, header: map[string]string{"Idempotency-Key": body}})
}

// watchRevision records decreases of the revision that an instance reports.
func (w *workload) watchRevision(inst *daemon) {
	highest := contract.Revision(0)
	for !w.stopping.Load() {
		select {
		case <-inst.exited:
			return
		case <-time.After(50 * time.Millisecond):
		}
		s, err := inst.status()
		if err != nil {
			continue
		}
		if s.Revision < highest {
			w.mu.Lock()
			w.revisionDecreases = append(w.revisionDecreases, fmt.Sprint(inst.name, " from ", highest, " to ", s.Revision))
			w.mu.Unlock()
		}
		highest = max(highest, s.Revision)
	}
}

// stopAndCheck stops the workload and checks all invariants.
func (w *workload) stopAndCheck() {
	GinkgoHelper()
	w.stopping.Store(true)
	done := make(chan struct{})
	go func() { w.wg.Wait(); close(done) }()
	Eventually(done, time.Minute).Should(BeClosed())
	Expect(w.revisionDecreases).To(BeEmpty())
	AddReportEntry("workload", fmt.Sprint(w.steps, " steps, ", len(w.sent), " requests, ", len(w.d.receivedOrders("mty-a")), " orders in mty-a, ", len(w.d.platform.Record().Scale), " scale orders"))
	w.checkSamples()
	w.checkResponses()
	w.checkOrders()
	w.checkUsage()
}

// checkSamples checks that the trainer got each sample once, within the maximum
// staleness and with the text of its prompt and seed.
func (w *workload) checkSamples() {
	GinkgoHelper()
	Expect(w.trainer.Duplicated()).To(BeEmpty())
	Expect(w.trainer.Samples).To(HaveLen(int(w.steps) * pairGroups * pairSamples))
	for _, s := range w.trainer.Samples {
		Expect(s.Ranges).NotTo(BeEmpty())
		Expect(s.Oldest()).To(BeNumerically(">=", s.Step-pairStaleness))
		Expect(s.Text).To(Equal(engine.Text("plan", s.Step*100+int64(s.Index), 8)))
	}
}

// checkResponses checks that complete responses match their requests, that no request
// answered with notRun ran, that an order ran at most once, and that no API key reached
// an upstream.
func (w *workload) checkResponses() {
	GinkgoHelper()
	runCount := map[string]int{}
	var records []any
	for _, e := range w.d.engines {
		for _, r := range e.Record().Requests {
			runCount[r.Prompt]++
		}
		records = append(records, e.Record())
	}
	for _, s := range w.d.services {
		for _, r := range s.Record() {
			runCount[r.Body]++
		}
		records = append(records, s.Record())
	}
	received, err := json.Marshal(records)
	Expect(err).NotTo(HaveOccurred())
	Expect(strings.Contains(string(received), "pmx_")).To(BeFalse(), "an upstream received an API key")
	completed := map[bool]int{} // by whether the request was streamed
	for _, a := range w.sent {
		notRun := 0
		for _, got := range a.responses {
			if strings.Contains(got.body, `"notRun":true`) {
				notRun++
			}
			if got.status == 200 && got.err == nil {
				completed[a.stream]++
				a.checkContent(got)
			}
		}
		Expect(notRun == len(a.responses) && runCount[a.prompt] > 0).To(BeFalse(), "%q ran although all responses say that it did not: %v", a.prompt, a.responses)
		Expect(!a.stream && runCount[a.prompt] > 1).To(BeFalse(), "%q ran %d times", a.prompt, runCount[a.prompt])
	}
	AddReportEntry("successful responses", fmt.Sprint(completed[true], " streams, ", completed[false], " orders"))
	Expect(min(completed[true], completed[false])).To(BeNumerically(">", 10))
}

// checkContent checks the content of a successful response. An incomplete stream must
// hold a prefix of the text and an error.
func (a sentRequest) checkContent(got response) {
	GinkgoHelper()
	if !a.stream {
		var echo service.Answer
		Expect(json.Unmarshal([]byte(got.body), &echo)).To(Succeed(), got.body)
		Expect(echo.Body).To(Equal(a.prompt))
		return
	}
	want := engine.Text(a.prompt, 0, pairTokens)
	if a.isComplete(got) {
		Expect(streamedText(got.body)).To(Equal(want))
		return
	}
	Expect(want).To(HavePrefix(streamedText(got.body)))
	Expect(got.body).To(ContainSubstring(`"error"`))
}

// isComplete reports whether a streamed response ended with its terminating event.
func (a sentRequest) isComplete(got response) bool {
	return a.stream && got.err == nil && strings.HasSuffix(got.body, "data: [DONE]\n\n")
}

// checkOrders checks that the orders of different holders overlap in no domain.
func (w *workload) checkOrders() {
	GinkgoHelper()
	for _, domain := range w.d.bundle.Domains {
		orders := w.d.receivedOrders(domain.Name)
		Expect(journal.EpochViolations(orders)).To(BeEmpty(), "in %v", orders)
	}
}

// checkUsage checks that all reports of a window have the same figures, that epochs do
// not decrease, and that the tokens reported are at least those of the complete
// responses and no more than those generated.
func (w *workload) checkUsage() {
	GinkgoHelper()
	var completed, generated int64
	for _, a := range w.sent {
		if a.stream && a.isComplete(a.responses[0]) {
			completed += pairTokens
		}
		if a.stream {
			generated += generatedTokens(w.d, a.prompt)
		}
	}
	Eventually(reportedTokens).WithArguments(w.d, "fabricas").Should(BeNumerically(">=", completed))
	Consistently(reportedTokens).WithArguments(w.d, "fabricas").WithTimeout(2 * time.Second).Should(BeNumerically("<=", generated))
	expectSameFiguresPerWindow(w.d)
	expectNonDecreasingEpochs(w.d)
}

// lastOrderNotFrom reports whether the last order received for a domain is from another
// holder than the given one.
func (d *deployment) lastOrderNotFrom(domain, holder string) bool {
	orders := d.receivedOrders(domain)
	return len(orders) > 0 && orders[len(orders)-1].Holder != holder
}
