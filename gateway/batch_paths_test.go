package gateway

import (
	"net/http"

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
				route("pieces", partsHost, "/pi%C3%A8ces/"),
				public, route("look", frontHost, "/look/"))
		})
		return d, d.start("entry-1", nil)
	}

	// A route whose prefix has escapes was never matched.
	It("selects its route as it was sent", func() {
		_, gw := start()
		for _, path := range []string{"/pi%C3%A8ces/5", "/pi%c3%a8ces/5"} {
			Expect(status("GET", gw.address, path, northKey, nil, headerTestHost, partsHost)).To(Equal(http.StatusOK), path)
		}
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
})
