package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/fleet"
	"github.com/pomelocross/pomelocross/internal/experiment"
)

var _ = Describe("Scaling", func() {
	limit := contract.CostLimit{MaxDear: 12, MaxCheap: 8, MinReady: 1}

	DescribeTable("settles at what demand needs within the cost limit",
		func(limit contract.CostLimit, running, desk int, want fleet.Counts) {
			s := experiment.NewScaling(limit, fleet.DefaultScaleLimits())
			s.Run(time.Minute, experiment.ConstantDemand(running, desk))
			Expect(s.LastOrder()).To(Equal(want))
		},
		Entry("no demand keeps the minimum", limit, 0, 0, fleet.Counts{Dear: 1}),
		Entry("work that may be lost goes to cheap ones first", limit, 64, 0, fleet.Counts{Dear: 1, Cheap: 4}),
		Entry("and to dear ones beyond the limit of cheap", limit, 160, 0, fleet.Counts{Dear: 5, Cheap: 8}),
		Entry("work that may not stays on dear ones", limit, 64, 64, fleet.Counts{Dear: 5}),
		Entry("never beyond the limits", limit, 10000, 5000, fleet.Counts{Dear: 12, Cheap: 8}),
		Entry("a limit without dear ones is kept", contract.CostLimit{MaxCheap: 3, MinReady: 1}, 64, 64, fleet.Counts{Cheap: 3}),
	)

	It("does not thrash under a demand that swings", func() {
		s := experiment.NewScaling(limit, fleet.DefaultScaleLimits())
		s.Run(24*time.Hour, experiment.DailyDemand())
		Expect(len(s.Orders)).To(BeNumerically("<=", 6*24), "changes in a day")
		Expect(s.ShortfallTime).To(BeNumerically("<", 24*time.Hour/100))
	})

	It("replaces reclaimed cheap upstreams by dear ones at the next decision", func() {
		s := experiment.NewScaling(limit, fleet.DefaultScaleLimits())
		s.Run(time.Minute, experiment.ConstantDemand(64, 0))
		s.Leaving, s.Live.Cheap, s.CheapUnavailable = s.Live.Cheap, 0, true
		s.Run(2*time.Second, experiment.ConstantDemand(64, 0))
		Expect(s.LastOrder()).To(Equal(fleet.Counts{Dear: 5, Cheap: 0}))
		s.Leaving = 0
		s.Run(time.Hour, experiment.ConstantDemand(64, 0))
		Expect(s.LastOrder().Dear).To(Equal(5))
		Expect(len(s.Orders)).To(BeNumerically("<=", 2+2*8), "cheap ones are tried again ever later")
	})

	It("returns to cheap upstreams when they come again", func() {
		s := experiment.NewScaling(limit, fleet.DefaultScaleLimits())
		s.CheapUnavailable = true
		s.Run(20*time.Minute, experiment.ConstantDemand(64, 0))
		s.CheapUnavailable = false
		s.Run(time.Hour, experiment.ConstantDemand(64, 0))
		Expect(s.LastOrder()).To(Equal(fleet.Counts{Dear: 1, Cheap: 4}))
	})

	It("gives an unchanged order again in case it was lost", func() {
		s, given := fleet.NewScaler(fleet.DefaultScaleLimits()), []int{}
		for t := range 120 {
			if _, ok := s.Next(limit, fleet.Demand{Slots: 16}, nil, time.Unix(int64(t), 0)); ok {
				given = append(given, t)
			}
		}
		Expect(given).To(Equal([]int{2, 32, 62, 92}))
	})

	It("does not take back what a predecessor ordered and has not arrived", func() {
		s, live := fleet.NewScaler(fleet.DefaultScaleLimits()), experiment.Engines(4, 1)
		busy := fleet.Demand{Running: 40, Interactive: 40, Slots: 16} // fits four
		for t := range 60 {
			_, ok := s.Next(limit, busy, live, time.Unix(int64(t), 0))
			Expect(ok).To(BeFalse(), "at %d s", t)
		}
	})
})
