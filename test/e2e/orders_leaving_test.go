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

// leavingTimeout is the time after which a leaving upstream must get no new requests.
const leavingTimeout = 3 * time.Second

// markLeaving marks members as leaving in the instance list.
func (d *deployment) markLeaving(names ...string) {
	marked := append([]objects.Member(nil), d.members...)
	for n := range marked {
		for _, name := range names {
			marked[n].Leaving = marked[n].Leaving || marked[n].Name == name
		}
	}
	d.members = marked
	d.platform.SetMembers(append([]objects.Member(nil), marked...))
}

// requestCount returns the number of requests that engines have received.
func (d *deployment) requestCount(names ...string) int {
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
		// The cost class is set before any instance decides on the number of engines.
		for n := range d.members {
			if slices.Contains(leaving, d.members[n].Name) {
				d.members[n].Cost = objects.CostCheap
			}
		}
		d.platform.SetMembers(slices.Clone(d.members))
		a, b = d.startDaemon("entry-a", "mty-a"), d.startDaemon("entry-b", "mty-a")
		for _, inst := range []*daemon{a, b} {
			Eventually(func() int { return inst.complete(demoKey("restockplans"), "warm", 1, false).status }).Should(Equal(200))
		}
	})

	// sendRequests sends requests through both instances, more concurrently than one
	// engine is given, and returns how many reached the leaving engines.
	sendRequests := func() int {
		before := d.requestCount(leaving...)
		responses := make(chan response)
		const requests = 20
		for range requests {
			for _, inst := range []*daemon{a, b} {
				go func() {
					defer GinkgoRecover()
					responses <- inst.complete(demoKey("restockplans"), "x", 3, false)
				}()
			}
		}
		for range 2 * requests {
			Expect((<-responses).status).To(Equal(200))
		}
		return d.requestCount(leaving...) - before
	}

	reportLeaving := func() {
		for _, name := range leaving {
			d.engines[name].SetFaults(engine.Faults{Leaving: true})
		}
	}

	DescribeTable("gets no new requests after a few seconds",
		func(announceLeaving func()) {
			Expect(sendRequests()).To(BeNumerically(">", 0))
			announceLeaving()
			Eventually(sendRequests, leavingTimeout).Should(BeZero())
			Consistently(sendRequests, time.Second).Should(BeZero())
		},
		Entry("when it is marked in the instance list", func() { d.markLeaving(leaving...) }),
		Entry("when only its load report states it", reportLeaving),
		Entry("when its load report states it and the instance list is stale", func() {
			d.platform.SetFaults(standin.Faults{StaleList: true})
			d.markLeaving(leaving...)
			reportLeaving()
		}),
		Entry("when its load report states it and the platform is down", func() {
			d.platform.SetFaults(standin.Faults{Down: true})
			reportLeaving()
		}),
	)

	// orderedCount returns the last number of engines of a cost class that was ordered,
	// or -1 if none was.
	orderedCount := func(cost objects.CostClass) int {
		count := -1
		for _, o := range d.platform.Record().Scale {
			if o.Service == "lm-pool" && o.Domain == "mty-a" && o.Cost == cost {
				count = o.Count
			}
		}
		return count
	}

	It("of cost class cheap is replaced by dear ones within the cost limit when all cheap ones of a domain leave at once", func() {
		const streams = 40 // at 16 slots per engine and a target utilisation of four fifths, 4 engines
		for range streams {
			go func() { _ = a.complete(demoKey("restockplans"), "long", 100000, true) }()
		}
		Eventually(func() []int { return []int{orderedCount(objects.CostDear), orderedCount(objects.CostCheap)} }).Should(Equal([]int{2, 2}))
		reportLeaving()
		Eventually(func() []int { return []int{orderedCount(objects.CostDear), orderedCount(objects.CostCheap)} }, 2*leavingTimeout).Should(Equal([]int{3, 0}))
		d.expectNoOverlappingOrders("mty-a")
	})
})
