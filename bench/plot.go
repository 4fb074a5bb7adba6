package bench

import (
	"github.com/samber/oops"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	barWidth   = 8 // points
	plotWidth  = 26 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot writes a PNG bar chart of a measure of one deployment, grouped by fault
// with one bar per policy.
func (t *Table) Plot(path, deployment, measure string) error {
	p := plot.New()
	p.Title.Text = deployment + ": " + measure
	p.Legend.Top = true
	faultNames, policyNames := t.names(deployment)
	for n, name := range policyNames {
		var values plotter.Values
		for _, fault := range faultNames {
			values = append(values, stat.Mean(t.values[seriesKey{deployment, name, fault, measure}], nil))
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return oops.In("bench").With("step", "plot").Wrap(err)
		}
		bars.Color = plotutil.Color(n)
		bars.Offset = vg.Points(barWidth * (float64(n) - float64(len(policyNames)-1)/2))
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	p.NominalX(faultNames...)
	return p.Save(plotWidth, plotHeight, path)
}

// names returns the faults and policies of a deployment in order of first
// appearance.
func (t *Table) names(deployment string) (faultNames, policyNames []string) {
	seen := map[string]bool{}
	for _, s := range t.keys {
		if s.deployment != deployment {
			continue
		}
		if !seen["fault "+s.fault] {
			seen["fault "+s.fault] = true
			faultNames = append(faultNames, s.fault)
		}
		if !seen["policy "+s.policy] {
			seen["policy "+s.policy] = true
			policyNames = append(policyNames, s.policy)
		}
	}
	return faultNames, policyNames
}
