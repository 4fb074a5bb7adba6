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

// Scaling models a failure domain whose platform provisions the ordered
// upstreams after a delay. It is not safe for concurrent use.
type Scaling struct {
	// Live counts the running upstreams; Leaving counts the cheap ones that are
	// being reclaimed, which Live does not include.
	Live    fleet.Counts
	Leaving int
	// CheapUnavailable makes the platform provision no cheap upstreams.
	CheapUnavailable bool

	Orders        []fleet.Counts // without repetitions of the previous order
	ShortfallTime time.Duration  // with fewer slots than requests
	UpstreamHours float64        // of dear and cheap upstreams that ran

	scaler *fleet.Scaler
	limit  contract.CostLimit
	now    time.Time
}

// NewScaling returns a domain with one running dear upstream.
func NewScaling(limit contract.CostLimit, limits fleet.ScaleLimits) *Scaling {
	return &Scaling{scaler: fleet.NewScaler(limits), limit: limit, now: time.Unix(0, 0), Live: fleet.Counts{Dear: 1}}
}

const (
	// scaleInterval is the time between two decisions.
	scaleInterval = 2 * time.Second
	// provisionInterval is the time between two points at which ordered upstreams
	// become available.
	provisionInterval = 20 * time.Second
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

// Run runs the scaler for d, with one decision per scaleInterval.
func (s *Scaling) Run(d time.Duration, demand func(time.Duration) fleet.Demand) {
	ordered := s.Live
	for t := time.Duration(0); t < d; t += scaleInterval {
		want := demand(t)
		if counts, ok := s.scaler.Next(s.limit, want, s.upstreams(), s.now); ok {
			if len(s.Orders) == 0 || s.Orders[len(s.Orders)-1] != counts {
				s.Orders = append(s.Orders, counts)
			}
			ordered = counts
		}
		if t%provisionInterval == 0 {
			s.Live = ordered
			if s.CheapUnavailable {
				s.Live.Cheap = 0
			}
		}
		if want.Total() > (s.Live.Dear+s.Live.Cheap)*want.Slots {
			s.ShortfallTime += scaleInterval
		}
		s.UpstreamHours += float64(s.Live.Dear+s.Live.Cheap) * scaleInterval.Hours()
		s.now = s.now.Add(scaleInterval)
	}
}

// LastOrder returns the latest order, or the running counts if there was none.
func (s *Scaling) LastOrder() fleet.Counts {
	if len(s.Orders) == 0 {
		return s.Live
	}
	return s.Orders[len(s.Orders)-1]
}

// DailyDemand returns a demand that follows a daily cycle, with random variation
// of up to 30 % in both directions.
func DailyDemand() func(time.Duration) fleet.Demand {
	random := rand.New(rand.NewPCG(1, 1))
	return func(t time.Duration) fleet.Demand {
		day := 80 - 60*math.Cos(2*math.Pi*t.Hours()/24)
		return fleet.Demand{Running: int(day * (0.7 + 0.6*random.Float64())), Slots: 16}
	}
}

// ConstantDemand returns a demand that does not change.
func ConstantDemand(running, desk int) func(time.Duration) fleet.Demand {
	return func(time.Duration) fleet.Demand { return fleet.Demand{Running: running, Interactive: desk, Slots: 16} }
}
