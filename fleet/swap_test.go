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
		reportLag = time.Second // time until an order must be visible in a report
	)

	DescribeTable("load a version on all engines of a domain in time, with few unavailable at once",
		func(loadTime time.Duration, storeCapacity int, inTime bool, maxUnavailable int) {
			r := experiment.NewDomain(domainEngines, loadTime, storeCapacity).SwapWeights(fleet.NewSwapper(limits), time.Minute)
			Expect(r.Elapsed <= limits.CompleteWithin).To(Equal(inTime), "%+v", r)
			Expect(r.MaxUnavailable).To(BeNumerically("<=", maxUnavailable), "%+v", r)
			Expect(r.Orders).To(Equal(domainEngines))
		},
		Entry("loads of 0.5 s", 500*time.Millisecond, domainEngines, true, domainEngines/2),
		Entry("loads of 1 s", time.Second, domainEngines, true, domainEngines/2),
		Entry("loads of 2 s", 2*time.Second, domainEngines, true, domainEngines/2),
		Entry("loads of 1 s, store capacity of 10", time.Second, 10, true, domainEngines/2),
	)

	It("order the least busy engines first and skip leaving and loading ones", func() {
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

	It("repeat an order until the engine reports the ordered version", func() {
		s, all := fleet.NewSwapper(limits), experiment.Engines(1, 1)
		Expect(s.Next(all, "m", 2, start)).To(HaveLen(1))
		Expect(s.Next(all, "m", 2, start.Add(reportLag/2))).To(BeEmpty())
		Expect(s.Next(all, "m", 2, start.Add(reportLag))).To(BeEmpty()) // recorded as a failure
		Expect(s.Next(all, "m", 2, start.Add(reportLag+limits.RetryDelay))).To(HaveLen(1))
		all[0].Load.WeightVersion = 2 // without a reported load
		Expect(s.Next(all, "m", 2, start.Add(time.Minute))).To(BeEmpty())
	})

	It("back off after each failed load and reset the delay for a new version", func() {
		d := experiment.NewDomain(4, 500*time.Millisecond, 4)
		d.LoadFails = func(name string, _ int) bool { return name == "lm-000" }
		s := fleet.NewSwapper(limits)
		r := d.SwapWeights(s, time.Minute)
		Expect(d.Current()).To(Equal(3))
		Expect(r.Orders).To(BeNumerically("<=", 3+7), "one order per second at first, then fewer")
		Expect(r.Orders).To(BeNumerically(">", 3+3))
		Expect(s.Next(d.Engines, "m", 3, start.Add(time.Minute))).NotTo(BeEmpty())
	})

	It("order an engine immediately for a version published while it loaded an earlier one", func() {
		s, all := fleet.NewSwapper(limits), experiment.Engines(1, 1)
		Expect(s.Next(all, "m", 2, start)).To(HaveLen(1))
		all[0].Load.Loading = 2
		Expect(s.Next(all, "m", 2, start.Add(tick))).To(BeEmpty())
		Expect(s.Next(all, "m", 3, start.Add(2*tick))).To(BeEmpty())
		all[0].Load.Loading, all[0].Load.WeightVersion = 0, 2
		Expect(s.Next(all, "m", 3, start.Add(3*tick))).To(HaveLen(1))
		// The earlier load must not count as a failed order, which would be repeated
		// RetryDelay after the next decision.
		for n := time.Duration(4); n*tick < 3*tick+reportLag+limits.RetryDelay; n++ {
			Expect(s.Next(all, "m", 3, start.Add(n*tick))).To(BeEmpty())
		}
	})

	It("estimate the capacity of the weight store and limit concurrent loads to it", func() {
		const storeCapacity = 10
		s, d := fleet.NewSwapper(limits), experiment.NewDomain(domainEngines, 3*time.Second, storeCapacity)
		first := d.SwapWeights(s, time.Minute)
		var last experiment.SwapResult
		for range warmupVersions {
			last = d.SwapWeights(s, time.Minute)
		}
		Expect(last.MaxUnavailable).To(BeNumerically("<=", 2*storeCapacity), "%+v", last)
		Expect(last.Elapsed).To(BeNumerically("<=", first.Elapsed+first.Elapsed/4), "%+v after %+v", last, first)
		d.StoreCapacity = domainEngines
		for range warmupVersions {
			last = d.SwapWeights(s, time.Minute)
		}
		Expect(last.Elapsed).To(BeNumerically("<=", limits.CompleteWithin), "%+v", last)
	})

	// Once a load report was late, so that a load seemed to take a quarter of its time, every
	// later load counted as slowed by the weight store. The versions after it took up to 18 s.
	It("load later versions in time after the load reports of one version were late", func() {
		const loadTime = time.Second
		s, reports := fleet.NewSwapper(limits), experiment.Engines(domainEngines, 1)
		ordered := map[string]bool{}
		for _, swap := range s.Next(reports, "m", 2, start) {
			ordered[swap.Upstream] = true
		}
		report := func(loading, version int64, at time.Duration) {
			for n := range reports {
				if ordered[reports[n].Name] {
					reports[n].Load.Loading, reports[n].Load.WeightVersion = loading, version
				}
			}
			s.Next(reports, "m", 2, start.Add(at))
		}
		report(2, 1, loadTime-tick)
		report(0, 2, loadTime)
		d := experiment.NewDomain(domainEngines, loadTime, domainEngines)
		d.SwapWeights(s, time.Minute) // the rest of version 2
		for range 3 {
			Expect(d.SwapWeights(s, time.Minute).Elapsed).To(BeNumerically("<=", limits.CompleteWithin))
		}
	})

	It("load a version in time when the first loads of some engines fail", func() {
		d := experiment.NewDomain(domainEngines, time.Second, domainEngines)
		d.LoadFails = func(name string, attempt int) bool { return attempt == 1 && name < "lm-006" }
		Expect(d.SwapWeights(fleet.NewSwapper(limits), time.Minute).Elapsed).To(BeNumerically("<=", limits.CompleteWithin))
	})

	It("order engines that serve another model regardless of their version", func() {
		all := experiment.Engines(2, 7)
		all[0].Load.Model, all[1].Load.Model = "other", "m"
		Expect(fleet.NewSwapper(limits).Next(all, "m", 7, start)).To(Equal([]fleet.Swap{{Upstream: "lm-000", Model: "m", WeightVersion: 7}}))
	})

	It("drop the state of engines that are no longer listed", func() {
		s, all := fleet.NewSwapper(limits), experiment.Engines(1, 1)
		Expect(s.Next(all, "m", 2, start)).To(HaveLen(1))
		Expect(s.Next(all, "m", 2, start.Add(reportLag))).To(BeEmpty())
		Expect(s.Next([]upstream.Upstream{}, "m", 2, start.Add(reportLag))).To(BeEmpty())
		Expect(s.Next(all, "m", 2, start.Add(reportLag))).To(HaveLen(1), "no delay for the new engine")
	})
})
