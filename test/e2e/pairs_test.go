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

// pairOutage is longer than a lease and than three usage windows.
const pairOutage = 4 * time.Second

var _ = Describe("Failures in pairs", func() {
	var (
		d    *deployment
		all  []*daemon
		work *pairWork
	)
	window := []string{"--usage-window", "1s", "--usage-grace", "300ms"}

	BeforeEach(func() {
		d = newDeployment("botiquin")
		for name, domain := range map[string]string{"lm-1": "mty-a", "lm-2": "mty-a", "lm-3": "mty-b"} {
			d.addEngine(name, "lm-pool", domain, engine.Options{TokenTime: 5 * time.Millisecond, LoadTime: 50 * time.Millisecond})
		}
		for name, domain := range map[string]string{"refill-a": "mty-a", "refill-b": "mty-b"} {
			d.addService(name, "refill-check", domain).SetFaults(service.Faults{Delay: 20 * time.Millisecond})
		}
		all = []*daemon{d.startDaemon("entry-a", "mty-a", window...), d.startDaemon("entry-b", "mty-b", window...), d.startDaemon("entry-c", "mty-a", window...)}
		work = &pairWork{d: d, all: all}
	})

	// serves lasts as long as an outage and requires one to serve throughout.
	serves := func(one *daemon) {
		GinkgoHelper()
		Consistently(func() int { return one.complete(demoKey("centros"), "served", 1, false).status }, pairOutage, 100*time.Millisecond).Should(Equal(200))
	}
	otherThan := func(gone *daemon) *daemon {
		return all[(slices.Index(all, gone)+1)%len(all)]
	}
	// replace takes a killed instance off the list and starts it anew.
	replace := func(one *daemon) {
		d.unlist(one.name)
		d.startDaemon(one.name, one.domain, window...)
	}
	withWeight := func(team, weight int) *contract.Bundle {
		changed := *d.bundle
		changed.Teams = slices.Clone(changed.Teams)
		changed.Teams[team].Weight = weight
		return &changed
	}
	// homeInStep waits for a step of which a part has been handed over, and
	// returns the home of the run.
	homeInStep := func(run string) *daemon {
		GinkgoHelper()
		var ledger rollout.Ledger
		Eventually(func() bool {
			o, err := d.store().Get(within(time.Second), objects.KindRun, run)
			if err != nil || json.Unmarshal(o.Value, &ledger) != nil {
				return false
			}
			return slices.ContainsFunc(ledger.Steps, func(s rollout.StepState) bool {
				return s.Delivered.Count() > 0 && s.Delivered.Count() < s.Samples
			})
		}).WithPolling(time.Millisecond).Should(BeTrue())
		return d.daemons[ledger.Home]
	}

	DescribeTable("leave all that must hold intact", func(fail func()) {
		work.begin()
		fail()
		work.check()
	},
		Entry("platform down while the holder of upstream orders is stopped and goes on", func() {
			holder := holderOf(d, roleA)
			d.platform.SetFaults(standin.Faults{Down: true})
			holder.freeze()
			serves(otherThan(holder))
			holder.thaw()
			serves(holder)
			d.platform.SetFaults(standin.Faults{})
		}),
		Entry("platform down while the holder of upstream orders is stopped, back before that goes on", func() {
			holder := holderOf(d, roleA)
			d.platform.SetFaults(standin.Faults{Down: true})
			holder.freeze()
			serves(otherThan(holder))
			d.platform.SetFaults(standin.Faults{})
			Eventually(func() bool { return d.orderedByOther("mty-a", holder.name) }).Should(BeTrue())
			holder.thaw()
			serves(holder)
		}),
		Entry("an instance killed while instances are cut off from each other", func() {
			for _, one := range all {
				one.inbound.setCut(true)
			}
			all[2].kill()
			serves(all[0])
			serves(all[1])
			for _, one := range all {
				one.inbound.setCut(false)
			}
			replace(all[2])
		}),
		Entry("answers of the platform lost while two operators apply and the home of a run is killed", func() {
			d.platform.SetFaults(standin.Faults{Delay: 100 * time.Millisecond}) // between two batches
			home := homeInStep("plans")
			home.kill()
			d.platform.SetFaults(standin.Faults{LoseAnswers: 20})
			var racing sync.WaitGroup
			accepted := make([]contract.Accepted, 2)
			for n := range accepted {
				racing.Go(func() {
					accepted[n], _ = (&operator.Operator{Store: d.store(), Out: GinkgoWriter}).Apply(within(20*time.Second), withWeight(n, 50), "test")
				})
			}
			racing.Wait()
			Expect(accepted[0].Revision != accepted[1].Revision).To(BeTrue(), "%v", accepted)
			serves(otherThan(home))
			last := max(accepted[0].Revision, accepted[1].Revision)
			replace(home)
			for _, one := range d.daemons {
				Eventually(func() contract.Revision { s, _ := one.status(); return s.Revision }).Should(Equal(last))
			}
		}),
		Entry("an engine breaks its streams during a weight swap while the platform is down", func() {
			orders := func() int { return len(d.engines["lm-1"].Record().Orders) }
			Eventually(orders).Should(BeNumerically(">", 0))
			d.platform.SetFaults(standin.Faults{Down: true})
			d.engines["lm-1"].SetFaults(engine.Faults{CutAfter: 3, FailLoads: true})
			serves(all[0])
			d.engines["lm-1"].SetFaults(engine.Faults{Refuse: true})
			serves(all[1])
			d.engines["lm-1"].SetFaults(engine.Faults{})
			d.platform.SetFaults(standin.Faults{})
		}),
		Entry("a key withdrawn in an outage that ends while an instance is stopped", func() {
			for _, one := range all {
				one.platform.setCut(true)
			}
			without := *d.bundle
			without.Keys = slices.DeleteFunc(slices.Clone(without.Keys), func(k contract.Key) bool { return k.ID == "escuelas" })
			d.apply(&without)
			serves(all[0])
			all[0].freeze()
			for _, one := range all {
				one.platform.setCut(false)
			}
			refused := func(one *daemon) func() int {
				return func() int { return one.complete(demoKey("escuelas"), "withdrawn", 1, false).status }
			}
			Eventually(refused(all[1]), inForceWithin).Should(Equal(401))
			all[0].thaw()
			Eventually(refused(all[0]), inForceWithin).Should(Equal(401))
		}),
		Entry("two holders of billing killed in turn while the usage interface is down", func() {
			d.platform.SetFaults(standin.Faults{UsageDown: true})
			first := holderOf(d, "billing")
			first.kill()
			replace(first)
			second := holderOf(d, "billing")
			second.kill()
			if slices.Contains(all, second) {
				replace(second)
			}
			holderOf(d, "billing")
			d.platform.SetFaults(standin.Faults{})
		}),
	)
})
