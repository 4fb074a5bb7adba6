package gateway

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A failure domain that is evacuated", func() {
	withBound := func(s *Settings) { s.EvacuationBound = 2 * time.Second }
	request := func(gw *testInstance) func() int {
		return func() int { return status("POST", gw.address, "/kits/4", northKey, nil) }
	}

	// Upstreams of an evacuated failure domain got requests for as long as it was evacuated.
	It("gets no request within the bound, until the evacuation is removed", func() {
		d := newDeployment(0, 0)
		gw := d.start("entry-1", withBound)
		Expect(request(gw)()).To(Equal(http.StatusOK))
		d.store.Set("evacuations", "a", map[string]any{})
		Eventually(request(gw)).WithTimeout(2 * time.Second).Should(Equal(http.StatusServiceUnavailable))
		runs := len(d.desk.Runs())
		Consistently(request(gw), "500ms").Should(Equal(http.StatusServiceUnavailable))
		Expect(d.desk.Runs()).To(HaveLen(runs))

		d.store.Remove("evacuations", "a")
		Eventually(request(gw)).WithTimeout(2 * time.Second).Should(Equal(http.StatusOK))
	})

	// An instance that starts during an evacuation was ready before it knew of it.
	It("gets no request from an instance that starts meanwhile", func() {
		d := newDeployment(0, 0)
		d.store.Set("evacuations", "a", map[string]any{})
		gw := d.start("entry-1", withBound)
		Expect(request(gw)()).To(Equal(http.StatusServiceUnavailable))
		Expect(d.desk.Runs()).To(BeEmpty())
	})

	// Items of a batch were sent to an evacuated failure domain.
	It("gets no items", func() {
		d := newDeployment(2, 5)
		evacuated, other := d.engines[0], d.engines[1]
		d.store.Set("servers", other.ID, other.Registration(serve(other), "b", "ready"))
		d.store.Set("evacuations", "a", map[string]any{})
		gw := d.start("entry-1", withBound)
		Expect(submit(gw.address, "l1", batchBody(8, 1))).To(Equal(http.StatusAccepted))
		expectComplete(results(gw.address, "l1", 8), 8, 5)
		Expect(evacuated.Runs()).To(BeEmpty())
	})
})
