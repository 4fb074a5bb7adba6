package e2e

import (
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/standin/engine"
)

var _ = Describe("Token rates", func() {
	It("limit a team across all instances, and requests over the limit do not run", func() {
		d := newDeployment("botiquin")
		bundle := *d.bundle
		bundle.Domains = bundle.Domains[:1]
		bundle.CostLimits = nil
		for n := range bundle.Teams {
			if bundle.Teams[n].Name == "centros" {
				bundle.Teams[n].TokensPerMinute = 600
			}
		}
		d.apply(&bundle)
		d.addEngine("lm-1", "lm-pool", "mty-a", engine.Options{TokenTime: time.Millisecond})
		a, b := d.startDaemon("entry-a", "mty-a"), d.startDaemon("entry-b", "mty-a")
		for _, inst := range []*daemon{a, b} {
			Eventually(func() int { return inst.complete(demoKey("fabricas"), "warm", 1, false).status }).Should(Equal(200))
		}
		var refused response
		for n := 0; refused.status != 429 && n < 200; n++ {
			refused = []*daemon{a, b}[n%2].complete(demoKey("centros"), "metered", 10, false)
		}
		Expect(refused.status).To(Equal(429))
		Expect(refused.body).To(ContainSubstring("token_rate"))
		seconds, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(seconds).To(BeNumerically(">=", 1))
		tokens := 0
		for _, r := range d.engines["lm-1"].Record().Requests {
			if r.Prompt == "metered" {
				tokens += r.Tokens
			}
		}
		// The burst is ten seconds of the rate; each instance may exceed it by one request.
		Expect(tokens).To(BeNumerically("<=", 600/6+2*11+20))
		Expect(a.complete(demoKey("fabricas"), "other", 10, false).status).To(Equal(200))
	})
})
