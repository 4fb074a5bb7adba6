package gateway

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/platform/standin"
)

// restart registers an engine that leaves as a new incarnation at a new address.
func (d *deployment) restart(e *standin.Engine) {
	e.Restart()
	d.store.Set("servers", e.ID, e.Registration(serve(e), "a", "ready"))
}

var _ = Describe("An upstream that reports in a response that it leaves", func() {
	// The registration of an engine said ready for seconds after its responses had
	// reported that it leaves, and the gateway sent it requests until it had gone.
	It("gets no further request, whatever its registration says, until it has restarted", func() {
		d := newDeployment(0, 0)
		address := serve(d.desk)
		d.store.Set("servers", d.desk.ID, d.desk.Registration(address, "a", "ready"))
		gw := d.start("entry-1", nil)
		d.desk.SetLeaving(true)
		a, err := call("POST", gw.address, "/kits/4", northKey, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Status).To(Equal(http.StatusOK))
		Expect(a.Header.Get("Server-Leaving")).To(Equal("1"), "the header is passed on unchanged")
		rejected := func() int { return status("POST", gw.address, "/kits/4", northKey, nil) }
		Expect(rejected()).To(Equal(http.StatusServiceUnavailable))

		renewed := d.desk.Registration(address, "a", "ready").(map[string]any)
		renewed["ColdLeftMs"] = 5
		d.store.Set("servers", d.desk.ID, renewed)
		Consistently(rejected, "700ms").Should(Equal(http.StatusServiceUnavailable), "after a renewed registration")
		d.store.Remove("servers", d.desk.ID)
		Consistently(rejected, "700ms").Should(Equal(http.StatusServiceUnavailable), "after the removal of the registration")
		d.store.Set("servers", d.desk.ID, renewed)
		Consistently(rejected, "700ms").Should(Equal(http.StatusServiceUnavailable), "after the registration was back")
		Expect(d.desk.Runs()).To(HaveLen(1))

		d.restart(d.desk)
		Eventually(rejected).WithTimeout(3 * time.Second).Should(Equal(http.StatusOK))
	})

	It("gets no further request while the store is not reached", func() {
		d := newDeployment(0, 0)
		proxy := &breakableProxy{target: d.store}
		gw := d.start("entry-1", func(s *Settings) { s.Store = serve(proxy) })
		proxy.down.Store(true)
		Expect(status("POST", gw.address, "/kits/4", northKey, nil)).To(Equal(http.StatusOK))
		d.desk.SetLeaving(true)
		Expect(status("POST", gw.address, "/kits/4", northKey, nil)).To(Equal(http.StatusOK))
		Consistently(func() int { return status("POST", gw.address, "/kits/4", northKey, nil) }, "1s").Should(Equal(http.StatusServiceUnavailable))
		proxy.down.Store(false)
		Consistently(func() int { return status("POST", gw.address, "/kits/4", northKey, nil) }, "2s").Should(Equal(http.StatusServiceUnavailable))
		Expect(d.desk.Runs()).To(HaveLen(2))
	})

	It("gets no further request after it has refused one", func() {
		d := newDeployment(0, 0)
		gw := d.start("entry-1", nil)
		d.desk.SetLeaving(true)
		d.desk.SetFault(func(string) standin.Fault { return standin.Unavailable })
		Expect(status("POST", gw.address, "/kits/4", northKey, nil)).To(Equal(http.StatusServiceUnavailable))
		d.desk.SetFault(nil)
		Consistently(func() int { return status("POST", gw.address, "/kits/4", northKey, nil) }, "500ms").Should(Equal(http.StatusServiceUnavailable))
		Expect(d.desk.Runs()).To(BeEmpty())
	})

	It("gets no further stream and no items, and its streams end at it", func() {
		d := newDeployment(2, 12)
		holder := d.start("entry-0", nil) // requests reports, in which engines also say that they leave
		Eventually(func() error { _, err := holder.holder(); return err }).WithTimeout(5 * time.Second).Should(Succeed())
		gw := d.start("entry-1", nil)
		leaving, other := d.engines[0], d.engines[1]
		leaving.SetLeaving(true)
		stream := func() int { return status("POST", gw.address, "/chat/1", northKey, nil, "X-Pomelocross-Model", model) }
		for len(leaving.Runs()) == 0 {
			Expect(stream()).To(Equal(http.StatusOK))
		}
		Expect(leaving.Runs()[0].Ended).To(BeTrue())
		for range 12 {
			Expect(stream()).To(Equal(http.StatusOK))
		}
		Expect(submit(gw.address, "l1", batchBody(8, 1))).To(Equal(http.StatusAccepted))
		expectComplete(results(gw.address, "l1", 8), 8, 12)
		Expect(leaving.Runs()).To(HaveLen(1))
		Expect(len(other.Runs())).To(BeNumerically(">=", 20))
	})

	It("gets no order to load weights", func() {
		d := newDeployment(1, 5)
		d.engines[0].SetLeaving(true)
		gw := d.start("entry-1", nil)
		d.store.Set("versions", model, map[string]any{"Model": model, "Version": 2})
		Eventually(func() bool { e, _ := gw.roster.Entry(d.engines[0].ID); return e.Ready }).WithTimeout(6 * time.Second).Should(BeFalse())
		d.store.Set("versions", model, map[string]any{"Model": model, "Version": 3})
		Consistently(d.engines[0].Fences, "1s").Should(BeEmpty())
	})
})

var _ = Describe("An upstream whose registration is missing after an outage of the store", func() {
	// The store failed again when the registration was to be checked, and requests went to
	// the address of the upstream until the instance was restarted.
	It("is removed once the store is back, if it failed during the check", func() {
		d := newDeployment(0, 0)
		proxy := &breakableProxy{target: d.store}
		gw := d.start("entry-1", func(s *Settings) { s.Store = serve(proxy) })
		known := func() bool { _, ok := gw.roster.Entry(d.desk.ID); return ok }
		proxy.down.Store(true)
		Eventually(func() bool { _, may := gw.outage.registrationsMayReturn(gw.clock.Now()); return may }).WithTimeout(3 * time.Second).Should(BeTrue())
		d.store.Remove("servers", d.desk.ID)
		proxy.down.Store(false)
		Consistently(known, "1500ms").Should(BeTrue(), "it may be registered again")
		proxy.down.Store(true)
		time.Sleep(registrationGrace)
		proxy.down.Store(false)
		Eventually(known).WithTimeout(4 * time.Second).Should(BeFalse())
	})
})
