package route

import (
	"math/rand/v2"
	"time"
)

const (
	// fullScanLimit is the maximum number of candidates that are rated without
	// sampling.
	fullScanLimit = 16
	// sampleSize is the number of random free candidates rated when there are more
	// than fullScanLimit. It keeps the cost of a decision independent of the number
	// of upstreams.
	sampleSize = 8
	// medianInterval is the number of observations between two updates of the
	// median time to first token.
	medianInterval = 32
)

// Set holds the candidates of one service and counts the requests in flight at
// each. It is not safe for concurrent use.
type Set struct {
	chooser          *Chooser
	random           *rand.Rand
	candidates       []Candidate
	byName           map[string]int
	free             []int // indexes of candidates that can take a request, in no order
	freePosition     []int // position of each candidate in free; -1 if absent
	inFlight         map[string]int
	slots            int
	prefixes         *prefixIndex
	health           map[string]*health
	medianFirstToken float64 // seconds; see medianInterval
	observations     int
	ejectedCount     int
	orderBuffer      []int // reused by freeInOrder
	candidateBuffer  []*Candidate
	scoreBuffer      []float64
}

// NewSet returns a set without candidates.
func NewSet(chooser *Chooser, random *rand.Rand) *Set {
	return &Set{
		chooser: chooser, random: random, byName: map[string]int{}, inFlight: map[string]int{},
		prefixes: newPrefixIndex(), health: map[string]*health{},
	}
}

// Replace sets the candidates. Requests in flight stay counted by upstream name,
// including those at removed upstreams, which may be added again. InFlight, Ejected and
// HoldsPrefix of the given candidates are ignored.
func (s *Set) Replace(candidates []Candidate) {
	s.candidates = append(s.candidates[:0], candidates...)
	s.freePosition = s.freePosition[:0]
	s.free = s.free[:0]
	clear(s.byName)
	s.slots, s.ejectedCount = 0, 0
	for i := range s.candidates {
		c := &s.candidates[i]
		c.InFlight, c.Ejected, c.HoldsPrefix = s.inFlight[c.Name], s.isEjected(c.Name), false
		s.byName[c.Name] = i
		s.freePosition = append(s.freePosition, -1)
		if c.Ejected {
			s.ejectedCount++
		}
		if !c.Leaving {
			s.slots += c.Slots
		}
		s.updateFree(i)
	}
	for name := range s.health {
		if _, known := s.byName[name]; !known {
			delete(s.health, name)
		}
	}
}

func (s *Set) isEjected(name string) bool {
	h := s.health[name]
	return h != nil && !h.ejectedUntil.IsZero()
}

// Len returns the number of candidates.
func (s *Set) Len() int { return len(s.candidates) }

// Slots returns this instance's slots over all upstreams that are not leaving.
func (s *Set) Slots() int { return s.slots }

// HasFree reports whether any candidate can take a request.
func (s *Set) HasFree() bool { return len(s.free) > 0 }

// InFlight returns the number of requests in flight by upstream name. The caller
// must not change the map.
func (s *Set) InFlight() map[string]int { return s.inFlight }

// Choose returns the upstream for a request, or nil if none can take it now.
func (s *Set) Choose(request Request) *Candidate {
	if len(s.free) == 0 {
		return nil
	}
	holders := s.prefixes.holdersOf(request.Prefix)
	if len(s.candidates) <= fullScanLimit {
		return s.chooseAll(request, holders, s.freeInOrder())
	}
	if len(s.free) <= fullScanLimit {
		return s.chooseAll(request, holders, s.free)
	}
	s.candidateBuffer = s.candidateBuffer[:0]
	for range sampleSize {
		s.candidateBuffer = append(s.candidateBuffer, &s.candidates[s.free[s.random.IntN(len(s.free))]])
	}
	s.markHolders(holders, true)
	for _, name := range holders {
		if i, ok := s.byName[name]; ok && s.freePosition[i] >= 0 {
			s.candidateBuffer = append(s.candidateBuffer, &s.candidates[i])
		}
	}
	chosen := s.pick(request)
	s.markHolders(holders, false)
	if chosen == nil {
		return s.chooseAll(request, holders, s.free)
	}
	return chosen
}

