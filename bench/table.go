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

// header is the first line of a CSV file.
var header = []string{"deployment", "policy", "fault", "seed", "measure", "value", "better"}

// WriteCSV writes the results with one line per measure.
func WriteCSV(w io.Writer, results []*Result) error {
	out := csv.NewWriter(w)
	_ = out.Write(header) // out.Error returns the error
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

// seriesKey identifies a measure for a deployment, policy and fault.
type seriesKey struct{ deployment, policy, fault, measure string }

// Table holds the values of each series, one per seed.
type Table struct {
	keys   []seriesKey
	values map[seriesKey][]float64
}

func (t *Table) add(s seriesKey, value float64) {
	if t.values == nil {
		t.values = map[seriesKey][]float64{}
	}
	if _, known := t.values[s]; !known {
		t.keys = append(t.keys, s)
	}
	t.values[s] = append(t.values[s], value)
}

// TableOf returns a table with the measures of the results.
func TableOf(results []*Result) *Table {
	t := &Table{}
	for _, r := range results {
		for _, m := range r.Measures() {
			t.add(seriesKey{r.Deployment, r.Policy, r.Fault, m.Name}, m.Value)
		}
	}
	return t
}

// ReadCSV reads a file written by WriteCSV.
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
		t.add(seriesKey{line[0], line[1], line[2], line[4]}, value)
	}
	return t, nil
}

// noiseFactor is the number of standard errors that a significant difference
// exceeds.
const noiseFactor = 2.8

// Compare writes the measures of a that differ in b by more than the noise between
// seeds, that is, whose Welch t-statistic exceeds noiseFactor.
func Compare(w io.Writer, a, b *Table) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "deployment\tpolicy\tfault\tmeasure\tA\tB\tB/A")
	unchanged := 0
	for _, s := range a.keys {
		before, after := a.values[s], b.values[s]
		if len(after) == 0 {
			continue
		}
		if !differBeyondNoise(before, after) {
			unchanged++
			continue
		}
		meanBefore, meanAfter := stat.Mean(before, nil), stat.Mean(after, nil)
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.3f\n", s.deployment, s.policy, s.fault, s.measure, meanBefore, meanAfter, meanAfter/meanBefore)
	}
	fmt.Fprintf(out, "%d measures do not differ beyond noise\n", unchanged)
	return out.Flush()
}

func differBeyondNoise(a, b []float64) bool {
	meanA, varianceA := stat.MeanVariance(a, nil)
	meanB, varianceB := stat.MeanVariance(b, nil)
	if len(a) < 2 || len(b) < 2 {
		return false
	}
	stdError := math.Sqrt(varianceA/float64(len(a)) + varianceB/float64(len(b)))
	return math.Abs(meanA-meanB) > noiseFactor*stdError
}

// summaryMeasures are the columns of the summary.
var summaryMeasures = []string{"worst_team_draft_p99_ms", "worst_team_served", "trainer_idle", "desk_p99_ms", "gave_up", "cheap_part", "price_per_token"}

// Summary writes the means over the seeds, with one line per deployment, fault and
// policy.
func (t *Table) Summary(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(out, "deployment\tfault\tpolicy\t")
	for _, name := range summaryMeasures {
		fmt.Fprint(out, name+"\t")
	}
	fmt.Fprintln(out)
	for _, s := range t.keys {
		if s.measure != summaryMeasures[0] {
			continue
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t", s.deployment, s.fault, s.policy)
		for _, name := range summaryMeasures {
			s.measure = name
			fmt.Fprintf(out, "%.4g\t", stat.Mean(t.values[s], nil))
		}
		fmt.Fprintln(out)
	}
	return out.Flush()
}
