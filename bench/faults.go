package bench

import (
	"slices"
	"time"

	"github.com/pomelocross/pomelocross/objects"
)

const (
	faultStart  = 60 * time.Second
	faultLength = 60 * time.Second
	// reclaimNotice is the time between a notice and the loss.
	reclaimNotice = 5 * time.Second
	weightsEvery  = 90 * time.Second
)

// faults are what may go wrong in a run, by name.
var faults = map[string]func(*simulation, *load){
	"none":    func(*simulation, *load) {},
	"crash":   crashEngine,
	"slow":    slowEngine,
	"reclaim": reclaimDomain,
	"weights": changeWeights,
	"flood":   func(s *simulation, l *load) { s.clock.after(faultStart, func() { l.flood = smallestTeam(l.d) }) },
	"outage":  silenceHolders,
	"cut":     cutDomain,
}

func crashEngine(s *simulation, _ *load) {
	e := s.engines[0]
	s.clock.after(faultStart, func() {
		e.crash()
		s.list(e, false)
	})
	s.clock.after(faultStart+faultLength, func() {
		e.down = false
		s.list(e, true)
	})
}

func slowEngine(s *simulation, _ *load) {
	s.clock.after(faultStart, func() { s.engines[0].slow = true })
	s.clock.after(faultStart+faultLength, func() { s.engines[0].slow = false })
}

// reclaimDomain takes the cheap engines of the domain that has most of them.
func reclaimDomain(s *simulation, _ *load) {
	var taken []*engine
	for _, e := range s.engines {
		if e.Cost == objects.CostCheap && (len(taken) == 0 || e.Domain == taken[0].Domain) {
			taken = append(taken, e)
		}
	}
	for _, e := range taken {
		s.clock.after(faultStart, func() { e.leaving, e.Leaving = true, true })
		s.clock.after(faultStart+reclaimNotice, func() {
			e.crash()
			s.list(e, false)
		})
		s.clock.after(faultStart+2*faultLength, func() {
			e.down, e.leaving, e.Leaving = false, false, false
			s.list(e, true)
		})
	}
}

// changeWeights swaps all engines in waves of a third of the swap time.
func changeWeights(s *simulation, _ *load) {
	s.clock.every(weightsEvery, func() {
		s.version++
		for n, e := range s.engines {
			s.clock.after(swapTime*time.Duration(n%3), func() { e.swap(s.version) })
		}
	})
}

func silenceHolders(s *simulation, _ *load) {
	s.clock.after(faultStart+leaseTerm, func() { s.silent = true })
	s.clock.after(faultStart+2*faultLength, func() { s.silent = false })
}

func cutDomain(s *simulation, _ *load) {
	s.clock.after(faultStart, func() { s.cut = s.domains[0] })
	s.clock.after(faultStart+2*faultLength, func() { s.cut = "" })
}

// smallestTeam returns the team with the least weight.
func smallestTeam(d *Deployment) string {
	least := d.Bundle.Teams[0]
	for _, t := range d.Bundle.Teams {
		if t.Weight < least.Weight {
			least = t
		}
	}
	return least.Name
}

func sortBySent(all []*work) {
	slices.SortFunc(all, func(a, b *work) int {
		if c := a.sent.Compare(b.sent); c != 0 {
			return c
		}
		return int(a.request.prefix) - int(b.request.prefix)
	})
}
