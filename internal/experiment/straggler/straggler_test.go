package straggler_test

import (
	"slices"
	"testing"

	"github.com/pomelocross/pomelocross/internal/experiment/straggler"
)

// cases are steps on eight engines of 32 slots.
var cases = []struct {
	name      string
	slowRates []float64 // rates of the last engines; the others run at normalRate
}{
	{"no slow engine", nil},
	{"one engine of 8 at 1/2", []float64{25}},
	{"one engine of 8 at 1/10", []float64{5}},
	{"one engine of 8 at 1/100", []float64{0.5}},
	{"two engines of 8 at 1/10", []float64{5, 5}},
}

const (
	normalRate = 50 // tokens per second and sample
	seeds      = 20
)

// TestPolicies logs the comparison and checks that Resume discards no tokens and
// does not bias the sample lengths.
func TestPolicies(t *testing.T) {
	for _, c := range cases {
		rates := slices.Repeat([]float64{normalRate}, 8-len(c.slowRates))
		step := straggler.Case{Samples: 1024, Slots: 32, Rates: append(rates, c.slowRates...), Median: 1000, Spread: 0.8}
		for _, policy := range []straggler.Policy{straggler.Wait, straggler.Duplicate, straggler.Resume} {
			row := straggler.Mean(c.name, step, policy, seeds)
			t.Log(row)
			if policy == straggler.Resume && (row.TokenOverhead > 1.0001 || row.Bias != 0) {
				t.Errorf("Resume discarded tokens or biased the lengths: %v", row)
			}
		}
	}
}
