package route

import (
	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/objects"
)

// LeastLoaded prefers upstreams on which a larger fraction of this instance's
// share is free.
func LeastLoaded(_ Request, c *Candidate) float64 {
	return 1 - float64(c.InFlight)/float64(max(c.Slots, 1))
}

// LeastInFlight prefers upstreams with fewer of this instance's requests in
// flight.
func LeastInFlight(_ Request, c *Candidate) float64 { return 1 / float64(1+c.InFlight) }

// LeastReportedLoad prefers upstreams that last reported less load. A request that
// an engine has admitted but not started counts twice.
func LeastReportedLoad(_ Request, c *Candidate) float64 {
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

// PrefixAffinity prefers upstreams that were recently sent the same prefix.
func PrefixAffinity(_ Request, c *Candidate) float64 {
	if c.HoldsPrefix {
		return 1
	}
	return 0
}

// CostMatch prefers expensive upstreams for desk requests and cheap ones for all
// other classes.
func CostMatch(r Request, c *Candidate) float64 {
	if r.Class == "" {
		return 0
	}
	if (r.Class == contract.ClassDesk) == (c.Cost != objects.CostCheap) {
		return 1
	}
	return 0
}
