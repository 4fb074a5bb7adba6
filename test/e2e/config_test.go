package e2e

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/internal/standin/engine"
	standin "github.com/pomelocross/pomelocross/internal/standin/platform"
	"github.com/pomelocross/pomelocross/operator"
)

// inForceTimeout is the time within which a change must be in force at all instances.
const inForceTimeout = 4 * time.Second

var _ = Describe("Configuration distribution", func() {
	var (
		d       *deployment
		a, b, c *daemon
	)

	BeforeEach(func() {
		d = newDeployment("botiquin")
		d.addEngine("lm-1", "lm-pool", "mty-a", engine.Options{TokenTime: time.Millisecond})
		d.addEngine("lm-2", "lm-pool", "mty-b", engine.Options{TokenTime: time.Millisecond})
		d.addService("refill-b", "refill-check", "mty-b")
		a = d.startDaemon("entry-a", "mty-a")
		b = d.startDaemon("entry-b", "mty-b")
		c = d.startDaemon("entry-c", "mty-c")
		for _, inst := range []*daemon{a, b, c} {
			Eventually(inst.knownPeers).Should(ConsistOf(a.peerRelay.address, b.peerRelay.address, c.peerRelay.address))
		}
		Eventually(func() int { return b.complete(demoKey("escuelas"), "warm", 1, false).status }).Should(Equal(200))
		Eventually(func() int { return b.do(request{method: "GET", path: "/kits/1", key: demoKey("desk")}).status }).Should(Equal(200))
	})

	revision := func(inst *daemon) func() contract.Revision {
		return func() contract.Revision { s, _ := inst.status(); return s.Revision }
	}
	withoutKey := func(id string) *contract.Bundle {
		changed := *d.bundle
		changed.Keys = slices.DeleteFunc(slices.Clone(changed.Keys), func(k contract.Key) bool { return k.ID == id })
		return &changed
	}
	setWhenIsolated := func(service, policy string) {
		changed := *d.bundle
		changed.Services = slices.Clone(changed.Services)
		for i := range changed.Services {
			if changed.Services[i].Name == service {
				changed.Services[i].WhenIsolated = policy
			}
		}
		d.bundle = &changed
		accepted := d.apply(&changed)
		for _, inst := range d.daemons {
			Eventually(revision(inst), inForceTimeout).Should(Equal(accepted.Revision))
		}
	}
	startStream := func(inst *daemon, key string) <-chan response {
		done := make(chan response, 1)
		before := len(d.engines["lm-2"].Record().Requests)
		go func() {
			defer GinkgoRecover()
			done <- inst.complete(key, "long", 100000, true)
		}()
		Eventually(func() int { return len(d.engines["lm-2"].Record().Requests) }).Should(BeNumerically(">", before))
		return done
	}
	isolate := func(inst *daemon) {
		inst.platformRelay.setDisconnected(true)
		inst.peerRelay.setDisconnected(true)
		for _, other := range d.daemons {
			if other != inst {
				other.peerRelay.setDisconnected(true)
			}
		}
	}

	DescribeTable("withdraws a key in a domain cut off from the platform", func(disconnect func()) {
		done := startStream(b, demoKey("escuelas"))
		disconnect()
		accepted := d.apply(withoutKey("escuelas"))
		var got response
		Eventually(done, inForceTimeout).Should(Receive(&got))
		Expect(got.body).To(ContainSubstring("key_refused"))
		Expect(got.body).NotTo(ContainSubstring("[DONE]"))
		Expect(b.complete(demoKey("escuelas"), "x", 1, false).status).To(Equal(401), "status on a kept-alive connection")
		for _, inst := range []*daemon{a, b, c} {
			Eventually(revision(inst), inForceTimeout).Should(Equal(accepted.Revision))
		}
	},
		Entry("when connections to the platform are refused", func() { b.platformRelay.setDisconnected(true) }),
		Entry("when the path to the platform drops all packets", func() { b.platformRelay.setBlackholed(true) }),
		Entry("when it can call its peers but they cannot call it", func() { b.platformRelay.setDisconnected(true); b.peerRelay.setDisconnected(true) }),
		Entry("when its peers can call it but it cannot call them", func() {
			b.platformRelay.setDisconnected(true)
			a.peerRelay.setDisconnected(true)
			c.peerRelay.setDisconnected(true)
		}),
		Entry("when the only peer that reaches it is cut off from the platform too", func() {
			b.platformRelay.setDisconnected(true)
			c.platformRelay.setDisconnected(true)
			b.peerRelay.setDisconnected(true)
			a.peerRelay.setBlackholed(true)
		}),
	)

	It("stops requests to a service configured to refuse in isolation, while other services go on", func() {
		setWhenIsolated("lm-pool", contract.IsolatedRefuse)
		done := startStream(b, demoKey("escuelas"))
		isolate(b)
		d.apply(withoutKey("escuelas"))
		var got response
		Eventually(done, 20*time.Second).Should(Receive(&got))
		Expect(got.body).NotTo(ContainSubstring("[DONE]"))
		refused := b.complete(demoKey("fabricas"), "x", 1, false)
		Expect(refused.status).To(Equal(503))
		Expect(refused.body).To(ContainSubstring(`"isolated"`))
		Expect(b.do(request{method: "GET", path: "/kits/1", key: demoKey("desk")}).status).To(Equal(200))
		for _, inst := range d.daemons {
			inst.peerRelay.setDisconnected(false)
		}
		Eventually(func() int { return b.complete(demoKey("fabricas"), "x", 1, false).status }).Should(Equal(200))
		Expect(b.complete(demoKey("escuelas"), "x", 1, false).status).To(Equal(401))
	})

	It("does not interrupt service in an outage of the platform, even if the service refuses in isolation", func() {
		setWhenIsolated("lm-pool", contract.IsolatedRefuse)
		d.platform.SetFaults(standin.Faults{Down: true})
		Consistently(func() int { return b.complete(demoKey("fabricas"), "x", 1, false).status }, 16*time.Second, 200*time.Millisecond).Should(Equal(200))
	})

	It("supplies an instance that starts in an outage of the platform from its peers", func() {
		d.platform.SetFaults(standin.Faults{Down: true})
		started := d.launch("entry-late", "mty-b", "--peers", a.peerRelay.address)
		Eventually(revision(started), inForceTimeout).Should(Equal(contract.Revision(1)))
		Eventually(func() int { return started.complete(demoKey("fabricas"), "x", 1, false).status }).Should(Equal(200))
	})

	It("keeps the revision on disk over a restart in an outage, and an older disk does not lower it", func() {
		dataDir, oldDataDir := GinkgoT().TempDir(), GinkgoT().TempDir()
		first := d.startDaemon("entry-d", "mty-d", "--data-dir", dataDir)
		Eventually(revision(first)).Should(Equal(contract.Revision(1)))
		Eventually(func() string {
			data, _ := os.ReadFile(filepath.Join(dataDir, "accepted.json"))
			return string(data)
		}, inForceTimeout).Should(ContainSubstring(a.peerRelay.address), "accepted.json holds the addresses of peers")
		Expect(os.CopyFS(oldDataDir, os.DirFS(dataDir))).To(Succeed())
		d.apply(withoutKey("escuelas"))
		Eventually(revision(first), inForceTimeout).Should(Equal(contract.Revision(2)))
		first.kill()
		d.platform.SetFaults(standin.Faults{Down: true})

		isolated := d.launch("entry-d", "mty-d", "--data-dir", dataDir)
		isolated.peerRelay.setDisconnected(true)
		Eventually(revision(isolated)).Should(Equal(contract.Revision(2)))
		isolated.kill()

		restarted := d.launch("entry-d", "mty-d", "--data-dir", oldDataDir)
		Consistently(revision(restarted), inForceTimeout).Should(Or(BeZero(), Equal(contract.Revision(2))))
		Eventually(revision(restarted)).Should(Equal(contract.Revision(2)))
	})

	It("ignores a corrupted file on disk at the start", func() {
		dataDir := GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(dataDir, "accepted.json"), []byte(`{"items":[{"Kind":"config","Name":"botiquin","Revision":99,"Value":"e30="}]}`), 0o600)).To(Succeed())
		inst := d.startDaemon("entry-d", "mty-d", "--data-dir", dataDir)
		Consistently(revision(inst), inForceTimeout).Should(Equal(contract.Revision(1)))
		accepted := d.apply(withoutKey("escuelas"))
		Eventually(revision(inst), inForceTimeout).Should(Equal(accepted.Revision))
	})
})

// knownPeers returns the peer addresses of all instances that the instance knows.
func (inst *daemon) knownPeers() []string {
	all, err := (&operator.Operator{Admin: inst.admin}).AllStatus(context.Background())
	if err != nil {
		return nil
	}
	var addresses []string
	for _, m := range all {
		addresses = append(addresses, m.Peer)
	}
	return addresses
}
