package e2e

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/internal/standin/engine"
	standin "github.com/pomelocross/pomelocross/internal/standin/platform"
	"github.com/pomelocross/pomelocross/internal/standin/service"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/operator"
	"github.com/pomelocross/pomelocross/rollout"
)

// outageDuration is longer than a lease term and than three usage windows.
const outageDuration = 4 * time.Second

var _ = Describe("Failures in pairs", func() {
	var (
		d         *deployment
		instances []*daemon
		work      *workload
	)
	usageFlags := []string{"--usage-window", "1s", "--usage-grace", "300ms"}

	BeforeEach(func() {
		d = newDeployment("botiquin")
		for name, domain := range map[string]string{"lm-1": "mty-a", "lm-2": "mty-a", "lm-3": "mty-b"} {
			d.addEngine(name, "lm-pool", domain, engine.Options{TokenTime: 5 * time.Millisecond, LoadTime: 50 * time.Millisecond})
		}
		for name, domain := range map[string]string{"refill-a": "mty-a", "refill-b": "mty-b"} {
			d.addService(name, "refill-check", domain).SetFaults(service.Faults{Delay: 20 * time.Millisecond})
		}
		instances = []*daemon{d.startDaemon("entry-a", "mty-a", usageFlags...), d.startDaemon("entry-b", "mty-b", usageFlags...), d.startDaemon("entry-c", "mty-a", usageFlags...)}
		work = &workload{d: d, instances: instances}
	})

	// serves checks that an instance serves for the duration of an outage.
	serves := func(inst *daemon) {
		GinkgoHelper()
		Consistently(func() int { return inst.complete(demoKey("centros"), "served", 1, false).status }, outageDuration, 100*time.Millisecond).Should(Equal(200))
	}
	otherThan := func(excluded *daemon) *daemon {
		return instances[(slices.Index(instances, excluded)+1)%len(instances)]
	}
	// replace removes a killed instance from the instance list and starts a new one with
	// its name.
	replace := func(inst *daemon) {
		d.removeMember(inst.name)
		d.startDaemon(inst.name, inst.domain, usageFlags...)
	}
	withWeight := func(team, weight int) *contract.Bundle {
		changed := *d.bundle
		changed.Teams = slices.Clone(changed.Teams)
		changed.Teams[team].Weight = weight
		return &changed
	}
	// homeDuringStep waits until a step is partly delivered and returns the home of the
	// run.
	homeDuringStep := func(run string) *daemon {
		GinkgoHelper()
		var ledger rollout.Ledger
		Eventually(func() bool {
			o, err := d.store().Get(timeoutContext(time.Second), objects.KindRun, run)
			if err != nil || json.Unmarshal(o.Value, &ledger) != nil {
				return false
			}
			return slices.ContainsFunc(ledger.Steps, func(s rollout.StepState) bool {
				return s.Delivered.Count() > 0 && s.Delivered.Count() < s.Samples
			})
		}).WithPolling(time.Millisecond).Should(BeTrue())
		return d.daemons[ledger.Home]
	}

	DescribeTable("violate no invariant", func(injectFailures func()) {
		work.start()
		injectFailures()
		work.stopAndCheck()
	},
		Entry("platform down while the holder of upstream orders is suspended and resumed", func() {
			holder := waitForHolder(d, upstreamsRole)
			d.platform.SetFaults(standin.Faults{Down: true})
			holder.suspend()
			serves(otherThan(holder))
			holder.resume()
			serves(holder)
			d.platform.SetFaults(standin.Faults{})
		}),
		Entry("platform down while the holder of upstream orders is suspended, and up before it is resumed", func() {
			holder := waitForHolder(d, upstreamsRole)
			d.platform.SetFaults(standin.Faults{Down: true})
			holder.suspend()
			serves(otherThan(holder))
			d.platform.SetFaults(standin.Faults{})
			Eventually(func() bool { return d.lastOrderNotFrom("mty-a", holder.name) }).Should(BeTrue())
			holder.resume()
			serves(holder)
		}),
		Entry("an instance killed while instances are cut off from each other", func() {
			for _, inst := range instances {
				inst.peerRelay.setDisconnected(true)
			}
			instances[2].kill()
			serves(instances[0])
			serves(instances[1])
			for _, inst := range instances {
				inst.peerRelay.setDisconnected(false)
			}
			replace(instances[2])
		}),
		Entry("responses of the platform lost while two operators apply and the home of a run is killed", func() {
			d.platform.SetFaults(standin.Faults{Delay: 100 * time.Millisecond}) // delays the platform, so that home is killed between two batches
			home := homeDuringStep("plans")
			home.kill()
			d.platform.SetFaults(standin.Faults{LoseAnswers: 20})
			var wg sync.WaitGroup
			accepted := make([]contract.Accepted, 2)
			for n := range accepted {
				wg.Go(func() {
					accepted[n], _ = (&operator.Operator{Store: d.store(), Out: GinkgoWriter}).Apply(timeoutContext(20*time.Second), withWeight(n, 50), "test")
				})
			}
			wg.Wait()
			Expect(accepted[0].Revision != accepted[1].Revision).To(BeTrue(), "%v", accepted)
			serves(otherThan(home))
			last := max(accepted[0].Revision, accepted[1].Revision)
			replace(home)
			for _, inst := range d.daemons {
				Eventually(func() contract.Revision { s, _ := inst.status(); return s.Revision }).Should(Equal(last))
			}
		}),
		Entry("streams of an engine broken during a weight swap while the platform is down", func() {
			orders := func() int { return len(d.engines["lm-1"].Record().Orders) }
			Eventually(orders).Should(BeNumerically(">", 0))
			d.platform.SetFaults(standin.Faults{Down: true})
			d.engines["lm-1"].SetFaults(engine.Faults{CutAfter: 3, FailLoads: true})
			serves(instances[0])
			d.engines["lm-1"].SetFaults(engine.Faults{Refuse: true})
			serves(instances[1])
			d.engines["lm-1"].SetFaults(engine.Faults{})
			d.platform.SetFaults(standin.Faults{})
		}),
		Entry("a key withdrawn in an outage that ends while an instance is suspended", func() {
			for _, inst := range instances {
				inst.platformRelay.setDisconnected(true)
			}
			changed := *d.bundle
			changed.Keys = slices.DeleteFunc(slices.Clone(changed.Keys), func(k contract.Key) bool { return k.ID == "escuelas" })
			d.apply(&changed)
			serves(instances[0])
			instances[0].suspend()
			for _, inst := range instances {
				inst.platformRelay.setDisconnected(false)
			}
			status := func(inst *daemon) func() int {
				return func() int { return inst.complete(demoKey("escuelas"), "withdrawn", 1, false).status }
			}
			Eventually(status(instances[1]), inForceTimeout).Should(Equal(401))
			instances[0].resume()
			Eventually(status(instances[0]), inForceTimeout).Should(Equal(401))
		}),
		Entry("two holders of billing killed one after the other while the usage interface is down", func() {
			d.platform.SetFaults(standin.Faults{UsageDown: true})
			first := waitForHolder(d, "billing")
			first.kill()
			replace(first)
			second := waitForHolder(d, "billing")
			second.kill()
			if slices.Contains(instances, second) {
				replace(second)
			}
			waitForHolder(d, "billing")
			d.platform.SetFaults(standin.Faults{})
		}),
	)
})
