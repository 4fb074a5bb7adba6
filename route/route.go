// Package route chooses the upstream of a request: filters leave out those that
// must not be used, scorers rate the rest, and a picker takes one.
package route

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

// Weights of the scorers in use. The own failure domain outweighs load. A held
// prefix outweighs a difference of half a share in load and no more, so that a
// popular prefix spreads.
const (
	domainWeight = 2
	loadWeight   = 1
	reportWeight = 0.5
	prefixWeight = 0.5
	costWeight   = 0.4
)

// Default returns the chooser in use.
func Default() *Chooser {
	return &Chooser{
		Filters: []Filter{Staying, Healthy, FreeSlot, NotExcluded, FreshEnough},
		Scorers: []Weighted{
			{Score: SameDomain, Weight: domainWeight},
			{Score: LeastLoaded, Weight: loadWeight},
			{Score: ReportedFree, Weight: reportWeight},
			{Score: PrefixHeld, Weight: prefixWeight},
			{Score: CostFit, Weight: costWeight},
		},
		Picker: Highest,
	}
}

// Choose returns the upstream for a request, or nil when none can take it now.
func (c *Chooser) Choose(request Request, candidates []Candidate) *Candidate {
	usable := make([]*Candidate, len(candidates))
	for i := range candidates {
		usable[i] = &candidates[i]
	}
	return c.choose(request, usable, nil)
}

// choose filters usable in place and picks by scores, for which it uses the
// space of scratch.
func (c *Chooser) choose(request Request, usable []*Candidate, scratch []float64) *Candidate {
	passing := usable[:0]
	for _, candidate := range usable {
		if c.passes(request, candidate) {
			passing = append(passing, candidate)
		}
	}
	if len(passing) == 0 {
		return nil
	}
	scores := scratch[:0]
	for _, candidate := range passing {
		scores = append(scores, c.score(request, candidate))
	}
	return c.Picker(passing, scores)
}

func (c *Chooser) score(request Request, candidate *Candidate) float64 {
	sum := 0.0
	for _, s := range c.Scorers {
		sum += s.Weight * s.Score(request, candidate)
	}
	return sum
}

func (c *Chooser) passes(request Request, candidate *Candidate) bool {
	for _, filter := range c.Filters {
		if !filter(request, candidate) {
			return false
		}
	}
	return true
}
