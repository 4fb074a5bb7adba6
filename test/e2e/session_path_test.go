package e2e

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/standin/engine"
	"github.com/pomelocross/pomelocross/internal/standin/trainer"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/rollout"
)

// demoPath is what the demo of a deployment asks for.
type demoPath struct {
	model, engines, services string
	trainerKey, callerKey    string
	lookup, order            string // paths of the plain service
}

// requestID is a request's identifier in an answer.
var requestID = regexp.MustCompile(`"id":"[^"]+"`)

// ask notes a call and its answer.
func (s *session) ask(c call) {
	got := s.entry.do(c)
	Expect(got.err).NotTo(HaveOccurred())
	body := requestID.ReplaceAllString(strings.TrimSpace(got.body), `"id":"ID"`)
	fmt.Fprintf(&s.text, "%s %s %s\n%d %s\n\n", c.method, c.path, c.body, got.status, body)
}

// train notes the samples of two steps.
func (s *session) train(p demoPath) {
	t := &trainer.Trainer{Key: demoKey(p.trainerKey), Run: "plans", Addresses: []string{s.entry.listen}}
	ctx := within(20 * time.Second)
	Expect(t.Create(ctx, rollout.RunSpec{Run: t.Run, Model: p.model, BatchSamples: 2})).To(Succeed())
	for step := int64(1); step <= 2; step++ {
		Expect(t.Step(ctx, stepOf(step, 1, 4))).To(Succeed())
		Expect(t.Collect(ctx, step)).To(Succeed())
	}
	Expect(t.Acknowledge(ctx)).To(Succeed())
	slices.SortFunc(t.Samples, func(a, b rollout.Sample) int { return int(a.Step-b.Step)*8 + a.Number - b.Number })
	for _, sample := range t.Samples {
		fmt.Fprintf(&s.text, "sample %d/%d of weights %d: %s\n", sample.Step, sample.Number, sample.Oldest(), strings.TrimSpace(sample.Text))
	}
	s.text.WriteString("\n")
}

// orders notes each order that a domain's stand-ins received, repeats left out.
func (s *session) orders() {
	for _, domain := range s.d.bundle.Domains {
		var lines []string
		for _, o := range s.d.journal(domain.Name) {
			lines = append(lines, fmt.Sprintln("order", domain.Name, o))
		}
		slices.Sort(lines)
		s.text.WriteString(strings.Join(slices.Compact(lines), ""))
	}
	s.text.WriteString("\n")
}

