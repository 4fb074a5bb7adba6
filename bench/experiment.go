package bench

import (
	"slices"

	"golang.org/x/sync/errgroup"
)

// Experiment runs all combinations of deployments, policies, faults and seeds.
type Experiment struct {
	Deployments []*Deployment
	Policies    []string
	Faults      []string
	Seeds       int
	Options     Options // only Length and Rate are used
	// Workers is the maximum number of concurrent runs.
	Workers int
	// Progress is called after each run, possibly concurrently.
	Progress func(*Result)
}

// PolicyNames returns the names of all policies, starting with the one used in
// production.
func PolicyNames() []string {
	var names []string
	for _, p := range policies {
		names = append(names, p.Name)
	}
	return names
}

// FaultNames returns the names of all faults: "none", then the others sorted.
func FaultNames() []string {
	names := []string{}
	for name := range faults {
		if name != "none" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return append([]string{"none"}, names...)
}

// Run runs the experiment. The order of the results does not depend on which run
// ends first.
func (e *Experiment) Run() ([]*Result, error) {
	cases := e.cases()
	results := make([]*Result, len(cases))
	var group errgroup.Group
	group.SetLimit(e.Workers)
	for n, c := range cases {
		group.Go(func() error {
			r, err := Run(c.deployment, c.options)
			if err != nil {
				return err
			}
			results[n] = r
			e.Progress(r)
			return nil
		})
	}
	err := group.Wait()
	return results, err
}

type experimentCase struct {
	deployment *Deployment
	options    Options
}

func (e *Experiment) cases() []experimentCase {
	var all []experimentCase
	for _, d := range e.Deployments {
		for _, fault := range e.Faults {
			for _, policy := range e.Policies {
				for seed := range e.Seeds {
					options := e.Options
					options.Policy, options.Fault, options.Seed = policy, fault, uint64(seed)+1
					all = append(all, experimentCase{d, options})
				}
			}
		}
	}
	return all
}
