package e2e

import (
	"encoding/json"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/standin/engine"
	"github.com/pomelocross/pomelocross/internal/standin/trainer"
	"github.com/pomelocross/pomelocross/rollout"
)

var _ = Describe("The complete request path", func() {
	var (
		d       *deployment
		a, b, c *daemon
	)

	BeforeEach(func() {
		d = newDeployment("botiquin")
		options := engine.Options{TokenTime: time.Millisecond, LoadTime: 50 * time.Millisecond, Fences: true}
		d.addEngine("lm-a", "lm-pool", "mty-a", options)
		d.addEngine("lm-b", "lm-pool", "mty-b", options)
		d.addService("refill-a", "refill-check", "mty-a")
		d.addService("refill-b", "refill-check", "mty-b")
		a = d.startDaemon("entry-a", "mty-a", "--usage-window", "2s", "--usage-grace", "500ms")
		b = d.startDaemon("entry-b", "mty-b", "--usage-window", "2s", "--usage-grace", "500ms")
		c = d.startDaemon("entry-c", "mty-a", "--usage-window", "2s", "--usage-grace", "500ms")
	})

	// A request without a key ran on an open route by its decoded path, which the service got, and
	// escapes were lost: "%3F" began a query.
	It("reads a path in one way for the route, the key and the service", func() {
		get := func(path, key string) response { return c.do(request{method: "GET", path: path, key: key}) }
		Expect(get("/catalogue%2F..%2Fkits%2F7", "").status).To(Equal(404))
		Expect(get("/kits%2F7", demoKey("desk")).status).To(Equal(404))
		open := get("/catalogue/a%3Fb%23c%2Fd", "")
		Expect(open.status).To(Equal(200))
		Expect(open.body).To(ContainSubstring("/catalogue/a?b#c/d"))
		Expect(get("/%63atalogue/x/../y", "").status).To(Equal(200))
		Expect(get("/catalogue/"+strings.Replace(demoKey("desk"), "p", "%70", 1), "").status).To(Equal(400))
	})

	It("streams a completion, answers a plain request and delivers each sample to a trainer once", func() {
		var got response
		Eventually(func() int {
			got = a.complete(demoKey("fabricas"), "two gauze rolls", 8, true)
			return got.status
		}).Should(Equal(200))
		Expect(got.body).To(HaveSuffix("data: [DONE]\n\n"))
		Expect(streamedText(got.body)).To(Equal(engine.Text("two gauze rolls", 0, 8)))

		plain := c.do(request{method: "GET", path: "/kits/7", key: demoKey("desk")})
		Expect(plain.status).To(Equal(200))
		Expect(plain.body).To(ContainSubstring("/kits/7"))

		t := &trainer.Trainer{Addresses: []string{a.listen, b.listen, c.listen}, Key: demoKey("restockplans"), Run: "plans"}
		ctx := timeoutContext(20 * time.Second)
		Expect(t.Create(ctx, rollout.RunSpec{Run: "plans", Model: "restock", MaxStaleness: 1, BatchSamples: 4})).To(Succeed())
		for step := int64(1); step <= 3; step++ {
			Expect(t.Step(ctx, newStep(step, 3, 4))).To(Succeed())
			Expect(t.Collect(ctx, step)).To(Succeed())
		}
		Expect(t.Acknowledge(ctx)).To(Succeed())
		Expect(t.Samples).To(HaveLen(36))
		Expect(t.Duplicated()).To(BeEmpty())
		for _, s := range t.Samples {
			Expect(s.Oldest()).To(BeNumerically(">=", s.Step-1))
		}
		Eventually(func() int64 { return reportedTokens(d, "fabricas") }).Should(Equal(int64(8)))
	})

	It("refuses a request without a key and sends no caller's key upstream", func() {
		Expect(a.complete("", "x", 4, false).status).To(Equal(401))
		Eventually(func() int { return a.complete(demoKey("fabricas"), "x", 4, false).status }).Should(Equal(200))
		record, err := json.Marshal(d.engines["lm-a"].Record())
		Expect(err).NotTo(HaveOccurred())
		Expect(string(record)).NotTo(ContainSubstring("pmx_"))
	})

	It("stops a daemon gracefully", func() {
		a.terminate()
		Eventually(a.exited).Should(BeClosed())
		Expect(a.exit).NotTo(HaveOccurred())
	})
})

// streamedText returns the concatenated text of a streamed completion.
func streamedText(body string) string {
	var text strings.Builder
	for line := range strings.Lines(body) {
		data, found := strings.CutPrefix(line, "data: ")
		var chunk struct{ Choices []struct{ Text string } }
		if !found || json.Unmarshal([]byte(data), &chunk) != nil {
			continue
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Text)
		}
	}
	return text.String()
}

// newStep returns a step with a number of groups and of samples per group. A sample has
// at most 8 tokens.
func newStep(step int64, groups, samples int) rollout.StepSpec {
	spec := rollout.StepSpec{Step: step, WeightVersion: step}
	for g := range groups {
		spec.Groups = append(spec.Groups, rollout.Group{ID: string(rune('a' + g)), Prompt: "plan", Samples: samples, MaxTokens: 8, Seed: step * 100})
	}
	return spec
}
