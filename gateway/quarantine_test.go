package gateway

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/platform/standin"
	"github.com/pomelocross/pomelocross/roster"
)

// deadlyBody is the body of the requests that crash engines.
const deadlyBody = "deadly"

// addCrashers replaces the plain upstream of a deployment by count ones that crash when
// they get deadlyBody.
func (d *deployment) addCrashers(count int) []*standin.Crasher {
	d.store.Remove("servers", d.desk.ID)
	var list []*standin.Crasher
	for n := range count {
		e := &standin.Engine{ID: fmt.Sprint("crasher-", n), Service: "desk", Slots: 8}
		c := &standin.Crasher{Engine: e, Body: deadlyBody, OnCrash: func() { d.store.Remove("servers", e.ID) }}
		address, err := c.Start()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Stop() }) // fails if it has crashed
		d.store.Set("servers", e.ID, e.Registration(address, "a", "ready"))
		list = append(list, c)
	}
	return list
}

// crashes returns the number of crashes of all processes.
func crashes(list []*standin.Crasher) int {
	sum := 0
	for _, c := range list {
		sum += c.Crashes()
	}
	return sum
}

// sendDeadly sends a request that crashes engines and returns the status of the response.
func sendDeadly(gw *testInstance) int {
	return status("POST", gw.address, "/kits/deadly", northKey, []byte(deadlyBody))
}

// allowTime raises the time limit of plain requests, so that a slow machine does not
// replace the outcome of their attempts by a time-out.
func allowTime(c map[string]any) {
	desk := c["Routes"].([]map[string]any)[0]
	desk["TimeoutMs"], desk["GoalMs"] = 9000, 9000
}

// sendInnocent sends a request that crashes nothing and returns the status.
func sendInnocent(gw *testInstance) int {
	return status("POST", gw.address, "/kits/1", northKey, []byte("count"))
}

var _ = Describe("An upstream that leaves as announced", func() {
	It("does not count as crashed when it ends with a request", func(ctx SpecContext) {
		// Guards against suspicions after planned replacements of upstreams.
		d := newDeployment(0, 0)
		crasher := d.addCrashers(1)[0]
		gw := d.start("entry-1", nil)
		id := crasher.Engine.ID
		var e roster.Entry
		Eventually(func() bool { e, _ = gw.roster.Entry(id); return e.Ready }).WithTimeout(3 * time.Second).Should(BeTrue())
		Expect(crasher.Stop()).To(Succeed())
		Expect(gw.upstreamGone(ctx, e)).To(BeTrue(), "without an announcement")
		gw.roster.MarkLeaving(e.Target())
		Expect(gw.upstreamGone(ctx, e)).To(BeFalse())
	})
})

