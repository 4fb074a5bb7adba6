// Package route chooses the upstream for a request: filters reject unsuitable
// candidates, scorers rate the rest, and a picker selects one.
package route

// Filter reports whether a candidate may be used for a request.
type Filter func(Request, *Candidate) bool

// Scorer rates a candidate from 0 (worst) to 1 (best).
type Scorer func(Request, *Candidate) float64

// WeightedScorer is a scorer with its weight in the total score.
type WeightedScorer struct {
	Score  Scorer
	Weight float64
}

// Chooser selects an upstream by filters, weighted scorers and a picker.
type Chooser struct {
	Filters []Filter
	Scorers []WeightedScorer
	Picker  Picker
}

// Picker selects one of the candidates; scores[i] is the score of candidates[i].
type Picker func(candidates []*Candidate, scores []float64) *Candidate

// Weights of the default scorers. The instance's own failure domain outweighs
// load. Prefix affinity outweighs a load difference of at most half a share of
// slots, so that a popular prefix spreads over several upstreams.
const (
	domainWeight = 2
	loadWeight   = 1
	reportWeight = 0.5
	prefixWeight = 0.5
	costWeight   = 0.4
)

// Default returns the chooser used in production.
func Default() *Chooser {
	return &Chooser{
		Filters: []Filter{NotLeaving, Healthy, HasFreeSlot, NotExcluded, HasMinWeightVersion},
		Scorers: []WeightedScorer{
			{Score: SameDomain, Weight: domainWeight},
			{Score: LeastLoaded, Weight: loadWeight},
			{Score: LeastReportedLoad, Weight: reportWeight},
			{Score: PrefixAffinity, Weight: prefixWeight},
			{Score: CostMatch, Weight: costWeight},
		},
		Picker: Highest,
	}
}

// Choose returns the upstream for a request, or nil if none can take it now.
func (c *Chooser) Choose(request Request, candidates []Candidate) *Candidate {
	usable := make([]*Candidate, len(candidates))
	for i := range candidates {
		usable[i] = &candidates[i]
	}
	return c.choose(request, usable, nil)
}

// choose filters usable in place and picks by score. It reuses the backing array
// of scratch for the scores.
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
