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

// inForceWithin is the target for a change to be in force everywhere.
const inForceWithin = 4 * time.Second

var _ = Describe("Configuration in force", func() {
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
		for _, one := range []*daemon{a, b, c} {
			Eventually(one.knownPeers).Should(ConsistOf(a.inbound.address, b.inbound.address, c.inbound.address))
		}
		Eventually(func() int { return b.complete(demoKey("escuelas"), "warm", 1, false).status }).Should(Equal(200))
		Eventually(func() int { return b.do(call{method: "GET", path: "/kits/1", key: demoKey("desk")}).status }).Should(Equal(200))
	})

	revision := func(one *daemon) func() contract.Revision {
		return func() contract.Revision { s, _ := one.status(); return s.Revision }
	}
	withoutKey := func(id string) *contract.Bundle {
		changed := *d.bundle
		changed.Keys = slices.DeleteFunc(slices.Clone(changed.Keys), func(k contract.Key) bool { return k.ID == id })
		return &changed
	}
	whenIsolated := func(service, what string) {
		changed := *d.bundle
		changed.Services = slices.Clone(changed.Services)
		for i := range changed.Services {
			if changed.Services[i].Name == service {
				changed.Services[i].WhenIsolated = what
			}
		}
		d.bundle = &changed
		accepted := d.apply(&changed)
		for _, one := range d.daemons {
			Eventually(revision(one), inForceWithin).Should(Equal(accepted.Revision))
		}
	}
	stream := func(one *daemon, key string) <-chan answer {
		ended := make(chan answer, 1)
		before := len(d.engines["lm-2"].Record().Requests)
		go func() {
			defer GinkgoRecover()
			ended <- one.complete(key, "long", 100000, true)
		}()
		Eventually(func() int { return len(d.engines["lm-2"].Record().Requests) }).Should(BeNumerically(">", before))
		return ended
	}
	isolate := func(one *daemon) {
		one.platform.setCut(true)
		one.inbound.setCut(true)
		for _, other := range d.daemons {
			if other != one {
				other.inbound.setCut(true)
			}
		}
	}

	DescribeTable("withdraws a key in a domain cut off from the platform", func(cut func()) {
		running := stream(b, demoKey("escuelas"))
		cut()
		accepted := d.apply(withoutKey("escuelas"))
		var got answer
		Eventually(running, inForceWithin).Should(Receive(&got))
		Expect(got.body).To(ContainSubstring("key_refused"))
		Expect(got.body).NotTo(ContainSubstring("[DONE]"))
		Expect(b.complete(demoKey("escuelas"), "x", 1, false).status).To(Equal(401), "on a kept-alive connection")
		for _, one := range []*daemon{a, b, c} {
			Eventually(revision(one), inForceWithin).Should(Equal(accepted.Revision))
		}
	},
		Entry("when connections to the platform are refused", func() { b.platform.setCut(true) }),
		Entry("when the path to the platform drops everything", func() { b.platform.setSilent(true) }),
		Entry("when it can call its peers but they cannot call it", func() { b.platform.setCut(true); b.inbound.setCut(true) }),
		Entry("when its peers can call it but it cannot call them", func() {
			b.platform.setCut(true)
			a.inbound.setCut(true)
			c.inbound.setCut(true)
		}),
		Entry("when only a peer that is cut off too reaches it", func() {
			b.platform.setCut(true)
			c.platform.setCut(true)
			b.inbound.setCut(true)
			a.inbound.setSilent(true)
		}),
	)

	It("ends and refuses work of a service that refuses in isolation, and serves the others", func() {
		whenIsolated("lm-pool", contract.IsolatedRefuse)
		running := stream(b, demoKey("escuelas"))
		isolate(b)
		d.apply(withoutKey("escuelas"))
		var got answer
		Eventually(running, 20*time.Second).Should(Receive(&got))
		Expect(got.body).NotTo(ContainSubstring("[DONE]"))
		refused := b.complete(demoKey("fabricas"), "x", 1, false)
		Expect(refused.status).To(Equal(503))
		Expect(refused.body).To(ContainSubstring(`"isolated"`))
		Expect(b.do(call{method: "GET", path: "/kits/1", key: demoKey("desk")}).status).To(Equal(200))
		for _, one := range d.daemons {
			one.inbound.setCut(false)
		}
		Eventually(func() int { return b.complete(demoKey("fabricas"), "x", 1, false).status }).Should(Equal(200))
		Expect(b.complete(demoKey("escuelas"), "x", 1, false).status).To(Equal(401))
	})

	It("serves on in an outage of the platform, also a service that refuses in isolation", func() {
		whenIsolated("lm-pool", contract.IsolatedRefuse)
		d.platform.SetFaults(standin.Faults{Down: true})
		Consistently(func() int { return b.complete(demoKey("fabricas"), "x", 1, false).status }, 16*time.Second, 200*time.Millisecond).Should(Equal(200))
	})

	It("starts in an outage of the platform from what its peers know", func() {
		d.platform.SetFaults(standin.Faults{Down: true})
		late := d.launch("entry-late", "mty-b", "--peers", a.inbound.address)
		Eventually(revision(late), inForceWithin).Should(Equal(contract.Revision(1)))
		Eventually(func() int { return late.complete(demoKey("fabricas"), "x", 1, false).status }).Should(Equal(200))
	})

	It("keeps the revision over a restart in an outage with a disk, and no old disk lowers it", func() {
		folder, old := GinkgoT().TempDir(), GinkgoT().TempDir()
		first := d.startDaemon("entry-d", "mty-d", "--data-dir", folder)
		Eventually(revision(first)).Should(Equal(contract.Revision(1)))
		Expect(os.CopyFS(old, os.DirFS(folder))).To(Succeed())
		d.apply(withoutKey("escuelas"))
		Eventually(revision(first), inForceWithin).Should(Equal(contract.Revision(2)))
		first.kill()
		d.platform.SetFaults(standin.Faults{Down: true})

		alone := d.launch("entry-d", "mty-d", "--data-dir", folder)
		alone.inbound.setCut(true)
		Eventually(revision(alone)).Should(Equal(contract.Revision(2)))
		alone.kill()

		again := d.launch("entry-d", "mty-d", "--data-dir", old)
		Consistently(revision(again), inForceWithin).Should(Or(BeZero(), Equal(contract.Revision(2))))
		Eventually(revision(again)).Should(Equal(contract.Revision(2)))
	})

	It("starts without a damaged disk", func() {
		folder := GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(folder, "accepted.json"), []byte(`{"items":[{"Kind":"config","Name":"botiquin","Revision":99,"Value":"e30="}]}`), 0o600)).To(Succeed())
		one := d.startDaemon("entry-d", "mty-d", "--data-dir", folder)
		Consistently(revision(one), inForceWithin).Should(Equal(contract.Revision(1)))
		accepted := d.apply(withoutKey("escuelas"))
		Eventually(revision(one), inForceWithin).Should(Equal(accepted.Revision))
	})
})

// knownPeers returns the addresses at which the instance knows the others.
func (one *daemon) knownPeers() []string {
	all, err := (&operator.Operator{Admin: one.admin}).AllStatus(context.Background())
	if err != nil {
		return nil
	}
	var addresses []string
	for _, m := range all {
		addresses = append(addresses, m.Peer)
	}
	return addresses
}
