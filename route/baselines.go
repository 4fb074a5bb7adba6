package route

import "math/rand/v2"

// The choosers in this file are baselines for comparison with Default. They use
// the same filters and differ only in how they rank upstreams.

// Random chooses uniformly among the usable upstreams.
func Random(random *rand.Rand) *Chooser {
	return &Chooser{Filters: Default().Filters, Picker: func(candidates []*Candidate, _ []float64) *Candidate {
		return candidates[random.IntN(len(candidates))]
	}}
}

// RoundRobin chooses the least recently chosen upstream.
func RoundRobin() *Chooser {
	sequence := 0
	lastChosen := map[string]int{}
	return &Chooser{Filters: Default().Filters, Picker: func(candidates []*Candidate, _ []float64) *Candidate {
		best := candidates[0]
		for _, c := range candidates {
			if lastChosen[c.Name] < lastChosen[best.Name] {
				best = c
			}
		}
		sequence++
		lastChosen[best.Name] = sequence
		return best
	}}
}

// FewestInFlight chooses only by the number of this instance's requests in
// flight.
func FewestInFlight() *Chooser {
	return &Chooser{Filters: Default().Filters, Scorers: []WeightedScorer{{Score: LeastInFlight, Weight: 1}}, Picker: Highest}
}

// WithoutAffinity returns the default chooser without prefix affinity.
func WithoutAffinity() *Chooser {
	c := Default()
	c.Scorers = []WeightedScorer{
		{Score: SameDomain, Weight: domainWeight},
		{Score: LeastLoaded, Weight: loadWeight},
		{Score: LeastReportedLoad, Weight: reportWeight},
		{Score: CostMatch, Weight: costWeight},
	}
	return c
}