var _ = Describe("A request that crashes engines", func() {
	It("is rejected by all instances once it has crashed three, also by one that restarted and one that reaches no other", func() {
		// Guards against a request that crashes engine after engine.
		d := newDeployment(0, 0)
		d.configure(allowTime)
		crashers := d.addCrashers(12)
		first := d.start("entry-1", nil)
		second := d.start("entry-2", func(s *Settings) { s.Peers = []string{first.settings.PeerListen} })
		separated := d.start("entry-3", func(s *Settings) { s.Domain, s.Secret = "b", "another-secret-of-16-bytes" })

		Expect(sendDeadly(first)).To(Equal(http.StatusBadGateway))
		Expect(crashes(crashers)).To(Equal(2))
		Expect(sendDeadly(second)).To(Equal(http.StatusBadGateway))
		first.stop()
		restarted := d.start("entry-1", nil)
		time.Sleep(first.settings.ContactBound)
		for _, gw := range []*testInstance{restarted, second, separated} {
			Expect(sendDeadly(gw)).To(Equal(http.StatusServiceUnavailable), gw.settings.Name)
			Expect(sendInnocent(gw)).To(Equal(http.StatusOK), gw.settings.Name)
		}
		Expect(crashes(crashers)).To(Equal(3))
	})

	It("is known to other instances when it is sent once only", func() {
		// Guards against requests without retries, of which each instance sees one crash.
		d := newDeployment(0, 0)
		d.configure(func(c map[string]any) {
			allowTime(c)
			c["Routes"].([]map[string]any)[0]["Type"] = "unsafe"
		})
		crashers := d.addCrashers(9)
		var all []*testInstance
		for n := range 4 {
			all = append(all, d.start(fmt.Sprint("entry-", n), nil))
		}
		for _, gw := range all[:3] {
			Expect(sendDeadly(gw)).To(Equal(http.StatusBadGateway))
			time.Sleep(all[0].settings.ContactBound)
		}
		Expect(sendDeadly(all[3])).To(Equal(http.StatusServiceUnavailable))
		Expect(crashes(crashers)).To(Equal(3))
	})

	It("stays rejected while the store is away, and others know of it once the store is back", func() {
		// Guards against suspicions that are lost with a failed write.
		d := newDeployment(0, 0)
		d.configure(allowTime)
		crashers := d.addCrashers(9)
		proxy := &breakableProxy{target: d.store}
		gw := d.start("entry-1", func(s *Settings) { s.Store = serve(proxy) })
		other := d.start("entry-2", func(s *Settings) { s.Secret = "another-secret-of-16-bytes" })
		proxy.down.Store(true)
		Expect(sendDeadly(gw)).To(Equal(http.StatusBadGateway))
		Expect(sendDeadly(gw)).To(Equal(http.StatusBadGateway))
		Expect(sendDeadly(gw)).To(Equal(http.StatusServiceUnavailable))
		proxy.down.Store(false)
		Eventually(func() bool { return other.quarantine.Active() }).WithTimeout(3 * time.Second).Should(BeTrue())
		Expect(sendDeadly(other)).To(Equal(http.StatusServiceUnavailable))
		Expect(crashes(crashers)).To(Equal(3))
	})
})

var _ = Describe("A request that was at an engine when it crashed", func() {
	It("is served by another engine and leaves nothing in the store", func() {
		// Guards against innocent requests that are rejected for the crash of another one.
		d := newDeployment(0, 0)
		crashers := d.addCrashers(4)
		gw := d.start("entry-1", nil)
		crash := make(chan struct{})
		for _, c := range crashers {
			c.Engine.SetFault(func(id string) standin.Fault {
				if id == "beside" {
					select {
					case <-crash:
					default:
						close(crash)
						Expect(c.Stop()).To(Succeed())
						return standin.NoReply
					}
				}
				return standin.None
			})
		}
		Expect(status("POST", gw.address, "/kits/1", northKey, []byte("count"), "X-Pomelocross-Request-Id", "beside")).To(Equal(http.StatusOK))
		Consistently(func() []string { return d.store.Names("quarantine") }, "700ms").Should(BeEmpty())
		Expect(gw.quarantine.Active()).To(BeFalse())
	})
})

var _ = Describe("An engine that refuses connections", func() {
	It("has not crashed if its whole failure domain does", func() {
		// Guards against a quarantine of innocent requests while a failure domain is cut off.
		d := newDeployment(0, 0)
		crashers := d.addCrashers(3)
		gw := d.start("entry-1", func(s *Settings) { s.Domain = "b" })
		entry, known := gw.roster.Entry("crasher-0")
		Expect(known).To(BeTrue())
		Expect(gw.upstreamGone(gw.background, entry)).To(BeFalse(), "while it accepts connections")
		Expect(crashers[0].Stop()).To(Succeed())
		Expect(gw.upstreamGone(gw.background, entry)).To(BeTrue(), "while others of its domain accept them")
		Expect(crashers[1].Stop()).To(Succeed())
		Expect(crashers[2].Stop()).To(Succeed())
		Expect(gw.upstreamGone(gw.background, entry)).To(BeFalse(), "while none of its domain does")
		entry.Domain = "b"
		Expect(gw.upstreamGone(gw.background, entry)).To(BeTrue(), "in the instance's own domain")
	})
})
