// Command pomelocross-bench runs simulated experiments on queueing, slot and routing
// policies and compares their results.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/pomelocross/pomelocross/bench"
)

const version = "0.1.0"

type flags struct {
	deployments, policies, faults string
	out                           string
	seeds, workers                int
	length                        time.Duration
	rate                          float64
	before, after                 string
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "pomelocross-bench:", err)
		os.Exit(1)
	}
}

func run() error {
	f := &flags{
		deployments: "examples/botiquin,examples/cerniere", out: "bin/bench", seeds: 5, workers: 2, length: 5 * time.Minute, rate: 1,
		policies: strings.Join(bench.PolicyNames(), ","), faults: strings.Join(bench.FaultNames(), ","),
	}
	parser := flaggy.NewParser("pomelocross-bench")
	parser.Description = "Measures queue order, team shares and upstream selection under load and faults."
	parser.Version = version
	policies := flaggy.NewSubcommand("policies")
	policies.Description = "run policies under faults on a virtual clock"
	policies.String(&f.deployments, "", "deployments", "comma-separated directories with bundles")
	policies.String(&f.policies, "", "policies", "comma-separated policies")
	policies.String(&f.faults, "", "faults", "comma-separated faults")
	policies.String(&f.out, "", "out", "output directory")
	policies.Int(&f.seeds, "", "seeds", "number of runs of each case, each with its own seed")
	policies.Int(&f.workers, "", "workers", "number of parallel runs")
	policies.Duration(&f.length, "", "length", "virtual duration of a run")
	policies.Float64(&f.rate, "", "rate", "multiplier for the open-loop load")
	compare := flaggy.NewSubcommand("compare")
	compare.Description = "show which measures of two CSV files differ by more than noise"
	compare.AddPositionalValue(&f.before, "A.csv", 1, true, "results before")
	compare.AddPositionalValue(&f.after, "B.csv", 2, true, "results after")
	parser.AttachSubcommand(policies, 1)
	parser.AttachSubcommand(compare, 1)
	if err := parser.Parse(); err != nil {
		return err
	}
	switch {
	case policies.Used:
		return f.runPolicies()
	case compare.Used:
		return f.compare()
	}
	parser.ShowHelp()
	return fmt.Errorf("a command is required")
}

func (f *flags) runPolicies() error {
	e := &bench.Experiment{
		Policies: strings.Split(f.policies, ","), Faults: strings.Split(f.faults, ","), Seeds: f.seeds, Workers: f.workers,
		Options: bench.Options{Length: f.length, Rate: f.rate},
		Progress: func(r *bench.Result) {
			fmt.Fprintf(os.Stderr, "%s %s %s seed %d: %d steps\n", r.Deployment, r.Fault, r.Policy, r.Seed, r.Steps)
		},
	}
	for _, dir := range strings.Split(f.deployments, ",") {
		d, err := bench.LoadDeployment(dir)
		if err != nil {
			return err
		}
		e.Deployments = append(e.Deployments, d)
	}
	results, err := e.Run()
	if err != nil {
		return err
	}
	return f.write(e, results)
}

// write writes the CSV file and the plots to the output directory and prints the
// summary.
func (f *flags) write(e *bench.Experiment, results []*bench.Result) error {
	if err := os.MkdirAll(f.out, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(f.out, "policies.csv"))
	if err != nil {
		return err
	}
	defer file.Close()
	if err := bench.WriteCSV(file, results); err != nil {
		return err
	}
	table := bench.TableOf(results)
	for _, d := range e.Deployments {
		for _, measure := range []string{"worst_team_draft_p99_ms", "trainer_idle"} {
			if err := table.Plot(filepath.Join(f.out, d.Name+"-"+measure+".png"), d.Name, measure); err != nil {
				return err
			}
		}
	}
	return table.Summary(os.Stdout)
}

func (f *flags) compare() error {
	before, err := bench.ReadCSV(f.before)
	if err != nil {
		return err
	}
	after, err := bench.ReadCSV(f.after)
	if err != nil {
		return err
	}
	return bench.Compare(os.Stdout, before, after)
}
