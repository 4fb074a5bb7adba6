package bench

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"os"
	"strconv"
	"text/tabwriter"

	"github.com/samber/oops"
	"gonum.org/v1/gonum/stat"
)

// header names the columns of a CSV file.
var header = []string{"deployment", "policy", "fault", "seed", "measure", "value", "better"}

// WriteCSV writes results, a line for each measure.
func WriteCSV(w io.Writer, results []*Result) error {
	out := csv.NewWriter(w)
	_ = out.Write(header) // Error reports it
	for _, r := range results {
		for _, m := range r.Measures() {
			better := "lower"
			if m.HigherIsBetter {
				better = "higher"
			}
			_ = out.Write([]string{r.Deployment, r.Policy, r.Fault, strconv.FormatUint(r.Seed, 10), m.Name, strconv.FormatFloat(m.Value, 'g', 6, 64), better})
		}
	}
	out.Flush()
	return out.Error()
}

// series is a measure under one deployment, policy and fault.
type series struct{ deployment, policy, fault, measure string }

// Table holds the values of each series over seeds.
type Table struct {
	order  []series
	values map[series][]float64
}

func (t *Table) add(s series, value float64) {
	if t.values == nil {
		t.values = map[series][]float64{}
	}
	if _, known := t.values[s]; !known {
		t.order = append(t.order, s)
	}
	t.values[s] = append(t.values[s], value)
}

// TableOf collects the measures of results.
func TableOf(results []*Result) *Table {
	t := &Table{}
	for _, r := range results {
		for _, m := range r.Measures() {
			t.add(series{r.Deployment, r.Policy, r.Fault, m.Name}, m.Value)
		}
	}
	return t
}

// ReadCSV reads a file that WriteCSV wrote.
func ReadCSV(path string) (*Table, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, oops.In("bench").With("step", "open").Wrap(err)
	}
	defer file.Close()
	lines, err := csv.NewReader(file).ReadAll()
	if err != nil {
		return nil, oops.In("bench").With("step", "read").Wrap(err)
	}
	t := &Table{}
	for n, line := range lines {
		if n == 0 {
			continue
		}
		value, err := strconv.ParseFloat(line[5], 64)
		if err != nil {
			return nil, oops.In("bench").With("line", n+1).Wrap(err)
		}
		t.add(series{line[0], line[1], line[2], line[4]}, value)
	}
	return t, nil
}

// noiseFactor is how many standard errors a difference must exceed.
const noiseFactor = 2.8

// Compare writes the measures that differ between two tables beyond the noise
// over seeds: Welch's statistic above a fixed factor.
func Compare(w io.Writer, a, b *Table) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "deployment\tpolicy\tfault\tmeasure\tA\tB\tB/A")
	alike := 0
	for _, s := range a.order {
		before, after := a.values[s], b.values[s]
		if len(after) == 0 {
			continue
		}
		if !differ(before, after) {
			alike++
			continue
		}
		was, is := stat.Mean(before, nil), stat.Mean(after, nil)
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.3f\n", s.deployment, s.policy, s.fault, s.measure, was, is, is/was)
	}
	fmt.Fprintf(out, "%d measures do not differ beyond noise\n", alike)
	return out.Flush()
}

func differ(a, b []float64) bool {
	meanA, varianceA := stat.MeanVariance(a, nil)
	meanB, varianceB := stat.MeanVariance(b, nil)
	if len(a) < 2 || len(b) < 2 {
		return false
	}
	deviation := math.Sqrt(varianceA/float64(len(a)) + varianceB/float64(len(b)))
	return math.Abs(meanA-meanB) > noiseFactor*deviation
}

// summarised are the measures of the one-page summary.
var summarised = []string{"worst_team_draft_p99_ms", "worst_team_served", "trainer_idle", "desk_p99_ms", "gave_up", "cheap_part", "price_per_token"}

// Summary writes the means over seeds, a line for each deployment, fault and policy.
func (t *Table) Summary(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(out, "deployment\tfault\tpolicy\t")
	for _, name := range summarised {
		fmt.Fprint(out, name+"\t")
	}
	fmt.Fprintln(out)
	for _, s := range t.order {
		if s.measure != summarised[0] {
			continue
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t", s.deployment, s.fault, s.policy)
		for _, name := range summarised {
			s.measure = name
			fmt.Fprintf(out, "%.4g\t", stat.Mean(t.values[s], nil))
		}
		fmt.Fprintln(out)
	}
	return out.Flush()
}
