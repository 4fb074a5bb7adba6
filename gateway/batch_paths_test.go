package gateway

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The path of a request", func() {
	const partsHost, frontHost = "parts.example", "front.example"
	route := func(name, host, prefix string) map[string]any {
		return map[string]any{"Name": name, "Host": host, "Prefix": prefix, "Type": "safe", "Service": "desk", "Attempts": 2, "TimeoutMs": 2000}
	}
	start := func() (*deployment, *testInstance) {
		d := newDeployment(2, 3)
		d.configure(func(c map[string]any) {
			public := route("open", frontHost, "/open/")
			public["Public"] = true
			c["Routes"] = append(c["Routes"].([]map[string]any),
				route("items", partsHost, "/items/"), route("lots-2", partsHost, "/lots/"), route("pieces", partsHost, "/pi%C3%A8ces/"), route("x", partsHost, "/x/"),
				public, route("look", frontHost, "/look/"), route("rest", host, "/"))
		})
		return d, d.start("entry-1", nil)
	}

	// GET /items/ID and /lots/ID were answered 404 on every host; "/x/../items/5" was answered 307;
	// a route whose prefix has escapes was never matched.
	It("selects its route on a host without batches", func() {
		_, gw := start()
		for _, path := range []string{"/items/5", "/lots/5", "/%69tems/5", "/x/../items/5", "/pi%C3%A8ces/5", "/pi%c3%a8ces/5"} {
			a, err := call("GET", gw.address, path, northKey, nil, headerTestHost, partsHost)
			Expect(err).NotTo(HaveOccurred())
			Expect(a.Status).To(Equal(http.StatusOK), path)
			Expect(a.Header).To(HaveKey("X-Pomelocross-Server-Seal"))
		}
		Expect(status("DELETE", gw.address, "/lots/5", northKey, nil, headerTestHost, partsHost)).To(Equal(http.StatusOK))
	})

	// A request without a key ran on a route without need of one, by its decoded path, and the
	// upstream got the path as sent.
	It("is read in one way by the key check, the route and the upstream", func() {
		d, gw := start()
		Expect(status("GET", gw.address, "/open/1", "", nil, headerTestHost, frontHost)).To(Equal(http.StatusOK))
		Expect(status("GET", gw.address, "/open%2F..%2Flook%2F1", "", nil, headerTestHost, frontHost)).To(Equal(http.StatusNotFound))
		Expect(status("GET", gw.address, "/look/1", "", nil, headerTestHost, frontHost)).To(Equal(http.StatusUnauthorized))
		Expect(d.desk.Runs()).To(HaveLen(1))
	})

	It("selects the batch interface on a host with batches, also once its routes for batches were removed", func() {
		d, gw := start()
		const items, events = 4, 3
		Expect(submit(gw.address, "l", batchBody(items, 1))).To(Equal(http.StatusAccepted))
		expectComplete(results(gw.address, "l", items), items, events)
		Expect(status("GET", gw.address, "/other/5", northKey, nil)).To(Equal(http.StatusOK))
		d.configure(func(c map[string]any) { c["Routes"] = []map[string]any{route("rest", host, "/")} })
		Eventually(gw.configVersion).WithTimeout(5 * time.Second).Should(Equal(d.version))
		expectComplete(results(gw.address, "l", items), items, events)
		Expect(status("DELETE", gw.address, "/lots/l", northKey, nil)).To(Equal(http.StatusOK))
	})
})
