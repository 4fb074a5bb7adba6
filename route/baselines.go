package route

import "math/rand/v2"

// The choosers below are what the default is compared with. They keep its
// filters, so that they differ in preference only.

// Random chooses any usable upstream.
func Random(random *rand.Rand) *Chooser {
	return &Chooser{Filters: Default().Filters, Picker: func(candidates []*Candidate, _ []float64) *Candidate {
		return candidates[random.IntN(len(candidates))]
	}}
}

// RoundRobin chooses the upstream whose turn was longest ago.
func RoundRobin() *Chooser {
	turn := 0
	last := map[string]int{}
	return &Chooser{Filters: Default().Filters, Picker: func(candidates []*Candidate, _ []float64) *Candidate {
		best := candidates[0]
		for _, c := range candidates {
			if last[c.Name] < last[best.Name] {
				best = c
			}
		}
		turn++
		last[best.Name] = turn
		return best
	}}
}

// FewestInFlight chooses by this instance's requests in flight alone.
func FewestInFlight() *Chooser {
	return &Chooser{Filters: Default().Filters, Scorers: []Weighted{{Score: LeastInFlight, Weight: 1}}, Picker: Highest}
}

// WithoutAffinity is the default that does not look at prefixes.
func WithoutAffinity() *Chooser {
	c := Default()
	c.Scorers = []Weighted{
		{Score: SameDomain, Weight: domainWeight},
		{Score: LeastLoaded, Weight: loadWeight},
		{Score: ReportedFree, Weight: reportWeight},
		{Score: CostFit, Weight: costWeight},
	}
	return c
}
