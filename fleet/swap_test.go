package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/fleet"
	"github.com/pomelocross/pomelocross/internal/experiment"
	"github.com/pomelocross/pomelocross/upstream"
)

var _ = Describe("Swaps", func() {
	const domainEngines = 53
	limits := fleet.DefaultSwapLimits()
	start := time.Unix(0, 0)
	const (
		tick      = 250 * time.Millisecond
		reportLag = time.Second // within which an order must show in a report
	)

	DescribeTable("bring a version to a domain's engines within the limit, with few away",
		func(loadTime time.Duration, storeFit int, within bool, most int) {
			r := experiment.NewDomain(domainEngines, loadTime, storeFit).SwapWeights(fleet.NewSwapper(limits), time.Minute)
			Expect(r.Elapsed <= limits.Within).To(Equal(within), "%+v", r)
			Expect(r.MaxUnavailable).To(BeNumerically("<=", most), "%+v", r)
			Expect(r.Orders).To(Equal(domainEngines))
		},
		Entry("loads of 0.5 s", 500*time.Millisecond, domainEngines, true, domainEngines/2),
		Entry("loads of 1 s", time.Second, domainEngines, true, domainEngines/2),
		Entry("loads of 2 s", 2*time.Second, domainEngines, true, domainEngines/2),
		Entry("loads of 1 s, store carries 10", time.Second, 10, true, domainEngines/2),
	)

	It("order the idlest engines first and leave out leaving and loading ones", func() {
		all := experiment.Engines(6, 1)
		all[0].Leaving = true
		all[1].Load.Loading = 2
		all[2].Load.Running, all[3].Load.Running, all[4].Load.Running, all[5].Load.Running = 9, 1, 4, 0
		var names []string
		for _, swap := range fleet.NewSwapper(fixedShare(0.6)).Next(all, "m", 2, start) {
			names = append(names, swap.Upstream)
		}
		Expect(names).To(Equal([]string{"lm-005", "lm-003"}))
	})

	It("believe what engines report over what was ordered or claimed", func() {
		s, all := fleet.NewSwapper(limits), experiment.Engines(1, 1)
		Expect(s.Next(all, "m", 2, start)).To(HaveLen(1))
		Expect(s.Next(all, "m", 2, start.Add(reportLag/2))).To(BeEmpty())
		Expect(s.Next(all, "m", 2, start.Add(reportLag))).To(BeEmpty()) // counted as failed
		Expect(s.Next(all, "m", 2, start.Add(reportLag+limits.Retry))).To(HaveLen(1))
		all[0].Load.WeightVersion = 2 // without an order's load ever seen
		Expect(s.Next(all, "m", 2, start.Add(time.Minute))).To(BeEmpty())
	})

	It("pause longer after each failed load and begin anew with a new version", func() {
		d := experiment.NewDomain(4, 500*time.Millisecond, 4)
		d.LoadFails = func(name string, _ int) bool { return name == "lm-000" }
		s := fleet.NewSwapper(limits)
		r := d.SwapWeights(s, time.Minute)
		Expect(d.Current()).To(Equal(3))
		Expect(r.Orders).To(BeNumerically("<=", 3+7), "one a second at first, then ever fewer")
		Expect(r.Orders).To(BeNumerically(">", 3+3))
		Expect(s.Next(d.Engines, "m", 3, start.Add(time.Minute))).NotTo(BeEmpty())
	})

	It("order an engine at once for a version named while it loads an earlier one", func() {
		s, all := fleet.NewSwapper(limits), experiment.Engines(1, 1)
		Expect(s.Next(all, "m", 2, start)).To(HaveLen(1))
		all[0].Load.Loading = 2
		Expect(s.Next(all, "m", 2, start.Add(tick))).To(BeEmpty())
		Expect(s.Next(all, "m", 3, start.Add(2*tick))).To(BeEmpty())
		all[0].Load.Loading, all[0].Load.WeightVersion = 0, 2
		Expect(s.Next(all, "m", 3, start.Add(3*tick))).To(HaveLen(1))
		// The earlier load is not taken for a failed order, which would be given
		// again a retry pause after the next decision.
		for n := time.Duration(4); n*tick < 3*tick+reportLag+limits.Retry; n++ {
			Expect(s.Next(all, "m", 3, start.Add(n*tick))).To(BeEmpty())
		}
	})

	It("learn what the weight store carries and keep no more away than that", func() {
		const carried = 10
		s, d := fleet.NewSwapper(limits), experiment.NewDomain(domainEngines, 3*time.Second, carried)
		first := d.SwapWeights(s, time.Minute)
		var last experiment.SwapResult
		for range learnedVersions {
			last = d.SwapWeights(s, time.Minute)
		}
		Expect(last.MaxUnavailable).To(BeNumerically("<=", 2*carried), "%+v", last)
		Expect(last.Elapsed).To(BeNumerically("<=", first.Elapsed+first.Elapsed/4), "%+v after %+v", last, first)
		d.StoreCapacity = domainEngines
		for range learnedVersions {
			last = d.SwapWeights(s, time.Minute)
		}
		Expect(last.Elapsed).To(BeNumerically("<=", limits.Within), "%+v", last)
	})

	It("bring a version to the others in time while some engines fail", func() {
		d := experiment.NewDomain(domainEngines, time.Second, domainEngines)
		d.LoadFails = func(name string, try int) bool { return try == 1 && name < "lm-006" }
		Expect(d.SwapWeights(fleet.NewSwapper(limits), time.Minute).Elapsed).To(BeNumerically("<=", limits.Within))
	})

	It("order engines that serve another model, whatever their version", func() {
		all := experiment.Engines(2, 7)
		all[0].Load.Model, all[1].Load.Model = "other", "m"
		Expect(fleet.NewSwapper(limits).Next(all, "m", 7, start)).To(Equal([]fleet.Swap{{Upstream: "lm-000", Model: "m", WeightVersion: 7}}))
	})

	It("forget engines that are gone", func() {
		s, all := fleet.NewSwapper(limits), experiment.Engines(1, 1)
		Expect(s.Next(all, "m", 2, start)).To(HaveLen(1))
		Expect(s.Next(all, "m", 2, start.Add(reportLag))).To(BeEmpty())
		Expect(s.Next([]upstream.Upstream{}, "m", 2, start.Add(reportLag))).To(BeEmpty())
		Expect(s.Next(all, "m", 2, start.Add(reportLag))).To(HaveLen(1), "no pause for the new one")
	})
})
