// Package experiment runs the decision logic against small models of its
// environment: engines that load weights from a shared store, a platform that
// provisions upstreams after a delay, and instances that call a failing platform.
// Tests and benchmarks check the results.
package experiment

import (
	"fmt"
	"time"

	"github.com/pomelocross/pomelocross/fleet"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/upstream"
)

// Engines returns n engines that run the given weight version.
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

// Domain models the engines of a failure domain that load weights from a store
// of limited bandwidth. It is not safe for concurrent use.
type Domain struct {
	// Engines are the engines with their reported load.
	Engines []upstream.Upstream
	// StoreCapacity is the number of concurrent loads that the store serves at full
	// speed; more loads share its bandwidth.
	StoreCapacity int
	// LoadFails reports whether the load for an engine's nth order, counted by
	// attempt from 1, leaves the weight version unchanged.
	LoadFails func(name string, attempt int) bool

	loadTime  time.Duration            // of a single load at full speed
	remaining map[string]time.Duration // load time left at full speed, by engine
	attempts  map[string]int
	version   int64 // latest version ordered
}

// NewDomain returns a domain of n engines. A load takes loadTime at full speed.
func NewDomain(n int, loadTime time.Duration, storeCapacity int) *Domain {
	return &Domain{
		Engines: Engines(n, 1), remaining: map[string]time.Duration{}, loadTime: loadTime, StoreCapacity: storeCapacity, version: 1,
		LoadFails: func(string, int) bool { return false }, attempts: map[string]int{},
	}
}

// decisionInterval is the time between two decisions.
const decisionInterval = 250 * time.Millisecond

// SwapResult describes the swap of all engines to one weight version.
type SwapResult struct {
	Elapsed         time.Duration // until the last engine ran the version
	MaxUnavailable  int           // most engines loading at the same time
	UnavailableTime time.Duration // summed over the engines
	Orders          int
}

// SwapWeights makes s swap all engines to the next version. It stops once all run
// that version, or after limit. The load reports that s receives are one
// decisionInterval old.
func (d *Domain) SwapWeights(s *fleet.Swapper, limit time.Duration) SwapResult {
	start := time.Unix(d.version*int64(limit/time.Second), 0)
	d.version++
	r := SwapResult{Elapsed: limit}
	for t := time.Duration(0); t < limit; t += decisionInterval {
		for _, swap := range s.Next(d.Engines, "m", d.version, start.Add(t)) {
			r.Orders++
			d.attempts[swap.Upstream]++
			d.remaining[swap.Upstream] = d.loadTime
		}
		r.MaxUnavailable = max(r.MaxUnavailable, len(d.remaining))
		r.UnavailableTime += time.Duration(len(d.remaining)) * decisionInterval
		d.advance()
		if d.Current() == len(d.Engines) {
			r.Elapsed = t + decisionInterval
			s.Next(d.Engines, "m", d.version, start.Add(r.Elapsed))
			return r
		}
	}
	return r
}

// advance simulates the engines for one decisionInterval.
func (d *Domain) advance() {
	speed := min(1, float64(d.StoreCapacity)/float64(max(1, len(d.remaining))))
	for i := range d.Engines {
		e := &d.Engines[i]
		remaining, loading := d.remaining[e.Name]
		if !loading {
			continue
		}
		remaining -= time.Duration(float64(decisionInterval) * speed)
		e.Load.Loading = d.version
		d.remaining[e.Name] = remaining
		if remaining > 0 {
			continue
		}
		delete(d.remaining, e.Name)
		e.Load.Loading = 0
		if !d.LoadFails(e.Name, d.attempts[e.Name]) {
			e.Load.WeightVersion = d.version
		}
	}
}

// Current returns the number of engines that run the latest version.
func (d *Domain) Current() int {
	count := 0
	for _, e := range d.Engines {
		if e.Load.WeightVersion == d.version {
			count++
		}
	}
	return count
}
