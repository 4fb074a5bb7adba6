package bench

import (
	"slices"
	"time"

	"github.com/pomelocross/pomelocross/objects"
)

const (
	faultStart  = 60 * time.Second
	faultLength = 60 * time.Second
	// reclaimNotice is the time from the notice that an engine will be reclaimed until
	// it stops.
	reclaimNotice        = 5 * time.Second
	weightUpdateInterval = 90 * time.Second
)

// faults holds, by name, the functions that schedule the events of a fault scenario.
var faults = map[string]func(*simulation, *loadGenerator){
	"none":    func(*simulation, *loadGenerator) {},
	"crash":   crashEngine,
	"slow":    slowEngine,
	"reclaim": reclaimCheapEngines,
	"weights": updateWeights,
	"flood": func(s *simulation, l *loadGenerator) {
		s.clock.after(faultStart, func() { l.floodingTeam = smallestTeam(l.deployment) })
	},
	"outage": stopHolders,
	"cut":    isolateDomain,
}

func crashEngine(s *simulation, _ *loadGenerator) {
	e := s.engines[0]
	s.clock.after(faultStart, func() {
		e.crash()
		s.publishUsable(e, false)
	})
	s.clock.after(faultStart+faultLength, func() {
		e.down = false
		s.publishUsable(e, true)
	})
}

func slowEngine(s *simulation, _ *loadGenerator) {
	s.clock.after(faultStart, func() { s.engines[0].slow = true })
	s.clock.after(faultStart+faultLength, func() { s.engines[0].slow = false })
}

// reclaimCheapEngines reclaims all cheap engines in the failure domain of the first
// cheap engine. No other domain has more of them.
func reclaimCheapEngines(s *simulation, _ *loadGenerator) {
	var reclaimed []*engine
	for _, e := range s.engines {
		if e.Cost == objects.CostCheap && (len(reclaimed) == 0 || e.Domain == reclaimed[0].Domain) {
			reclaimed = append(reclaimed, e)
		}
	}
	for _, e := range reclaimed {
		s.clock.after(faultStart, func() { e.leaving, e.Leaving = true, true })
		s.clock.after(faultStart+reclaimNotice, func() {
			e.crash()
			s.publishUsable(e, false)
		})
		s.clock.after(faultStart+2*faultLength, func() {
			e.down, e.leaving, e.Leaving = false, false, false
			s.publishUsable(e, true)
		})
	}
}

// updateWeights loads a new weight version on all engines at regular intervals, a
// third of the engines at a time.
func updateWeights(s *simulation, _ *loadGenerator) {
	s.clock.every(weightUpdateInterval, func() {
		s.weightVersion++
		for n, e := range s.engines {
			s.clock.after(weightSwapTime*time.Duration(n%3), func() { e.swapWeights(s.weightVersion) })
		}
	})
}

func stopHolders(s *simulation, _ *loadGenerator) {
	s.clock.after(faultStart+leaseTerm, func() { s.holdersUnavailable = true })
	s.clock.after(faultStart+2*faultLength, func() { s.holdersUnavailable = false })
}

func isolateDomain(s *simulation, _ *loadGenerator) {
	s.clock.after(faultStart, func() { s.isolatedDomain = s.domains[0] })
	s.clock.after(faultStart+2*faultLength, func() { s.isolatedDomain = "" })
}

// smallestTeam returns the name of the team with the lowest weight.
func smallestTeam(d *Deployment) string {
	smallest := d.Bundle.Teams[0]
	for _, t := range d.Bundle.Teams {
		if t.Weight < smallest.Weight {
			smallest = t
		}
	}
	return smallest.Name
}

func sortBySendTime(all []*attempt) {
	slices.SortFunc(all, func(a, b *attempt) int {
		if c := a.sentAt.Compare(b.sentAt); c != 0 {
			return c
		}
		return int(a.request.prefix) - int(b.request.prefix)
	})
}
