package bench

import (
	"slices"

	"golang.org/x/sync/errgroup"
)

// Experiment runs every policy under every fault with every seed.
type Experiment struct {
	Deployments []*Deployment
	Policies    []string
	Faults      []string
	Seeds       int
	Options     Options // length and rate
	// Workers is how many runs go on at once.
	Workers int
	// Progress is told after each run; calls may overlap.
	Progress func(*Result)
}

// PolicyNames returns all policies, the one in use first.
func PolicyNames() []string {
	var names []string
	for _, p := range policies {
		names = append(names, p.Name)
	}
	return names
}

// FaultNames returns all faults, none first.
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

// Run returns the results in a fixed order.
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
