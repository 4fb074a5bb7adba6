package fleet

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/platform"
	"github.com/pomelocross/pomelocross/upstream"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Fleet")
}

// engines returns n engines of a domain that run a weight version.
func engines(n int, version int64) []upstream.Upstream {
	all := make([]upstream.Upstream, n)
	for i := range all {
		all[i] = upstream.Upstream{
			Member: platform.Member{Name: fmt.Sprintf("lm-%03d", i), Cost: platform.CostDear},
			Load:   upstream.Load{WeightVersion: version, Running: i % 7},
		}
	}
	return all
}

// domainSim is a domain's engines before a weight store that carries a bounded
// number of loads at full speed.
type domainSim struct {
	all      []upstream.Upstream
	left     map[string]time.Duration // of work, by engine
	loadTime time.Duration            // of one load alone
	storeFit int                      // loads that the store carries at full speed
	fails    func(name string, try int) bool
	tries    map[string]int
}

func newDomainSim(n int, loadTime time.Duration, storeFit int) *domainSim {
	return &domainSim{
		all: engines(n, 1), left: map[string]time.Duration{}, loadTime: loadTime, storeFit: storeFit,
		fails: func(string, int) bool { return false }, tries: map[string]int{},
	}
}

const simTick = 250 * time.Millisecond

// result is what one naming of weights cost.
type result struct {
	last     time.Duration // until the last engine ran the version
	mostAway int
	awaySum  time.Duration // engine time away
	orders   int
}

// play names version 2 and lets the swapper see reports that lag a tick.
func (d *domainSim) play(s *Swapper, limit time.Duration) result {
	start := time.Unix(0, 0)
	r := result{last: limit}
	for t := time.Duration(0); t < limit; t += simTick {
		for _, swap := range s.Next(d.all, "m", 2, start.Add(t)) {
			r.orders++
			d.tries[swap.Upstream]++
			d.left[swap.Upstream] = d.loadTime
		}
		r.mostAway = max(r.mostAway, len(d.left))
		r.awaySum += time.Duration(len(d.left)) * simTick
		d.advance()
		if d.current() == len(d.all) {
			r.last = t + simTick
			return r
		}
	}
	return r
}

func (d *domainSim) advance() {
	speed := min(1, float64(d.storeFit)/float64(max(1, len(d.left))))
	for i := range d.all {
		e := &d.all[i]
		left, loading := d.left[e.Name]
		if !loading {
			continue
		}
		left -= time.Duration(float64(simTick) * speed)
		e.Load.Loading = 2
		d.left[e.Name] = left
		if left > 0 {
			continue
		}
		delete(d.left, e.Name)
		e.Load.Loading = 0
		if !d.fails(e.Name, d.tries[e.Name]) {
			e.Load.WeightVersion = 2
		}
	}
}

func (d *domainSim) current() int {
	count := 0
	for _, e := range d.all {
		if e.Load.WeightVersion == 2 {
			count++
		}
	}
	return count
}
