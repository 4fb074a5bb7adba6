package straggler_test

import (
	"slices"
	"testing"

	"github.com/pomelocross/pomelocross/internal/experiment/straggler"
)

// cases are steps on eight engines of 32 slots.
var cases = []struct {
	name string
	slow []float64 // rates of the last engines, others get usualRate
}{
	{"no slow engine", nil},
	{"one engine of 8 at 1/2", []float64{25}},
	{"one engine of 8 at 1/10", []float64{5}},
	{"one engine of 8 stopped nearly", []float64{0.5}},
	{"two engines of 8 at 1/10", []float64{5, 5}},
}

const (
	usualRate = 50 // tokens a second of one sample
	seeds     = 20
)

// TestPolicies prints the comparison and checks that resuming keeps every token.
func TestPolicies(t *testing.T) {
	for _, c := range cases {
		rates := slices.Repeat([]float64{usualRate}, 8-len(c.slow))
		step := straggler.Case{Samples: 1024, Slots: 32, Rates: append(rates, c.slow...), Median: 1000, Spread: 0.8}
		for _, policy := range []straggler.Policy{straggler.Wait, straggler.Twice, straggler.Resume} {
			row := straggler.Mean(c.name, step, policy, seeds)
			t.Log(row)
			if policy == straggler.Resume && (row.Spend > 1.0001 || row.Bias != 0) {
				t.Errorf("resuming dropped tokens: %v", row)
			}
		}
	}
}
