package route

import "slices"

// NotLeaving rejects upstreams that are being removed.
func NotLeaving(_ Request, c *Candidate) bool { return !c.Leaving }

// HasFreeSlot rejects upstreams on which this instance's share of slots is in use.
func HasFreeSlot(_ Request, c *Candidate) bool { return c.InFlight < c.Slots }

// NotExcluded rejects the upstreams listed in the request's Exclude.
func NotExcluded(r Request, c *Candidate) bool { return !slices.Contains(r.Exclude, c.Name) }

// HasMinWeightVersion rejects engines that report weights older than the request
// requires.
func HasMinWeightVersion(r Request, c *Candidate) bool {
	return c.Load.WeightVersion >= r.MinWeightVersion
}

// Healthy rejects upstreams ejected for failures or slowness.
func Healthy(_ Request, c *Candidate) bool { return !c.Ejected }
