package route

import (
	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/objects"
)

// LeastLoaded prefers upstreams with more of this instance's share free.
func LeastLoaded(_ Request, c *Candidate) float64 {
	return 1 - float64(c.InFlight)/float64(max(c.Slots, 1))
}

// LeastInFlight prefers upstreams with fewer requests of this instance.
func LeastInFlight(_ Request, c *Candidate) float64 { return 1 / float64(1+c.InFlight) }

// ReportedFree prefers upstreams that lately reported less work. A request that
// an engine has admitted but not begun weighs twice.
func ReportedFree(_ Request, c *Candidate) float64 {
	if c.Capacity == 0 {
		return 0
	}
	busy := float64(c.Load.Running+2*c.Load.Waiting) / float64(c.Capacity)
	return 1 - min(1, busy)
}

// SameDomain prefers upstreams in the instance's own failure domain.
func SameDomain(r Request, c *Candidate) float64 {
	if c.Domain == r.Domain {
		return 1
	}
	return 0
}

// PrefixHeld prefers upstreams that were lately sent the same prefix.
func PrefixHeld(_ Request, c *Candidate) float64 {
	if c.HoldsPrefix {
		return 1
	}
	return 0
}

// CostFit keeps desk requests on dear upstreams and all others on cheap ones.
func CostFit(r Request, c *Candidate) float64 {
	if r.Class == "" {
		return 0
	}
	if (r.Class == contract.ClassDesk) == (c.Cost != objects.CostCheap) {
		return 1
	}
	return 0
}
