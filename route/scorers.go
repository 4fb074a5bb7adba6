package route

// LeastLoaded prefers upstreams with more of this instance's share free.
func LeastLoaded(_ Request, c *Candidate) float64 {
	return 1 - float64(c.InFlight)/float64(c.Slots)
}

// SameDomain prefers upstreams in the instance's own failure domain.
func SameDomain(r Request, c *Candidate) float64 {
	if c.Domain == r.Domain {
		return 1
	}
	return 0
}
