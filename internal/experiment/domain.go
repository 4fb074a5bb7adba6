// Package experiment plays decisions against small models of what they act on:
// a domain's engines before a weight store, a domain whose platform brings
// upstreams, and instances before a platform that fails. Tests and benchmarks
// read the results.
package experiment

import (
	"fmt"
	"time"

	"github.com/pomelocross/pomelocross/fleet"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/upstream"
)

// Engines returns n engines of a domain that run a weight version.
func Engines(n int, version int64) []upstream.Upstream {
	all := make([]upstream.Upstream, n)
	for i := range all {
		all[i] = upstream.Upstream{
			Member: objects.Member{Name: fmt.Sprintf("lm-%03d", i), Cost: objects.CostDear},
			Load:   upstream.Load{WeightVersion: version, Running: i % 7},
		}
	}
	return all
}

// Domain is a domain's engines before a weight store that carries a bounded
// number of loads at full speed. It is not safe for concurrent use.
type Domain struct {
	// All are the engines as they report.
	Engines []upstream.Upstream
	// StoreFit is how many loads the store carries at full speed.
	StoreCapacity int
	// Fails tells whether an engine's load under its nth order has no effect.
	LoadFails func(name string, try int) bool

	loadTime time.Duration            // of one load alone
	left     map[string]time.Duration // of work, by engine
	tries    map[string]int
	version  int64 // named last
}

// NewDomain returns n engines that take loadTime for a load alone.
func NewDomain(n int, loadTime time.Duration, storeFit int) *Domain {
	return &Domain{
		Engines: Engines(n, 1), left: map[string]time.Duration{}, loadTime: loadTime, StoreCapacity: storeFit, version: 1,
		LoadFails: func(string, int) bool { return false }, tries: map[string]int{},
	}
}

// tick is the time between two decisions.
const tick = 250 * time.Millisecond

// Result is what one naming of weights cost.
type SwapResult struct {
	Elapsed         time.Duration // until the last engine ran the version
	MaxUnavailable  int           // engines at once
	UnavailableTime time.Duration // engine time away
	Orders          int
}

// Play names the next version and lets the swapper see reports that lag a tick.
func (d *Domain) SwapWeights(s *fleet.Swapper, limit time.Duration) SwapResult {
	start := time.Unix(d.version*int64(limit/time.Second), 0)
	d.version++
	r := SwapResult{Elapsed: limit}
	for t := time.Duration(0); t < limit; t += tick {
		for _, swap := range s.Next(d.Engines, "m", d.version, start.Add(t)) {
			r.Orders++
			d.tries[swap.Upstream]++
			d.left[swap.Upstream] = d.loadTime
		}
		r.MaxUnavailable = max(r.MaxUnavailable, len(d.left))
		r.UnavailableTime += time.Duration(len(d.left)) * tick
		d.advance()
		if d.Current() == len(d.Engines) {
			r.Elapsed = t + tick
			s.Next(d.Engines, "m", d.version, start.Add(r.Elapsed))
			return r
		}
	}
	return r
}

// advance lets a tick pass at the engines.
func (d *Domain) advance() {
	speed := min(1, float64(d.StoreCapacity)/float64(max(1, len(d.left))))
	for i := range d.Engines {
		e := &d.Engines[i]
		left, loading := d.left[e.Name]
		if !loading {
			continue
		}
		left -= time.Duration(float64(tick) * speed)
		e.Load.Loading = d.version
		d.left[e.Name] = left
		if left > 0 {
			continue
		}
		delete(d.left, e.Name)
		e.Load.Loading = 0
		if !d.LoadFails(e.Name, d.tries[e.Name]) {
			e.Load.WeightVersion = d.version
		}
	}
}

// Current counts the engines that run the version named last.
func (d *Domain) Current() int {
	count := 0
	for _, e := range d.Engines {
		if e.Load.WeightVersion == d.version {
			count++
		}
	}
	return count
}
