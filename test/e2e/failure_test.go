package e2e

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/internal/standin/engine"
)

var _ = Describe("A deployment with a single failure", func() {
	var (
		d    *deployment
		a, b *daemon
	)

	BeforeEach(func() {
		d = newDeployment("botiquin")
		d.addEngine("lm-1", "lm-pool", "mty-a", engine.Options{TokenTime: time.Millisecond})
		d.addEngine("lm-2", "lm-pool", "mty-a", engine.Options{TokenTime: time.Millisecond})
		a = d.startDaemon("entry-a", "mty-a")
		b = d.startDaemon("entry-b", "mty-a")
		Eventually(func() int { return a.complete(demoKey("fabricas"), "warm", 1, false).status }).Should(Equal(200))
		Eventually(func() int { return b.complete(demoKey("fabricas"), "warm", 1, false).status }).Should(Equal(200))
	})

	It("continues to serve when the platform does not respond", func() {
		a.platformRelay.setBlackholed(true)
		Consistently(func() int { return a.complete(demoKey("fabricas"), "x", 2, false).status }, time.Second).Should(Equal(200))
	})

	It("moves the role of a suspended holder to another instance", func() {
		first := waitForHolder(d, "upstreams-mty-a")
		first.suspend()
		other := a
		if first == a {
			other = b
		}
		Eventually(func() []string { s, _ := other.status(); return s.Roles }).Should(ContainElement("upstreams-mty-a"))
		first.resume()
		Eventually(func() []string { s, _ := first.status(); return s.Roles }).ShouldNot(ContainElement("upstreams-mty-a"))
	})

	It("sends no new requests to an upstream removed from the instance list", func() {
		d.removeMember("lm-1")
		Eventually(func() bool {
			before := len(d.engines["lm-1"].Record().Requests)
			for range 20 {
				Expect(a.complete(demoKey("fabricas"), "x", 1, false).status).To(Equal(200))
			}
			return len(d.engines["lm-1"].Record().Requests) == before
		}).Should(BeTrue())
	})

	It("ends a running stream when its key is withdrawn", func() {
		done := make(chan response, 1)
		go func() {
			defer GinkgoRecover()
			done <- a.complete(demoKey("escuelas"), "long", 100000, true)
		}()
		Eventually(func() int { return len(d.engines["lm-1"].Record().Requests) + len(d.engines["lm-2"].Record().Requests) }).Should(BeNumerically(">", 2))
		changed := *d.bundle
		changed.Keys = slices.DeleteFunc(slices.Clone(changed.Keys), func(k contract.Key) bool { return k.ID == "escuelas" })
		d.apply(&changed)
		var got response
		Eventually(done).Should(Receive(&got))
		Expect(got.body).To(ContainSubstring("key_refused"))
		Expect(got.body).NotTo(ContainSubstring("[DONE]"))
		Expect(a.complete(demoKey("escuelas"), "x", 1, false).status).To(Equal(401))
	})
})
