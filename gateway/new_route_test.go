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
