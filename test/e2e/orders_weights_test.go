package e2e

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/standin/engine"
	"github.com/pomelocross/pomelocross/internal/standin/weights"
	"github.com/pomelocross/pomelocross/objects"
)

var _ = Describe("New weights", func() {
	const (
		domainEngines = 53
		within        = 9 * time.Second
		carried       = 10 // versions a second that the store carries
	)

	// lagging counts the engines that do not run a version.
	lagging := func(d *deployment, version int64) int {
		count := 0
		for _, e := range d.engines {
			if e.Version() < version {
				count++
			}
		}
		return count
	}

	It("run on all engines of a domain in time from a rate-limited store, failing swaps and a silent engine apart", func() {
		d := newDeployment("botiquin")
		store := weights.New(carried)
		for n := range domainEngines {
			d.addEngine(fmt.Sprintf("lm-%02d", n), "lm-pool", "mty-a", engine.Options{TokenTime: time.Millisecond, LoadTime: 500 * time.Millisecond, Weights: store})
		}
		a := d.startDaemon("entry-a", "mty-a", "--lease-term", "10s")
		Eventually(func() bool { return a.holds(roleA) }).Should(BeTrue())
		Eventually(func() int { return a.complete(demoKey("fabricas"), "warm", 1, false).status }).Should(Equal(200))
		silent := newRelay(d.platformAddress)
		silent.setSilent(true)
		d.list(objects.Member{Name: "lm-silent", Role: objects.RoleUpstream, Service: "lm-pool", Domain: "mty-a", Address: silent.address, Cost: objects.CostDear})
		for version := int64(2); version <= 3; version++ {
			d.nameWeights("restock", version)
			Eventually(lagging, within).WithArguments(d, version).Should(BeZero())
		}
		failing, claiming := d.engines["lm-00"], d.engines["lm-01"]
		failing.SetFaults(engine.Faults{FailLoads: true})
		claiming.SetFaults(engine.Faults{ClaimLoads: true})
		d.nameWeights("restock", 4)
		Eventually(lagging, within).WithArguments(d, int64(4)).Should(Equal(2))
		failing.SetFaults(engine.Faults{})
		claiming.SetFaults(engine.Faults{})
		Eventually(lagging).WithArguments(d, int64(4)).Should(BeZero())
		Expect(len(failing.Journal())).To(BeNumerically("<=", 3+8), "orders to a failing engine grow fewer")
	})
})
