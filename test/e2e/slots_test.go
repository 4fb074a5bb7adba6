package e2e

import (
	"encoding/json"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/standin/engine"
	"github.com/pomelocross/pomelocross/upstream"
)

// runningRequests returns the number of running requests that an upstream reports.
func (d *deployment) runningRequests(name string) int {
	var load upstream.Load
	for _, m := range d.members {
		if m.Name != name {
			continue
		}
		resp, err := http.Get("http://" + m.Address + "/v1/load")
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(json.NewDecoder(resp.Body).Decode(&load)).To(Succeed())
	}
	return load.Running
}

var _ = Describe("Shared slots", func() {
	// declaredSlots is the number of slots per engine that lm-pool declares.
	const declaredSlots = 16

	// startStreams starts concurrent streams without waiting for them.
	startStreams := func(inst *daemon, requests int) {
		for range requests {
			go func() {
				defer GinkgoRecover()
				inst.complete(demoKey("restockplans"), "long", 100000, true)
			}()
		}
	}

	It("move to the instance with demand and are never overcommitted", func() {
		d := newDeployment("botiquin")
		d.addEngine("lm-1", "lm-pool", "mty-a", engine.Options{TokenTime: 5 * time.Millisecond})
		a := d.startDaemon("entry-a", "mty-a")
		b := d.startDaemon("entry-b", "mty-a")
		for _, inst := range []*daemon{a, b} {
			Eventually(func() int { return inst.complete(demoKey("fabricas"), "warm", 1, false).status }).Should(Equal(200))
		}
		startStreams(b, 40)
		Eventually(func() int { return d.runningRequests("lm-1") }).Should(BeNumerically(">", declaredSlots/2))
		startStreams(a, 40)
		Consistently(func() int { return d.runningRequests("lm-1") }, 3*time.Second).Should(BeNumerically("<=", declaredSlots))
	})

	It("are borrowed from another domain if the own domain has no upstream", func() {
		d := newDeployment("botiquin")
		d.addEngine("lm-b", "lm-pool", "mty-b", engine.Options{TokenTime: time.Millisecond})
		a := d.startDaemon("entry-a", "mty-a")
		d.startDaemon("entry-b", "mty-b")
		Eventually(func() int { return a.complete(demoKey("fabricas"), "lent", 2, false).status }).Should(Equal(200))
		Expect(d.engines["lm-b"].Record().Requests).NotTo(BeEmpty())
	})
})
