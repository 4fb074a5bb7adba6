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
	pairTokens    = 10 // of each caller's answer
	pairStaleness = 1  // weight versions
	pairGroups    = 2
	pairSamples   = 3 // of each group
)

// asked is what a caller sent and every answer it was given to that.
type asked struct {
	prompt string // of a completion, else the body of an order
	stream bool
	tries  []answer
}

// pairWork is a trainer and callers at work while failures happen, and what
// they got.
type pairWork struct {
	d    *deployment
	all  []*daemon
	over atomic.Bool // no new work but the trainer's last steps
	busy sync.WaitGroup

	trainer  *trainer.Trainer
	steps    int64
	mu       sync.Mutex // guards all below
	asked    []asked
	revision []string // falls seen
}

// begin starts a trainer, callers of completions and orders, and a reader of
// each instance's revision.
func (w *pairWork) begin() {
	for _, one := range w.all {
		Eventually(func() int { return one.complete(demoKey("centros"), "warm", 1, false).status }).Should(Equal(200))
		Eventually(func() int { return placeAt(one, "warm "+one.name).status }).Should(Equal(200))
		w.goOn(func() { w.watchRevision(one) })
	}
	w.trainer = &trainer.Trainer{Key: demoKey("restockplans"), Run: "plans"}
	for _, one := range w.all {
		w.trainer.Addresses = append(w.trainer.Addresses, one.listen)
	}
	w.goOn(w.train)
	for n := range 3 {
		w.goOn(func() { w.call(fmt.Sprint("stream ", n), w.stream) })
		w.goOn(func() { w.call(fmt.Sprint("order ", n), w.order) })
	}
	for _, domain := range []string{"mty-a", "mty-b"} {
		Eventually(w.d.journal).WithArguments(domain).ShouldNot(BeEmpty())
	}
}

func (w *pairWork) goOn(work func()) {
	w.busy.Go(func() {
		defer GinkgoRecover()
		work()
	})
}

// train asks for steps until work is over, and for two more.
func (w *pairWork) train() {
	ctx := within(time.Minute)
	t := w.trainer
	insist := func(what func(context.Context) error) {
		Eventually(what).WithContext(ctx).WithTimeout(time.Minute).WithPolling(50 * time.Millisecond).Should(Succeed())
	}
	insist(func(ctx context.Context) error {
		return t.Create(ctx, rollout.RunSpec{Run: t.Run, Model: "restock", MaxStaleness: pairStaleness, BatchSamples: 4})
	})
	for extra := 2; extra > 0; w.steps++ {
		if w.over.Load() {
			extra--
		}
		step := w.steps + 1
		insist(func(ctx context.Context) error { return t.Step(ctx, stepOf(step, pairGroups, pairSamples)) })
		Expect(t.Collect(ctx, step)).To(Succeed())
	}
	insist(t.Acknowledge)
}

// call sends requests, each through the next instance, until work is over.
func (w *pairWork) call(name string, send func(prompt string, first int) asked) {
	for n := 0; !w.over.Load(); n++ {
		one := send(fmt.Sprint(name, " ", n), n)
		w.mu.Lock()
		w.asked = append(w.asked, one)
		w.mu.Unlock()
	}
}

func (w *pairWork) stream(prompt string, n int) asked {
	return asked{prompt: prompt, stream: true, tries: []answer{w.all[n%len(w.all)].complete(demoKey("fabricas"), prompt, pairTokens, true)}}
}

// order is tried with the same Idempotency-Key through three instances, also
// after an answer.
func (w *pairWork) order(body string, n int) asked {
	a := asked{prompt: body}
	for try := range 3 {
		a.tries = append(a.tries, placeAt(w.all[(n+try)%len(w.all)], body))
	}
	return a
}

// placeAt sends an order whose Idempotency-Key is its body.
func placeAt(one *daemon, body string) answer {
	return one.do(call{method: "POST", path: "/orders", key: demoKey("desk"), body: body, header: map[string]string{"Idempotency-Key": body}})
}

func (w *pairWork) watchRevision(one *daemon) {
	highest := contract.Revision(0)
	for !w.over.Load() {
		select {
		case <-one.exited:
			return
		case <-time.After(50 * time.Millisecond):
		}
		s, err := one.status()
		if err != nil {
			continue
		}
		if s.Revision < highest {
			w.mu.Lock()
			w.revision = append(w.revision, fmt.Sprint(one.name, " from ", highest, " to ", s.Revision))
			w.mu.Unlock()
		}
		highest = max(highest, s.Revision)
	}
}

