package bench

import (
	"fmt"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/operator"
)

// Deployment is what load is run against.
type Deployment struct {
	Name      string
	Bundle    *contract.Bundle
	Engines   int // of the engine service
	Instances int
	trainer   string // team whose trainer runs steps
}

// cheapEvery makes each so-manieth engine a cheap one.
const cheapEvery = 3

// sizes are the engines and the trainers' teams of the known deployments.
var sizes = map[string]Deployment{
	"botiquin": {Engines: 12, Instances: 7, trainer: "restock-plans"},
	"cerniere": {Engines: 11, Instances: 7, trainer: "matcher"},
}

// LoadDeployment reads the bundle in dir, which names one of the known deployments.
func LoadDeployment(dir string) (*Deployment, error) {
	bundle, err := operator.Load([]string{dir})
	if err != nil {
		return nil, err
	}
	d, ok := sizes[bundle.Deployment]
	if !ok {
		return nil, oops.In("bench").Errorf("deployment %q has no known size", bundle.Deployment)
	}
	d.Name, d.Bundle = bundle.Deployment, bundle
	return &d, nil
}

// service returns the engine service.
func (d *Deployment) service() contract.Service {
	for _, s := range d.Bundle.Services {
		if s.Kind == contract.KindEngine {
			return s
		}
	}
	return contract.Service{}
}

// domain returns the failure domain of the n-th instance or engine.
func (d *Deployment) domain(n int) string {
	return d.Bundle.Domains[n%len(d.Bundle.Domains)].Name
}

// member returns the n-th engine as the instance list shows it.
func (d *Deployment) member(n int) objects.Member {
	m := objects.Member{Name: fmt.Sprintf("engine-%02d", n), Role: objects.RoleUpstream, Service: d.service().Name, Domain: d.domain(n), Cost: objects.CostDear}
	if n%cheapEvery == 2 {
		m.Cost = objects.CostCheap
	}
	return m
}
