package route

import (
	"math/rand/v2"
	"time"
)

const (
	// scanAll is up to how many free candidates all are rated.
	scanAll = 16
	// sampled is how many of more are rated, so that the cost of a decision
	// does not grow with the number of upstreams.
	sampled = 8
	// medianInterval is how often the median time to the first token is
	// computed anew, in observations.
	medianInterval = 32
)

// Set holds the candidates of one service with the requests in flight at each.
// It is not safe for concurrent use.
type Set struct {
	chooser    *Chooser
	random     *rand.Rand
	candidates []Candidate
	byName     map[string]int
	free       []int // indexes of candidates that may take a request
	place      []int // where each candidate stands in free; -1 when it does not
	inFlight   map[string]int
	slots      int
	prefixes   *prefixIndex
	health     map[string]*health
	median     float64
	observed   int
	ejected    int
	ordered    []int // scratch of inOrder
	considered []*Candidate
	scores     []float64
}

// NewSet returns a set without candidates.
func NewSet(chooser *Chooser, random *rand.Rand) *Set {
	return &Set{
		chooser: chooser, random: random, byName: map[string]int{}, inFlight: map[string]int{},
		prefixes: newPrefixIndex(), health: map[string]*health{},
	}
}

// Replace sets the candidates. Requests in flight are kept by name, also those
// at upstreams that are gone now, which may come back. InFlight and Ejected of
// the given candidates are ignored.
func (s *Set) Replace(candidates []Candidate) {
	s.candidates = append(s.candidates[:0], candidates...)
	s.place = s.place[:0]
	s.free = s.free[:0]
	clear(s.byName)
	s.slots, s.ejected = 0, 0
	for i := range s.candidates {
		c := &s.candidates[i]
		c.InFlight, c.Ejected, c.HoldsPrefix = s.inFlight[c.Name], s.isEjected(c.Name), false
		s.byName[c.Name] = i
		s.place = append(s.place, -1)
		if c.Ejected {
			s.ejected++
		}
		if !c.Leaving {
			s.slots += c.Slots
		}
		s.refresh(i)
	}
	for name := range s.health {
		if _, known := s.byName[name]; !known {
			delete(s.health, name)
		}
	}
}

func (s *Set) isEjected(name string) bool {
	h := s.health[name]
	return h != nil && !h.ejected.IsZero()
}

// Len returns how many candidates there are.
func (s *Set) Len() int { return len(s.candidates) }

// Slots returns the slots at upstreams that stay.
func (s *Set) Slots() int { return s.slots }

// HasFree reports whether any candidate may take a request.
func (s *Set) HasFree() bool { return len(s.free) > 0 }

// InFlight returns the requests in flight by upstream.
func (s *Set) InFlight() map[string]int { return s.inFlight }

// Choose returns the upstream for a request, or nil when none can take it now.
func (s *Set) Choose(request Request) *Candidate {
	if len(s.free) == 0 {
		return nil
	}
	holders := s.prefixes.of(request.Prefix)
	if len(s.candidates) <= scanAll {
		return s.chooseAll(request, holders, s.inOrder())
	}
	if len(s.free) <= scanAll {
		return s.chooseAll(request, holders, s.free)
	}
	s.considered = s.considered[:0]
	for range sampled {
		s.considered = append(s.considered, &s.candidates[s.free[s.random.IntN(len(s.free))]])
	}
	s.mark(holders, true)
	for _, name := range holders {
		if i, ok := s.byName[name]; ok && s.place[i] >= 0 {
			s.considered = append(s.considered, &s.candidates[i])
		}
	}
	chosen := s.pick(request)
	s.mark(holders, false)
	if chosen == nil {
		return s.chooseAll(request, holders, s.free)
	}
	return chosen
}

// inOrder returns the free candidates as they stand in the list, so that the
// first of equals is chosen and a caller may order the list.
func (s *Set) inOrder() []int {
	s.ordered = s.ordered[:0]
	for i, place := range s.place {
		if place >= 0 {
			s.ordered = append(s.ordered, i)
		}
	}
	return s.ordered
}

// chooseAll rates the candidates with the given indexes.
func (s *Set) chooseAll(request Request, holders []string, indexes []int) *Candidate {
	s.considered = s.considered[:0]
	for _, i := range indexes {
		s.considered = append(s.considered, &s.candidates[i])
	}
	s.mark(holders, true)
	defer s.mark(holders, false)
	return s.pick(request)
}

func (s *Set) pick(request Request) *Candidate {
	if cap(s.scores) < len(s.considered) {
		s.scores = make([]float64, 0, 2*len(s.considered))
	}
	return s.chooser.choose(request, s.considered, s.scores)
}

func (s *Set) mark(holders []string, holds bool) {
	for _, name := range holders {
		if i, ok := s.byName[name]; ok {
			s.candidates[i].HoldsPrefix = holds
		}
	}
}

// Take counts a request that goes to a chosen candidate.
func (s *Set) Acquire(name string, prefix uint64) {
	s.inFlight[name]++
	s.prefixes.sent(prefix, name)
	s.recount(name)
}

// Return counts the end of a request.
func (s *Set) Release(name string) {
	s.inFlight[name]--
	if s.inFlight[name] <= 0 {
		delete(s.inFlight, name)
	}
	s.recount(name)
}

func (s *Set) recount(name string) {
	i, ok := s.byName[name]
	if !ok {
		return
	}
	s.candidates[i].InFlight = s.inFlight[name]
	s.refresh(i)
}

// refresh puts a candidate into free or takes it out.
func (s *Set) refresh(i int) {
	c := &s.candidates[i]
	limit := c.Slots
	if h := s.health[c.Name]; h != nil && h.limit > 0 {
		limit = min(limit, h.limit)
	}
	usable := c.InFlight < limit && !c.Leaving && !c.Ejected
	if usable == (s.place[i] >= 0) {
		return
	}
	if usable {
		s.place[i] = len(s.free)
		s.free = append(s.free, i)
		return
	}
	last := s.free[len(s.free)-1]
	s.free[s.place[i]] = last
	s.place[last] = s.place[i]
	s.free = s.free[:len(s.free)-1]
	s.place[i] = -1
}

// Observe takes in what an attempt showed and takes failing and slow upstreams
// out, but never more than half of them.
func (s *Set) Observe(name string, o Observation, now time.Time) {
	i, ok := s.byName[name]
	if !ok {
		return
	}
	h := s.health[name]
	if h == nil {
		h = &health{}
		s.health[name] = h
	}
	if s.observed%medianInterval == 0 {
		s.median = medianOf(s.health)
	}
	s.observed++
	bad := h.observe(o, s.median)
	room := float64(len(s.candidates)-s.ejected-1) >= keptShare*float64(len(s.candidates))
	if bad && room && h.ejected.IsZero() {
		h.eject(now)
		s.candidates[i].Ejected = true
		s.ejected++
	}
	s.refresh(i)
}

// Readmit lets upstreams whose ejection is over take work again, one request
// first.
func (s *Set) Readmit(now time.Time) {
	if s.ejected == 0 {
		return
	}
	for i := range s.candidates {
		c := &s.candidates[i]
		if !c.Ejected || now.Before(s.health[c.Name].ejected) {
			continue
		}
		s.health[c.Name].readmit()
		c.Ejected = false
		s.ejected--
		s.refresh(i)
	}
}

// Ejected returns how many upstreams are taken out.
func (s *Set) Ejected() int { return s.ejected }
