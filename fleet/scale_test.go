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

	DescribeTable("converges to the counts for the demand within the cost limit",
		func(limit contract.CostLimit, running, interactive int, want fleet.Counts) {
			s := experiment.NewScaling(limit, fleet.DefaultScaleLimits())
			s.Run(time.Minute, experiment.ConstantDemand(running, interactive))
			Expect(s.LastOrder()).To(Equal(want))
		},
		Entry("no demand keeps the minimum", limit, 0, 0, fleet.Counts{Dear: 1}),
		Entry("requests that may be lost prefer cheap upstreams", limit, 64, 0, fleet.Counts{Dear: 1, Cheap: 4}),
		Entry("requests beyond the limit of cheap upstreams run on dear ones", limit, 160, 0, fleet.Counts{Dear: 5, Cheap: 8}),
		Entry("interactive requests run on dear upstreams", limit, 64, 64, fleet.Counts{Dear: 5}),
		Entry("demand beyond the limits is cut to the limits", limit, 10000, 5000, fleet.Counts{Dear: 12, Cheap: 8}),
		Entry("interactive requests run on cheap upstreams if the limit allows no dear ones", contract.CostLimit{MaxCheap: 3, MinReady: 1}, 64, 64, fleet.Counts{Cheap: 3}),
	)

	It("does not thrash under fluctuating demand", func() {
		s := experiment.NewScaling(limit, fleet.DefaultScaleLimits())
		s.Run(24*time.Hour, experiment.DailyDemand())
		Expect(len(s.Orders)).To(BeNumerically("<=", 6*24), "changes per day")
		Expect(s.ShortfallTime).To(BeNumerically("<", 24*time.Hour/100))
	})

	It("replaces reclaimed cheap upstreams with dear ones at the next decision", func() {
		s := experiment.NewScaling(limit, fleet.DefaultScaleLimits())
		s.Run(time.Minute, experiment.ConstantDemand(64, 0))
		s.Leaving, s.Live.Cheap, s.CheapUnavailable = s.Live.Cheap, 0, true
		s.Run(2*time.Second, experiment.ConstantDemand(64, 0))
		Expect(s.LastOrder()).To(Equal(fleet.Counts{Dear: 5, Cheap: 0}))
		s.Leaving = 0
		s.Run(time.Hour, experiment.ConstantDemand(64, 0))
		Expect(s.LastOrder().Dear).To(Equal(5))
		Expect(len(s.Orders)).To(BeNumerically("<=", 2+2*8), "cheap upstreams are retried with increasing delay")
	})

	It("returns to cheap upstreams when they are available again", func() {
		s := experiment.NewScaling(limit, fleet.DefaultScaleLimits())
		s.CheapUnavailable = true
		s.Run(20*time.Minute, experiment.ConstantDemand(64, 0))
		s.CheapUnavailable = false
		s.Run(time.Hour, experiment.ConstantDemand(64, 0))
		Expect(s.LastOrder()).To(Equal(fleet.Counts{Dear: 1, Cheap: 4}))
	})

	It("repeats an unchanged order after RepeatInterval", func() {
		s, orderedAt := fleet.NewScaler(fleet.DefaultScaleLimits()), []int{}
		for t := range 120 {
			if _, ok := s.Next(limit, fleet.Demand{Slots: 16}, nil, time.Unix(int64(t), 0)); ok {
				orderedAt = append(orderedAt, t)
			}
		}
		Expect(orderedAt).To(Equal([]int{2, 32, 62, 92}))
	})

	It("does not cancel upstreams that a predecessor ordered and that have not arrived yet", func() {
		s, live := fleet.NewScaler(fleet.DefaultScaleLimits()), experiment.Engines(4, 1)
		busy := fleet.Demand{Running: 40, Interactive: 40, Slots: 16} // requires four upstreams
		for t := range 60 {
			_, ok := s.Next(limit, busy, live, time.Unix(int64(t), 0))
			Expect(ok).To(BeFalse(), "at %d s", t)
		}
	})
})