// freeInOrder returns the indexes of the free candidates in list order. A picker
// that resolves ties by position then respects the order given to Replace.
func (s *Set) freeInOrder() []int {
	s.orderBuffer = s.orderBuffer[:0]
	for i, position := range s.freePosition {
		if position >= 0 {
			s.orderBuffer = append(s.orderBuffer, i)
		}
	}
	return s.orderBuffer
}

// chooseAll rates all candidates with the given indexes and picks one.
func (s *Set) chooseAll(request Request, holders []string, indexes []int) *Candidate {
	s.candidateBuffer = s.candidateBuffer[:0]
	for _, i := range indexes {
		s.candidateBuffer = append(s.candidateBuffer, &s.candidates[i])
	}
	s.markHolders(holders, true)
	defer s.markHolders(holders, false)
	return s.pick(request)
}

// pick chooses among candidateBuffer.
func (s *Set) pick(request Request) *Candidate {
	if cap(s.scoreBuffer) < len(s.candidateBuffer) {
		s.scoreBuffer = make([]float64, 0, 2*len(s.candidateBuffer))
	}
	return s.chooser.choose(request, s.candidateBuffer, s.scoreBuffer)
}

// markHolders sets HoldsPrefix of the named candidates.
func (s *Set) markHolders(holders []string, holds bool) {
	for _, name := range holders {
		if i, ok := s.byName[name]; ok {
			s.candidates[i].HoldsPrefix = holds
		}
	}
}

// Acquire counts a request sent to the named upstream and records its prefix.
func (s *Set) Acquire(name string, prefix uint64) {
	s.inFlight[name]++
	s.prefixes.record(prefix, name)
	s.updateInFlight(name)
}

// Release counts the end of a request at the named upstream.
func (s *Set) Release(name string) {
	s.inFlight[name]--
	if s.inFlight[name] <= 0 {
		delete(s.inFlight, name)
	}
	s.updateInFlight(name)
}

// updateInFlight copies the count of the named upstream to its candidate.
func (s *Set) updateInFlight(name string) {
	i, ok := s.byName[name]
	if !ok {
		return
	}
	s.candidates[i].InFlight = s.inFlight[name]
	s.updateFree(i)
}

// updateFree adds a candidate to free or removes it, according to its state.
func (s *Set) updateFree(i int) {
	c := &s.candidates[i]
	limit := c.Slots
	if h := s.health[c.Name]; h != nil && h.slotLimit > 0 {
		limit = min(limit, h.slotLimit)
	}
	usable := c.InFlight < limit && !c.Leaving && !c.Ejected
	if usable == (s.freePosition[i] >= 0) {
		return
	}
	if usable {
		s.freePosition[i] = len(s.free)
		s.free = append(s.free, i)
		return
	}
	last := s.free[len(s.free)-1]
	s.free[s.freePosition[i]] = last
	s.freePosition[last] = s.freePosition[i]
	s.free = s.free[:len(s.free)-1]
	s.freePosition[i] = -1
}

// Observe records the outcome of an attempt. It ejects an upstream that keeps failing
// or is slow, provided that at least minInUseFraction of the upstreams stay in use.
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
	if s.observations%medianInterval == 0 {
		s.medianFirstToken = medianFirstToken(s.health)
	}
	s.observations++
	shouldEject := h.observe(o, s.medianFirstToken)
	enoughLeft := float64(len(s.candidates)-s.ejectedCount-1) >= minInUseFraction*float64(len(s.candidates))
	if shouldEject && enoughLeft && h.ejectedUntil.IsZero() {
		h.eject(now)
		s.candidates[i].Ejected = true
		s.ejectedCount++
	}
	s.updateFree(i)
}

// Readmit readmits the upstreams whose ejection time has passed. Each may run one
// request at first.
func (s *Set) Readmit(now time.Time) {
	if s.ejectedCount == 0 {
		return
	}
	for i := range s.candidates {
		c := &s.candidates[i]
		if !c.Ejected || now.Before(s.health[c.Name].ejectedUntil) {
			continue
		}
		s.health[c.Name].readmit()
		c.Ejected = false
		s.ejectedCount--
		s.updateFree(i)
	}
}

// Ejected returns the number of ejected upstreams.
func (s *Set) Ejected() int { return s.ejectedCount }