// check ends the work and checks all that must hold at any moment.
func (w *pairWork) check() {
	GinkgoHelper()
	w.over.Store(true)
	ended := make(chan struct{})
	go func() { w.busy.Wait(); close(ended) }()
	Eventually(ended, time.Minute).Should(BeClosed())
	Expect(w.revision).To(BeEmpty())
	AddReportEntry("work", fmt.Sprint(w.steps, " steps, ", len(w.asked), " requests, ", len(w.d.journal("mty-a")), " orders in mty-a, ", len(w.d.platform.Record().Scale), " of scaling"))
	w.checkSamples()
	w.checkAnswers()
	w.checkOrders()
	w.checkUsage()
}

// checkSamples: each once, fresh, and the text of its own prompt and seed.
func (w *pairWork) checkSamples() {
	GinkgoHelper()
	Expect(w.trainer.Duplicated()).To(BeEmpty())
	Expect(w.trainer.Samples).To(HaveLen(int(w.steps) * pairGroups * pairSamples))
	for _, s := range w.trainer.Samples {
		Expect(s.Ranges).NotTo(BeEmpty())
		Expect(s.Oldest()).To(BeNumerically(">=", s.Step-pairStaleness))
		Expect(s.Text).To(Equal(engine.Text("plan", s.Step*100+int64(s.Index), 8)))
	}
}

// checkAnswers: whole answers are the caller's own, "not run" is true, and a
// request with an effect ran at most once.
func (w *pairWork) checkAnswers() {
	GinkgoHelper()
	ran := map[string]int{}
	var seen []any
	for _, e := range w.d.engines {
		for _, r := range e.Record().Requests {
			ran[r.Prompt]++
		}
		seen = append(seen, e.Record())
	}
	for _, s := range w.d.services {
		for _, r := range s.Record() {
			ran[r.Body]++
		}
		seen = append(seen, s.Record())
	}
	received, err := json.Marshal(seen)
	Expect(err).NotTo(HaveOccurred())
	Expect(strings.Contains(string(received), "pmx_")).To(BeFalse(), "an upstream saw a key")
	whole := map[bool]int{} // by whether streamed
	for _, a := range w.asked {
		notRun := 0
		for _, got := range a.tries {
			if strings.Contains(got.body, `"notRun":true`) {
				notRun++
			}
			if got.status == 200 && got.err == nil {
				whole[a.stream]++
				a.checkOwn(got)
			}
		}
		Expect(notRun == len(a.tries) && ran[a.prompt] > 0).To(BeFalse(), "%q ran: %v", a.prompt, a.tries)
		Expect(!a.stream && ran[a.prompt] > 1).To(BeFalse(), "%q ran %d times", a.prompt, ran[a.prompt])
	}
	AddReportEntry("answered", fmt.Sprint(whole[true], " streams, ", whole[false], " orders"))
	Expect(min(whole[true], whole[false])).To(BeNumerically(">", 10))
}

func (a asked) checkOwn(got answer) {
	GinkgoHelper()
	if !a.stream {
		var told service.Answer
		Expect(json.Unmarshal([]byte(got.body), &told)).To(Succeed(), got.body)
		Expect(told.Body).To(Equal(a.prompt))
		return
	}
	own := engine.Text(a.prompt, 0, pairTokens)
	if a.whole(got) {
		Expect(streamedText(got.body)).To(Equal(own))
		return
	}
	Expect(own).To(HavePrefix(streamedText(got.body)))
	Expect(got.body).To(ContainSubstring(`"error"`))
}

func (a asked) whole(got answer) bool {
	return a.stream && got.err == nil && strings.HasSuffix(got.body, "data: [DONE]\n\n")
}

// checkOrders: no two holders' orders overlap in any domain.
func (w *pairWork) checkOrders() {
	GinkgoHelper()
	for _, domain := range w.d.bundle.Domains {
		orders := w.d.journal(domain.Name)
		Expect(journal.EpochViolations(orders)).To(BeEmpty(), "in %v", orders)
	}
}

// checkUsage: one figure a window and rising epochs; what is billed lies
// between the whole answers and all that was generated.
func (w *pairWork) checkUsage() {
	GinkgoHelper()
	var whole, generated int64
	for _, a := range w.asked {
		if a.stream && a.whole(a.tries[0]) {
			whole += pairTokens
		}
		if a.stream {
			generated += generatedTokens(w.d, a.prompt)
		}
	}
	Eventually(reportedTokens).WithArguments(w.d, "fabricas").Should(BeNumerically(">=", whole))
	Consistently(reportedTokens).WithArguments(w.d, "fabricas").WithTimeout(2 * time.Second).Should(BeNumerically("<=", generated))
	expectOneFigureEach(w.d)
	expectRisingEpochs(w.d)
}

// orderedByOther returns whether the last order received for a domain is of
// another holder than one.
func (d *deployment) orderedByOther(domain, one string) bool {
	orders := d.journal(domain)
	return len(orders) > 0 && orders[len(orders)-1].Holder != one
}
