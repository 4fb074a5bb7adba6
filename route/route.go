// Package route chooses the upstream of a request: filters leave out those that
// must not be used, scorers rate the rest, and a picker takes one.
package route

import (
	"github.com/pomelocross/pomelocross/upstream"
)

// Request is what the choice of an upstream depends on.
type Request struct {
	Service string
	Domain  string // of the deciding instance
	// Prefix identifies the start of the prompt; 0 when it has none.
	Prefix uint64
	// MinWeightVersion is the oldest weight version that may produce the
	// answer; 0 accepts any.
	MinWeightVersion int64
	// Exclude names upstreams already tried.
	Exclude []string
}

// Candidate is an upstream with this instance's own knowledge of it.
type Candidate struct {
	upstream.Upstream
	InFlight int // requests of this instance
	Slots    int // this instance's share of the upstream's slots
}

// Filter tells whether a candidate may be used for a request.
type Filter func(Request, *Candidate) bool

// Scorer rates a candidate from 0, worst, to 1, best.
type Scorer func(Request, *Candidate) float64

// Weighted is a scorer with its part of the whole score.
type Weighted struct {
	Score  Scorer
	Weight float64
}

// Chooser applies filters and scorers.
type Chooser struct {
	Filters []Filter
	Scorers []Weighted
	Picker  Picker
}

// Picker takes one of several candidates with their scores.
type Picker func(candidates []*Candidate, scores []float64) *Candidate

// Default returns the chooser in use.
func Default() *Chooser {
	return &Chooser{
		Filters: []Filter{Staying, FreeSlot, NotExcluded, FreshEnough},
		Scorers: []Weighted{{Score: LeastLoaded, Weight: 1}, {Score: SameDomain, Weight: 1}},
		Picker:  Highest,
	}
}

// Choose returns the upstream for a request, or nil when none can take it now.
func (c *Chooser) Choose(request Request, candidates []Candidate) *Candidate {
	var usable []*Candidate
	for i := range candidates {
		if c.passes(request, &candidates[i]) {
			usable = append(usable, &candidates[i])
		}
	}
	if len(usable) == 0 {
		return nil
	}
	scores := make([]float64, len(usable))
	for i, candidate := range usable {
		for _, s := range c.Scorers {
			scores[i] += s.Weight * s.Score(request, candidate)
		}
	}
	return c.Picker(usable, scores)
}

func (c *Chooser) passes(request Request, candidate *Candidate) bool {
	for _, filter := range c.Filters {
		if !filter(request, candidate) {
			return false
		}
	}
	return true
}
