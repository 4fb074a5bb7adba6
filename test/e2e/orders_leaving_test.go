package e2e

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/standin/engine"
	standin "github.com/pomelocross/pomelocross/internal/standin/platform"
	"github.com/pomelocross/pomelocross/objects"
)

// leavingBound is the time in which a leaving upstream must get no new work.
const leavingBound = 3 * time.Second

// setLeaving marks members as leaving in the instance list.
func (d *deployment) setLeaving(names ...string) {
	marked := append([]objects.Member(nil), d.members...)
	for n := range marked {
		for _, name := range names {
			marked[n].Leaving = marked[n].Leaving || marked[n].Name == name
		}
	}
	d.members = marked
	d.platform.SetMembers(append([]objects.Member(nil), marked...))
}

// requestsAt counts the requests that engines have received.
func (d *deployment) requestsAt(names ...string) int {
	sum := 0
	for _, name := range names {
		sum += len(d.engines[name].Record().Requests)
	}
	return sum
}

var _ = Describe("A leaving upstream", func() {
	var (
		d       *deployment
		a, b    *daemon
		leaving = []string{"lm-1", "lm-2"}
	)

	BeforeEach(func() {
		d = newDeployment("botiquin")
		for _, name := range []string{"lm-1", "lm-2", "lm-3"} {
			d.addEngine(name, "lm-pool", "mty-a", engine.Options{TokenTime: time.Millisecond})
		}
		// Listed as cheap before any instance decides on counts.
		for n := range d.members {
			if slices.Contains(leaving, d.members[n].Name) {
				d.members[n].Cost = objects.CostCheap
			}
		}
		d.platform.SetMembers(slices.Clone(d.members))
		a, b = d.startDaemon("entry-a", "mty-a"), d.startDaemon("entry-b", "mty-a")
		for _, one := range []*daemon{a, b} {
			Eventually(func() int { return one.complete(demoKey("restockplans"), "warm", 1, false).status }).Should(Equal(200))
		}
	})

	// batch sends requests through both instances, more at once than one engine
	// is given, and returns how many reached the leaving engines.
	batch := func() int {
		before := d.requestsAt(leaving...)
		answers := make(chan answer)
		const requests = 20
		for range requests {
			for _, one := range []*daemon{a, b} {
				go func() {
					defer GinkgoRecover()
					answers <- one.complete(demoKey("restockplans"), "x", 3, false)
				}()
			}
		}
		for range 2 * requests {
			Expect((<-answers).status).To(Equal(200))
		}
		return d.requestsAt(leaving...) - before
	}

	sayLeaving := func() {
		for _, name := range leaving {
			d.engines[name].SetFaults(engine.Faults{Leaving: true})
		}
	}

	DescribeTable("gets no new work after a few seconds",
		func(notice func()) {
			Expect(batch()).To(BeNumerically(">", 0))
			notice()
			Eventually(batch, leavingBound).Should(BeZero())
			Consistently(batch, time.Second).Should(BeZero())
		},
		Entry("when the list says so", func() { d.setLeaving(leaving...) }),
		Entry("when only its load report says so", sayLeaving),
		Entry("when its load report says so and the list is stale", func() {
			d.platform.SetFaults(standin.Faults{StaleList: true})
			d.setLeaving(leaving...)
			sayLeaving()
		}),
		Entry("when its load report says so and the platform is down", func() {
			d.platform.SetFaults(standin.Faults{Down: true})
			sayLeaving()
		}),
	)

	// ordered returns the last count ordered of the engines of a cost class.
	ordered := func(cost objects.CostClass) int {
		count := -1
		for _, o := range d.platform.Record().Scale {
			if o.Service == "lm-pool" && o.Domain == "mty-a" && o.Cost == cost {
				count = o.Count
			}
		}
		return count
	}

	It("that is cheap is replaced by dear ones under the cost limit, with a whole domain's cheap ones taken at once", func() {
		const streams = 40 // 16 slots an engine, four fifths of them used: 4 engines
		for range streams {
			go func() { _ = a.complete(demoKey("restockplans"), "long", 100000, true) }()
		}
		Eventually(func() []int { return []int{ordered(objects.CostDear), ordered(objects.CostCheap)} }).Should(Equal([]int{2, 2}))
		sayLeaving()
		Eventually(func() []int { return []int{ordered(objects.CostDear), ordered(objects.CostCheap)} }, 2*leavingBound).Should(Equal([]int{3, 0}))
		d.expectOneOrderer("mty-a")
	})
})
