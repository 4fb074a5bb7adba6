package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/fleet"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/upstream"
)

// Scaling is a domain whose platform brings what was ordered after a delay. It
// is not safe for concurrent use.
type Scaling struct {
	// Live and Leaving are the upstreams there are, and the cheap ones that are
	// being taken away.
	Live    fleet.Counts
	Leaving int
	// NoCheap makes the platform bring no cheap upstreams.
	CheapUnavailable bool

	Orders        []fleet.Counts // that differ from the one before
	ShortfallTime time.Duration  // time with fewer slots than requests
	UpstreamHours float64        // what ran

	scaler *fleet.Scaler
	limit  contract.CostLimit
	now    time.Time
}

// NewScaling returns a domain with one dear upstream.
func NewScaling(limit contract.CostLimit, limits fleet.ScaleLimits) *Scaling {
	return &Scaling{scaler: fleet.NewScaler(limits), limit: limit, now: time.Unix(0, 0), Live: fleet.Counts{Dear: 1}}
}

const (
	// scaleStep is the time between two decisions.
	scaleStep = 2 * time.Second
	// arrival is the time between two arrivals of ordered upstreams.
	arrival = 20 * time.Second
)

func (s *Scaling) upstreams() []upstream.Upstream {
	var all []upstream.Upstream
	add := func(n int, cost objects.CostClass, leaving bool) {
		for range n {
			all = append(all, upstream.Upstream{Member: objects.Member{Cost: cost, Leaving: leaving}})
		}
	}
	add(s.Live.Dear, objects.CostDear, false)
	add(s.Live.Cheap, objects.CostCheap, false)
	add(s.Leaving, objects.CostCheap, true)
	return all
}

// Play runs the scaler for d, a decision each scaleStep.
func (s *Scaling) Run(d time.Duration, demand func(time.Duration) fleet.Demand) {
	arriving := s.Live
	for t := time.Duration(0); t < d; t += scaleStep {
		want := demand(t)
		if counts, ok := s.scaler.Next(s.limit, want, s.upstreams(), s.now); ok {
			if len(s.Orders) == 0 || s.Orders[len(s.Orders)-1] != counts {
				s.Orders = append(s.Orders, counts)
			}
			arriving = counts
		}
		if t%arrival == 0 {
			s.Live = arriving
			if s.CheapUnavailable {
				s.Live.Cheap = 0
			}
		}
		if want.Total() > (s.Live.Dear+s.Live.Cheap)*want.Slots {
			s.ShortfallTime += scaleStep
		}
		s.UpstreamHours += float64(s.Live.Dear+s.Live.Cheap) * scaleStep.Hours()
		s.now = s.now.Add(scaleStep)
	}
}

// Last returns the counts ordered last, or what there is when none were.
func (s *Scaling) LastOrder() fleet.Counts {
	if len(s.Orders) == 0 {
		return s.Live
	}
	return s.Orders[len(s.Orders)-1]
}

// Swinging returns a demand that follows the day and varies by a third.
func DailyDemand() func(time.Duration) fleet.Demand {
	random := rand.New(rand.NewPCG(1, 1))
	return func(t time.Duration) fleet.Demand {
		day := 80 - 60*math.Cos(2*math.Pi*t.Hours()/24)
		return fleet.Demand{Running: int(day * (0.7 + 0.6*random.Float64())), Slots: 16}
	}
}

// Constant returns a demand that stays.
func ConstantDemand(running, desk int) func(time.Duration) fleet.Demand {
	return func(time.Duration) fleet.Demand { return fleet.Demand{Running: running, Interactive: desk, Slots: 16} }
}