// used sums what was reported over all windows, by team and service.
func (s *session) used() string {
	sums := map[string]objects.UsageFigure{}
	for _, team := range s.d.bundle.Teams {
		for _, r := range windowsOf(s.d, team.Name) {
			for service, f := range r.Figures {
				sum := sums[team.Name+" "+service]
				sum.Requests += f.Requests
				sum.PromptTokens += f.PromptTokens
				sum.OutputTokens += f.OutputTokens
				sums[team.Name+" "+service] = sum
			}
		}
	}
	var lines []string
	for who, f := range sums {
		lines = append(lines, fmt.Sprintf("usage %s: %d requests, %d prompt tokens, %d output tokens\n", who, f.Requests, f.PromptTokens, f.OutputTokens))
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// traced is a span as the daemon writes it.
type traced struct {
	Name                string
	SpanContext, Parent struct{ SpanID string }
	Attributes          []struct {
		Key   string
		Value struct{ Value any }
	}
}

// spans notes each kind of span with its route and its parents.
func (s *session) spans(files ...string) {
	byID := map[string]traced{}
	for _, file := range files {
		data, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		for line := range strings.Lines(string(data)) {
			var span traced
			Expect(json.Unmarshal([]byte(line), &span)).To(Succeed())
			byID[span.SpanContext.SpanID] = span
		}
	}
	var lines []string
	for _, span := range byID {
		line := "span " + span.title()
		for parent, known := byID[span.Parent.SpanID]; known; parent, known = byID[parent.Parent.SpanID] {
			line += " < " + parent.title()
		}
		lines = append(lines, line+"\n")
	}
	slices.Sort(lines)
	s.text.WriteString(strings.Join(slices.Compact(lines), ""))
}

func (t traced) title() string {
	for _, a := range t.Attributes {
		if a.Key == "route" {
			return fmt.Sprintf("%s(%v)", t.Name, a.Value.Value)
		}
	}
	return t.Name
}

var _ = DescribeTable("The session of a deployment's demo", func(example string, p demoPath) {
	d := newDeployment(example)
	folder := GinkgoT().TempDir()
	var traces []string
	var daemons []*daemon
	for n, domain := range d.bundle.Domains[:2] {
		d.addEngine(fmt.Sprint("engine-", n), p.engines, domain.Name, engine.Options{TokenTime: time.Millisecond, Fences: true})
		d.addService(fmt.Sprint("service-", n), p.services, domain.Name)
		traces = append(traces, filepath.Join(folder, domain.Name))
		daemons = append(daemons, d.startDaemon("entry-"+domain.Name, domain.Name, "--trace-file", traces[n],
			"--usage-window", "1s", "--usage-grace", "300ms", "--drain-grace", "0s"))
	}
	for _, one := range daemons {
		Eventually(func() int { return one.complete(demoKey(p.callerKey), "warm", 1, false).status }).Should(Equal(200))
		Eventually(one.entries).Should(Equal(2))
		Eventually(func() int {
			return one.do(call{method: "POST", path: p.order, key: demoKey("desk"), body: "warm", header: map[string]string{"Idempotency-Key": one.name}}).status
		}).Should(Equal(200))
	}
	s := &session{d: d, entry: daemons[0], folder: folder}
	completion := `{"prompt":"two gauze rolls","max_tokens":4,"stream":%t}`
	for _, c := range []call{
		{method: "POST", path: "/v1/completions", key: demoKey(p.callerKey), body: fmt.Sprintf(completion, false)},
		{method: "POST", path: "/v1/completions", key: demoKey(p.callerKey), body: fmt.Sprintf(completion, true)},
		{method: "GET", path: p.lookup, key: demoKey("desk")},
		{method: "POST", path: p.order, key: demoKey("desk"), body: "six", header: map[string]string{"Idempotency-Key": "one"}},
		{method: "POST", path: p.order, key: demoKey("desk"), body: "six", header: map[string]string{"Idempotency-Key": "one"}},
		{method: "POST", path: p.order, key: "pmx_desk_wrong", body: "seven"},
		{method: "POST", path: "/v1/completions", body: fmt.Sprintf(completion, false)},
		{method: "DELETE", path: p.order, key: demoKey("desk")},
	} {
		s.ask(c)
	}
	s.train(p)
	for _, domain := range d.bundle.Domains[:2] {
		Eventually(d.journal).WithArguments(domain.Name).ShouldNot(BeEmpty())
	}
	s.orders()
	all := func() (sum objects.UsageFigure) {
		for _, team := range d.bundle.Teams {
			sum.OutputTokens += reportedTokens(d, team.Name)
			for _, r := range windowsOf(d, team.Name) {
				for _, f := range r.Figures {
					sum.Requests += f.Requests
				}
			}
		}
		return sum
	}
	// two first and two more completions, eight samples, and four plain
	// requests: the second with the same Idempotency-Key is not run.
	Eventually(all).Should(Equal(objects.UsageFigure{Requests: 2 + 2 + 8 + 4, OutputTokens: 2*1 + 2*4 + 8*8}))
	fmt.Fprintf(&s.text, "%s\n", s.used())
	for _, one := range daemons {
		one.terminate()
		Eventually(one.exited).Should(BeClosed())
	}
	s.spans(traces...)
	s.matchGolden("session_" + example)
},
	Entry("botiquin", "botiquin", demoPath{model: "restock", engines: "lm-pool", services: "refill-check", trainerKey: "restockplans", callerKey: "fabricas", lookup: "/kits/7", order: "/orders"}),
	Entry("cerniere", "cerniere", demoPath{model: "matcher", engines: "matcher-llm", services: "order-desk", trainerKey: "matcher", callerKey: "fabbri", lookup: "/parts/7", order: "/holds"}),
)
