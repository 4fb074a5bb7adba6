package bench

import (
	"bytes"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func run(g *WithT, o Options) *Result {
	d, err := LoadDeployment(filepath.Join("..", "examples", "cerniere"))
	g.Expect(err).NotTo(HaveOccurred())
	r, err := Run(d, o)
	g.Expect(err).NotTo(HaveOccurred())
	return r
}

func TestRunIsDeterministicForSeed(t *testing.T) {
	g := NewWithT(t)
	o := Options{Policy: "pomelocross", Fault: "crash", Seed: 3, Length: 2 * time.Minute, Rate: 1}
	g.Expect(run(g, o).Measures()).To(Equal(run(g, o).Measures()))
	o.Seed = 4
	g.Expect(run(g, o).Measures()).NotTo(Equal(run(g, Options{Policy: o.Policy, Fault: o.Fault, Seed: 3, Length: o.Length, Rate: 1}).Measures()))
}

func TestEveryPolicyDeliversTokensUnderEveryFault(t *testing.T) {
	g := NewWithT(t)
	for _, policy := range PolicyNames() {
		for _, fault := range FaultNames() {
			r := run(g, Options{Policy: policy, Fault: fault, Seed: 1, Length: 90 * time.Second, Rate: 1})
			g.Expect(r.tokens[0]+r.tokens[1]).To(BeNumerically(">", 0), "%s %s", policy, fault)
		}
	}
}

func TestCompareOmitsDifferencesWithinNoise(t *testing.T) {
	g := NewWithT(t)
	a, b := &Table{}, &Table{}
	steady, moved := seriesKey{measure: "steady"}, seriesKey{measure: "moved"}
	for n := range 5 {
		a.add(steady, 100+float64(n))
		b.add(steady, 101+float64(n))
		a.add(moved, 100+float64(n))
		b.add(moved, 130+float64(n))
	}
	var out bytes.Buffer
	g.Expect(Compare(&out, a, b)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("moved"))
	g.Expect(out.String()).NotTo(ContainSubstring("steady"))
	g.Expect(out.String()).To(ContainSubstring("1 measures do not differ"))
}
