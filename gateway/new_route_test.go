package gateway

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// addRoute writes a version of the configuration with one more route.
func (d *deployment) addRoute(route map[string]any) {
	d.configure(func(c map[string]any) { c["Routes"] = append(c["Routes"].([]map[string]any), route) })
}

var _ = Describe("A batch on a route that its owner does not know yet", func() {
	// The owner listed all items of the accepted batch as dead.
	It("is run whole", func() {
		const items, events = 8, 3
		d := newDeployment(2, events)
		a, b := d.start("entry-1", nil), d.start("entry-2", nil)
		waitForMembership(a, b)
		first, owner := a, b // the batch is submitted to the one that is not its preferred owner
		if a.membership.batchOwners("north/" + model)[0] == a.settings.PeerListen {
			first, owner = b, a
		}
		behind := owner.catalog.Load()
		d.addRoute(map[string]any{"Name": "notes", "Host": host, "Prefix": "/notes/", "Type": "rollout", "Service": "lm", "Attempts": 3, "MaxQueueS": 40, "DueMs": 7500})
		for _, gw := range []*testInstance{a, b} {
			Eventually(gw.configVersion).WithTimeout(5 * time.Second).Should(Equal(d.version))
		}
		owner.catalog.Store(behind)
		Expect(status("POST", first.address, "/notes/l", northKey, batchBody(items, 1), "X-Pomelocross-Request-Id", "l")).To(Equal(http.StatusAccepted))
		Expect(owner.runner.Runs("l")).To(BeTrue())
		expectComplete(results(first.address, "l", items), items, events)
		Expect(owner.catalog.Load()).To(BeIdenticalTo(behind))
	})
})

var _ = Describe("An accepted batch", func() {
	// Reads, bodies and ends of it were answered 404 by instances that knew no route of its
	// host: those that had not learned of a new route, and all once the last route was removed.
	const items, events = 4, 3
	newHost := "notes.example"
	callBatch := func(gw *testInstance, method, path string) int {
		return status(method, gw.address, path, northKey, nil, headerTestHost, newHost)
	}

	It("is served by an instance that does not know the host of its route yet", func() {
		d := newDeployment(2, events)
		a, b := d.start("entry-1", nil), d.start("entry-2", nil)
		waitForMembership(a, b)
		behind := b.catalog.Load()
		d.addRoute(map[string]any{"Name": "notes", "Host": newHost, "Prefix": "/notes/", "Type": "rollout", "Service": "lm", "Attempts": 3, "MaxQueueS": 40, "DueMs": 7500})
		for _, gw := range []*testInstance{a, b} {
			Eventually(gw.configVersion).WithTimeout(5 * time.Second).Should(Equal(d.version))
		}
		b.catalog.Store(behind)
		Expect(status("POST", a.address, "/notes/l", northKey, batchBody(items, 1), "X-Pomelocross-Request-Id", "l", headerTestHost, newHost)).To(Equal(http.StatusAccepted))
		Expect(callBatch(b, "GET", "/items/l?Id=item-0")).To(Equal(http.StatusOK))
		Expect(callBatch(b, "GET", "/lots/l?After=0")).To(Equal(http.StatusOK))
		Expect(callBatch(b, "DELETE", "/lots/l")).To(Equal(http.StatusOK))
		Expect(callBatch(b, "GET", "/lots/other?After=0")).To(Equal(http.StatusNotFound))
	})

	It("is served after the last route of its host was removed", func() {
		d := newDeployment(2, events)
		gw := d.start("entry-1", nil)
		Expect(submit(gw.address, "l", batchBody(items, 1))).To(Equal(http.StatusAccepted))
		expectComplete(results(gw.address, "l", items), items, events)
		d.configure(func(c map[string]any) { c["Routes"] = []map[string]any{} })
		Eventually(gw.configVersion).WithTimeout(5 * time.Second).Should(Equal(d.version))
		expectComplete(results(gw.address, "l", items), items, events)
	})
})
