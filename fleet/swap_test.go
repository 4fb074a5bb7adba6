package fleet

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/upstream"
)

var _ = Describe("Swaps", func() {
	const domainEngines = 53
	limits := DefaultSwapLimits()
	start := time.Unix(0, 0)

	DescribeTable("bring a version to a domain's engines within the limit, with few away",
		func(loadTime time.Duration, storeFit int, within bool, most int) {
			r := newDomainSim(domainEngines, loadTime, storeFit).play(NewSwapper(limits), time.Minute)
			Expect(r.last <= limits.Within).To(Equal(within), "%+v", r)
			Expect(r.mostAway).To(BeNumerically("<=", most), "%+v", r)
			Expect(r.orders).To(Equal(domainEngines))
		},
		Entry("loads of 0.5 s", 500*time.Millisecond, domainEngines, true, domainEngines/2),
		Entry("loads of 1 s", time.Second, domainEngines, true, domainEngines/2),
		Entry("loads of 2 s", 2*time.Second, domainEngines, true, domainEngines/2),
		Entry("loads of 1 s, store carries 10", time.Second, 10, true, domainEngines/2),
	)

	It("order the idlest engines first and leave out leaving and loading ones", func() {
		all := engines(6, 1)
		all[0].Leaving = true
		all[1].Load.Loading = 2
		all[2].Load.Running, all[3].Load.Running, all[4].Load.Running, all[5].Load.Running = 9, 1, 4, 0
		var names []string
		for _, swap := range NewSwapper(fixedShare(0.6)).Next(all, "m", 2, start) {
			names = append(names, swap.Upstream)
		}
		Expect(names).To(Equal([]string{"lm-005", "lm-003"}))
	})

	It("believe what engines report over what was ordered or claimed", func() {
		s, all := NewSwapper(limits), engines(1, 1)
		Expect(s.Next(all, "m", 2, start)).To(HaveLen(1))
		Expect(s.Next(all, "m", 2, start.Add(reportLag/2))).To(BeEmpty())
		Expect(s.Next(all, "m", 2, start.Add(reportLag))).To(BeEmpty()) // counted as failed
		Expect(s.Next(all, "m", 2, start.Add(reportLag+limits.Retry))).To(HaveLen(1))
		all[0].Load.WeightVersion = 2 // without an order's load ever seen
		Expect(s.Next(all, "m", 2, start.Add(time.Minute))).To(BeEmpty())
	})

	It("pause longer after each failed load and begin anew with a new version", func() {
		d := newDomainSim(4, 500*time.Millisecond, 4)
		d.fails = func(name string, _ int) bool { return name == "lm-000" }
		s := NewSwapper(limits)
		r := d.play(s, time.Minute)
		Expect(d.current()).To(Equal(3))
		Expect(r.orders).To(BeNumerically("<=", 3+7), "one a second at first, then ever fewer")
		Expect(r.orders).To(BeNumerically(">", 3+3))
		Expect(s.Next(d.all, "m", 3, start.Add(time.Minute))).NotTo(BeEmpty())
	})

	It("bring a version to the others in time while some engines fail", func() {
		d := newDomainSim(domainEngines, time.Second, domainEngines)
		d.fails = func(name string, try int) bool { return try == 1 && name < "lm-006" }
		Expect(d.play(NewSwapper(limits), time.Minute).last).To(BeNumerically("<=", limits.Within))
	})

	It("forget engines that are gone", func() {
		s := NewSwapper(limits)
		s.Next(engines(8, 1), "m", 2, start)
		s.Next([]upstream.Upstream{}, "m", 2, start)
		Expect(s.engines).To(BeEmpty())
	})
})
