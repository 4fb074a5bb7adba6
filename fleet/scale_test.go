package fleet

import (
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/platform"
	"github.com/pomelocross/pomelocross/upstream"
)

// scaleSim is a domain whose platform brings what was ordered after a delay.
type scaleSim struct {
	scaler  *Scaler
	limit   contract.CostLimit
	now     time.Time
	live    Counts
	leaving int  // cheap upstreams that leave
	noCheap bool // the platform brings no cheap ones
	orders  []Counts
	short   time.Duration // time with less live than the demand needs
}

func newScaleSim(limit contract.CostLimit) *scaleSim {
	return &scaleSim{scaler: NewScaler(DefaultScaleLimits()), limit: limit, now: time.Unix(0, 0), live: Counts{Dear: 1}}
}

func (s *scaleSim) upstreams() []upstream.Upstream {
	var all []upstream.Upstream
	add := func(n int, cost platform.CostClass, leaving bool) {
		for range n {
			all = append(all, upstream.Upstream{Member: platform.Member{Cost: cost, Leaving: leaving}})
		}
	}
	add(s.live.Dear, platform.CostDear, false)
	add(s.live.Cheap, platform.CostCheap, false)
	add(s.leaving, platform.CostCheap, true)
	return all
}

// play runs the scaler for d, a decision every two seconds.
func (s *scaleSim) play(d time.Duration, demand func(time.Duration) Demand) {
	const step = 2 * time.Second
	arriving := s.live
	for t := time.Duration(0); t < d; t += step {
		want := demand(t)
		if counts, ok := s.scaler.Next(s.limit, want, s.upstreams(), s.now); ok {
			if len(s.orders) == 0 || s.orders[len(s.orders)-1] != counts {
				s.orders = append(s.orders, counts)
			}
			arriving = counts
		}
		if t%(20*time.Second) == 0 {
			s.live = arriving
			if s.noCheap {
				s.live.Cheap = 0
			}
		}
		if want.Total() > (s.live.Dear+s.live.Cheap)*want.Slots {
			s.short += step
		}
		s.now = s.now.Add(step)
	}
}

func (s *scaleSim) last() Counts { return s.orders[len(s.orders)-1] }

func constant(running, desk int) func(time.Duration) Demand {
	return func(time.Duration) Demand { return Demand{Running: running, Desk: desk, Slots: 16} }
}

var _ = Describe("Scaling", func() {
	limit := contract.CostLimit{MaxDear: 12, MaxCheap: 8, MinReady: 1}

	DescribeTable("settles at what demand needs within the cost limit",
		func(limit contract.CostLimit, running, desk int, want Counts) {
			s := newScaleSim(limit)
			s.play(time.Minute, constant(running, desk))
			Expect(s.last()).To(Equal(want))
		},
		Entry("no demand keeps the minimum", limit, 0, 0, Counts{Dear: 1}),
		Entry("work that may be lost goes to cheap ones first", limit, 64, 0, Counts{Dear: 1, Cheap: 4}),
		Entry("and to dear ones beyond the limit of cheap", limit, 160, 0, Counts{Dear: 5, Cheap: 8}),
		Entry("work that may not stays on dear ones", limit, 64, 64, Counts{Dear: 5}),
		Entry("never beyond the limits", limit, 10000, 5000, Counts{Dear: 12, Cheap: 8}),
		Entry("a limit without dear ones is kept", contract.CostLimit{MaxCheap: 3, MinReady: 1}, 64, 64, Counts{Cheap: 3}),
	)

	It("does not thrash under a demand that swings", func() {
		s := newScaleSim(limit)
		random := rand.New(rand.NewPCG(1, 1))
		s.play(24*time.Hour, func(t time.Duration) Demand {
			day := 80 - 60*math.Cos(2*math.Pi*t.Hours()/24)
			return Demand{Running: int(day * (0.7 + 0.6*random.Float64())), Slots: 16}
		})
		Expect(len(s.orders)).To(BeNumerically("<=", 6*24), "changes in a day")
		Expect(s.short).To(BeNumerically("<", 24*time.Hour/100))
	})

	It("replaces reclaimed cheap upstreams by dear ones at the next decision", func() {
		s := newScaleSim(limit)
		s.play(time.Minute, constant(64, 0))
		s.leaving, s.live.Cheap, s.noCheap = s.live.Cheap, 0, true
		s.play(2*time.Second, constant(64, 0))
		Expect(s.last()).To(Equal(Counts{Dear: 5, Cheap: 0}))
		s.leaving = 0
		s.play(time.Hour, constant(64, 0))
		Expect(s.last().Dear).To(Equal(5))
		Expect(len(s.orders)).To(BeNumerically("<=", 2+2*8), "cheap ones are tried again ever later")
	})

	It("returns to cheap upstreams when they come again", func() {
		s := newScaleSim(limit)
		s.noCheap = true
		s.play(20*time.Minute, constant(64, 0))
		s.noCheap = false
		s.play(time.Hour, constant(64, 0))
		Expect(s.last()).To(Equal(Counts{Dear: 1, Cheap: 4}))
	})

	It("gives an unchanged order again in case it was lost", func() {
		s, given := NewScaler(DefaultScaleLimits()), 0
		for t := range 120 {
			if _, ok := s.Next(limit, Demand{Slots: 16}, nil, time.Unix(int64(t), 0)); ok {
				given++
			}
		}
		Expect(given).To(Equal(4 + 1)) // one for the minimum, which is not live
	})
})
