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

// demoConfig holds the names, keys and paths that the demo of a deployment uses.
type demoConfig struct {
	model, engines, services string
	trainerKey, callerKey    string
	lookup, order            string // request paths of the plain service
}

// requestID matches the identifier of a request in a response.
var requestID = regexp.MustCompile(`"id":"[^"]+"`)

// recordRequest sends a request and records it with its response.
func (s *session) recordRequest(c request) {
	got := s.entry.do(c)
	Expect(got.err).NotTo(HaveOccurred())
	body := requestID.ReplaceAllString(strings.TrimSpace(got.body), `"id":"ID"`)
	fmt.Fprintf(&s.transcript, "%s %s %s\n%d %s\n\n", c.method, c.path, c.body, got.status, body)
}

// recordTraining runs two training steps and records their samples.
func (s *session) recordTraining(p demoConfig) {
	t := &trainer.Trainer{Key: demoKey(p.trainerKey), Run: "plans", Addresses: []string{s.entry.listen}}
	ctx := timeoutContext(20 * time.Second)
	Expect(t.Create(ctx, rollout.RunSpec{Run: t.Run, Model: p.model, BatchSamples: 2})).To(Succeed())
	for step := int64(1); step <= 2; step++ {
		Expect(t.Step(ctx, newStep(step, 1, 4))).To(Succeed())
		Expect(t.Collect(ctx, step)).To(Succeed())
	}
	Expect(t.Acknowledge(ctx)).To(Succeed())
	slices.SortFunc(t.Samples, func(a, b rollout.Sample) int { return int(a.Step-b.Step)*8 + a.Number - b.Number })
	for _, sample := range t.Samples {
		fmt.Fprintf(&s.transcript, "sample %d/%d of weights %d: %s\n", sample.Step, sample.Number, sample.Oldest(), strings.TrimSpace(sample.Text))
	}
	s.transcript.WriteString("\n")
}

// recordOrders records the distinct orders that the stand-ins of each domain received.
func (s *session) recordOrders() {
	for _, domain := range s.d.bundle.Domains {
		var lines []string
		for _, o := range s.d.receivedOrders(domain.Name) {
			lines = append(lines, fmt.Sprintln("order", domain.Name, o))
		}
		slices.Sort(lines)
		s.transcript.WriteString(strings.Join(slices.Compact(lines), ""))
	}
	s.transcript.WriteString("\n")
}

// usageSummary returns the usage reported over all windows, by team and service.
func (s *session) usageSummary() string {
	figures := map[string]objects.UsageFigure{}
	for _, team := range s.d.bundle.Teams {
		for _, r := range firstReports(s.d, team.Name) {
			for service, f := range r.Figures {
				sum := figures[team.Name+" "+service]
				sum.Requests += f.Requests
				sum.PromptTokens += f.PromptTokens
				sum.OutputTokens += f.OutputTokens
				figures[team.Name+" "+service] = sum
			}
		}
	}
	var lines []string
	for key, f := range figures {
		lines = append(lines, fmt.Sprintf("usage %s: %d requests, %d prompt tokens, %d output tokens\n", key, f.Requests, f.PromptTokens, f.OutputTokens))
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// spanRecord is a span as written by the daemon.
type spanRecord struct {
	Name                string
	SpanContext, Parent struct{ SpanID string }
	Attributes          []struct {
		Key   string
		Value struct{ Value any }
	}
}

// recordSpans records each distinct span with its route and its ancestors.
func (s *session) recordSpans(files ...string) {
	byID := map[string]spanRecord{}
	for _, file := range files {
		data, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		for line := range strings.Lines(string(data)) {
			var span spanRecord
			Expect(json.Unmarshal([]byte(line), &span)).To(Succeed())
			byID[span.SpanContext.SpanID] = span
		}
	}
	var lines []string
	for _, span := range byID {
		line := "span " + span.label()
		for parent, known := byID[span.Parent.SpanID]; known; parent, known = byID[parent.Parent.SpanID] {
			line += " < " + parent.label()
		}
		lines = append(lines, line+"\n")
	}
	slices.Sort(lines)
	s.transcript.WriteString(strings.Join(slices.Compact(lines), ""))
}

// label returns the name of the span, with its route if it has one.
func (t spanRecord) label() string {
	for _, a := range t.Attributes {
		if a.Key == "route" {
			return fmt.Sprintf("%s(%v)", t.Name, a.Value.Value)
		}
	}
	return t.Name
}

var _ = DescribeTable("The demo of a deployment", func(example string, p demoConfig) {
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
	for _, inst := range daemons {
		Eventually(func() int { return inst.complete(demoKey(p.callerKey), "warm", 1, false).status }).Should(Equal(200))
		Eventually(inst.knownInstances).Should(Equal(2))
		Eventually(func() int {
			return inst.do(request{method: "POST", path: p.order, key: demoKey("desk"), body: "warm", header: map[string]string{"Idempotency-Key": inst.name}}).status
		}).Should(Equal(200))
	}
	s := &session{d: d, entry: daemons[0], folder: folder}
	completion := `{"prompt":"two gauze rolls","max_tokens":4,"stream":%t}`
	for _, c := range []request{
		{method: "POST", path: "/v1/completions", key: demoKey(p.callerKey), body: fmt.Sprintf(completion, false)},
		{method: "POST", path: "/v1/completions", key: demoKey(p.callerKey), body: fmt.Sprintf(completion, true)},
		{method: "GET", path: p.lookup, key: demoKey("desk")},
		{method: "POST", path: p.order, key: demoKey("desk"), body: "six", header: map[string]string{"Idempotency-Key": "one"}},
		{method: "POST", path: p.order, key: demoKey("desk"), body: "six", header: map[string]string{"Idempotency-Key": "one"}},
		{method: "POST", path: p.order, key: "pmx_desk_wrong", body: "seven"},
		{method: "POST", path: "/v1/completions", body: fmt.Sprintf(completion, false)},
		{method: "DELETE", path: p.order, key: demoKey("desk")},
	} {
		s.recordRequest(c)
	}
	s.recordTraining(p)
	for _, domain := range d.bundle.Domains[:2] {
		Eventually(d.receivedOrders).WithArguments(domain.Name).ShouldNot(BeEmpty())
	}
	s.recordOrders()
	totalUsage := func() (sum objects.UsageFigure) {
		for _, team := range d.bundle.Teams {
			sum.OutputTokens += reportedTokens(d, team.Name)
			for _, r := range firstReports(d, team.Name) {
				for _, f := range r.Figures {
					sum.Requests += f.Requests
				}
			}
		}
		return sum
	}
	// 2 warm-up completions and 2 of the demo, 8 samples, and 4 plain requests; the
	// repetition of an Idempotency-Key is not run and not counted.
	Eventually(totalUsage).Should(Equal(objects.UsageFigure{Requests: 2 + 2 + 8 + 4, OutputTokens: 2*1 + 2*4 + 8*8}))
	fmt.Fprintf(&s.transcript, "%s\n", s.usageSummary())
	for _, inst := range daemons {
		inst.terminate()
		Eventually(inst.exited).Should(BeClosed())
	}
	s.recordSpans(traces...)
	s.matchGolden("session_" + example)
},
	Entry("botiquin", "botiquin", demoConfig{model: "restock", engines: "lm-pool", services: "refill-check", trainerKey: "restockplans", callerKey: "fabricas", lookup: "/kits/7", order: "/orders"}),
	Entry("cerniere", "cerniere", demoConfig{model: "matcher", engines: "matcher-llm", services: "order-desk", trainerKey: "matcher", callerKey: "fabbri", lookup: "/parts/7", order: "/holds"}),
)
