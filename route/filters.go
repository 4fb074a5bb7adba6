package route

import "slices"

// Staying leaves out upstreams that are being taken away.
func Staying(_ Request, c *Candidate) bool { return !c.Leaving }

// FreeSlot leaves out upstreams whose share is used up.
func FreeSlot(_ Request, c *Candidate) bool { return c.InFlight < c.Slots }

// NotExcluded leaves out upstreams already tried.
func NotExcluded(r Request, c *Candidate) bool { return !slices.Contains(r.Exclude, c.Name) }

// FreshEnough leaves out engines that say they run weights older than asked.
func FreshEnough(r Request, c *Candidate) bool { return c.Load.WeightVersion >= r.MinWeightVersion }

// Healthy leaves out upstreams that failed or were slow.
func Healthy(_ Request, c *Candidate) bool { return !c.Ejected }
