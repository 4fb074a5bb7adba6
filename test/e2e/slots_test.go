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

// running returns what an upstream says it works on.
func (d *deployment) running(name string) int {
	var load upstream.Load
	for _, m := range d.members {
		if m.Name != name {
			continue
		}
		answer, err := http.Get("http://" + m.Address + "/v1/load")
		Expect(err).NotTo(HaveOccurred())
		defer answer.Body.Close()
		Expect(json.NewDecoder(answer.Body).Decode(&load)).To(Succeed())
	}
	return load.Running
}

var _ = Describe("Shared slots", func() {
	// lm-pool declares 16 slots an engine.
	const declared = 16

	flood := func(one *daemon, requests int) {
		for range requests {
			go func() {
				defer GinkgoRecover()
				one.complete(demoKey("restockplans"), "long", 100000, true)
			}()
		}
	}

	It("moves shares to the instance with demand and never gives out more than there are", func() {
		d := newDeployment("botiquin")
		d.addEngine("lm-1", "lm-pool", "mty-a", engine.Options{TokenTime: 5 * time.Millisecond})
		a := d.startDaemon("entry-a", "mty-a")
		b := d.startDaemon("entry-b", "mty-a")
		for _, one := range []*daemon{a, b} {
			Eventually(func() int { return one.complete(demoKey("fabricas"), "warm", 1, false).status }).Should(Equal(200))
		}
		flood(b, 40)
		Eventually(func() int { return d.running("lm-1") }).Should(BeNumerically(">", declared/2))
		flood(a, 40)
		Consistently(func() int { return d.running("lm-1") }, 3*time.Second).Should(BeNumerically("<=", declared))
	})

	It("borrows from another domain when its own has no upstream", func() {
		d := newDeployment("botiquin")
		d.addEngine("lm-b", "lm-pool", "mty-b", engine.Options{TokenTime: time.Millisecond})
		a := d.startDaemon("entry-a", "mty-a")
		d.startDaemon("entry-b", "mty-b")
		Eventually(func() int { return a.complete(demoKey("fabricas"), "lent", 2, false).status }).Should(Equal(200))
		Expect(d.engines["lm-b"].Record().Requests).NotTo(BeEmpty())
	})
})
