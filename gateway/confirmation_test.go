package gateway

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A gateway that cannot confirm its configuration", func() {
	strict := func(s *Settings) { s.StrictRevoke, s.RevokeBound = true, 3*time.Second }
	public := func(c map[string]any) {
		c["Routes"] = append(c["Routes"].([]map[string]any), map[string]any{
			"Name": "open", "Host": host, "Prefix": "/open/", "Type": "safe", "TimeoutMs": 2000, "Service": "desk", "Attempts": 2, "Public": true,
		})
	}
	keyed := func(gw *testInstance, key string) func() int {
		return func() int { return status("POST", gw.address, "/kits/4", key, nil) }
	}

	// A gateway without the store went on accepting keys that had been withdrawn, for as
	// long as the store was away, in a deployment whose settings forbid it.
	It("accepts keys for no longer than the bound if revocation is strict", func() {
		d := newDeployment(0, 0)
		d.configure(public)
		proxy := &breakableProxy{target: d.store}
		gw := d.start("entry-1", func(s *Settings) { strict(s); s.Store = serve(proxy) })
		Consistently(keyed(gw, northKey), "4s", "100ms").Should(Equal(http.StatusOK), "while the configuration is confirmed")
		proxy.down.Store(true)
		cut := gw.clock.Now()
		accepted := func() bool { // also reports acceptance later than the bound
			age := gw.confirmation.age(gw.clock.Now()) // before the request
			code := keyed(gw, northKey)()
			Expect(code == http.StatusOK && age > gw.settings.RevokeBound).To(BeFalse())
			return code == http.StatusOK
		}
		Eventually(accepted).WithTimeout(5 * time.Second).Should(BeFalse())
		Expect(keyed(gw, northKey)()).To(Equal(http.StatusServiceUnavailable))
		confirmed := gw.clock.Now().Add(-gw.confirmation.age(gw.clock.Now()))
		Expect(confirmed).To(BeTemporally("<=", cut.Add(gw.settings.maxConfigWait(time.Second))), "only a watch that was sent before the cut may confirm it")
		Expect(keyed(gw, "added-meanwhile")()).To(Equal(http.StatusServiceUnavailable), "not 401: the key may be known by now")
		Expect(status("GET", gw.address, "/lots/l1", northKey, nil)).To(Equal(http.StatusServiceUnavailable))
		Expect(status("POST", gw.address, "/open/4", "", nil)).To(Equal(http.StatusOK))
		a, err := call("POST", gw.address, "/kits/4", northKey, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Header.Get("Retry-After")).NotTo(BeEmpty())
		proxy.down.Store(false)
		Eventually(keyed(gw, northKey)).WithTimeout(3 * time.Second).Should(Equal(http.StatusOK))
	})

	// An instance whose source confirms the configuration need not reach the store.
	It("accepts keys while another instance confirms it", func() {
		d := newDeployment(0, 0)
		source, proxy := d.start("entry-1", strict), &breakableProxy{target: d.store}
		gw := d.start("entry-2", func(s *Settings) {
			strict(s)
			s.Peers, s.Store = []string{source.settings.PeerListen}, serve(proxy)
		})
		proxy.down.Store(true)
		Consistently(keyed(gw, northKey), "5s", "100ms").Should(Equal(http.StatusOK))
	})

	// Availability comes first where the settings say so.
	It("goes on accepting keys if revocation is not strict", func() {
		d := newDeployment(0, 0)
		proxy := &breakableProxy{target: d.store}
		gw := d.start("entry-1", func(s *Settings) { s.RevokeBound, s.Store = time.Second, serve(proxy) })
		proxy.down.Store(true)
		Consistently(keyed(gw, northKey), "2s", "100ms").Should(Equal(http.StatusOK))
	})
})
