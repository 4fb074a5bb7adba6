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
		engineCount = 53
		swapTimeout = 9 * time.Second
		storeRate   = 10 // weight downloads per second that the store serves
	)

	// laggingCount returns the number of engines that run an older version.
	laggingCount := func(d *deployment, version int64) int {
		count := 0
		for _, e := range d.engines {
			if e.Version() < version {
				count++
			}
		}
		return count
	}

	It("run in time on all engines of a domain but failing and unresponsive ones, from a rate-limited store", func() {
		d := newDeployment("botiquin")
		store := weights.New(storeRate)
		for n := range engineCount {
			d.addEngine(fmt.Sprintf("lm-%02d", n), "lm-pool", "mty-a", engine.Options{TokenTime: time.Millisecond, LoadTime: 500 * time.Millisecond, Weights: store})
		}
		a := d.startDaemon("entry-a", "mty-a", "--lease-term", "10s")
		Eventually(func() bool { return a.holds(upstreamsRole) }).Should(BeTrue())
		Eventually(func() int { return a.complete(demoKey("fabricas"), "warm", 1, false).status }).Should(Equal(200))
		blackhole := newRelay(d.platformAddress)
		blackhole.setBlackholed(true)
		d.addMember(objects.Member{Name: "lm-silent", Role: objects.RoleUpstream, Service: "lm-pool", Domain: "mty-a", Address: blackhole.address, Cost: objects.CostDear})
		for version := int64(2); version <= 3; version++ {
			d.publishWeights("restock", version)
			Eventually(laggingCount, swapTimeout).WithArguments(d, version).Should(BeZero())
		}
		failing, falselyReporting := d.engines["lm-00"], d.engines["lm-01"]
		failing.SetFaults(engine.Faults{FailLoads: true})
		falselyReporting.SetFaults(engine.Faults{ClaimLoads: true})
		d.publishWeights("restock", 4)
		Eventually(laggingCount, swapTimeout).WithArguments(d, int64(4)).Should(Equal(2))
		failing.SetFaults(engine.Faults{})
		falselyReporting.SetFaults(engine.Faults{})
		Eventually(laggingCount).WithArguments(d, int64(4)).Should(BeZero())
		Expect(len(failing.Journal())).To(BeNumerically("<=", 3+8), "orders to a failing engine are backed off")
	})
})
