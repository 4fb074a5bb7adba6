package bench

import (
	"fmt"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/operator"
)

// Deployment describes the simulated deployment.
type Deployment struct {
	Name      string
	Bundle    *contract.Bundle
	Engines   int // number of engines of the engine service
	Instances int
	trainer   string // team whose trainer runs steps
}

// cheapInterval is the number of consecutive engines of which one is cheap.
const cheapInterval = 3

// deploymentSizes holds the size of each known deployment and the team of its
// trainer.
var deploymentSizes = map[string]Deployment{
	"botiquin": {Engines: 12, Instances: 7, trainer: "restock-plans"},
	"cerniere": {Engines: 11, Instances: 7, trainer: "matcher"},
}

// LoadDeployment reads the bundle in dir. It returns an error if deploymentSizes has
// no entry for the bundle's deployment.
func LoadDeployment(dir string) (*Deployment, error) {
	bundle, err := operator.Load([]string{dir})
	if err != nil {
		return nil, err
	}
	d, ok := deploymentSizes[bundle.Deployment]
	if !ok {
		return nil, oops.In("bench").Errorf("size of deployment %q is not defined", bundle.Deployment)
	}
	d.Name, d.Bundle = bundle.Deployment, bundle
	return &d, nil
}

// service returns the bundle's engine service.
func (d *Deployment) service() contract.Service {
	for _, s := range d.Bundle.Services {
		if s.Kind == contract.KindEngine {
			return s
		}
	}
	return contract.Service{}
}

// domain returns the failure domain of the n-th instance or engine; they are
// assigned in round-robin order.
func (d *Deployment) domain(n int) string {
	return d.Bundle.Domains[n%len(d.Bundle.Domains)].Name
}

// member returns the instance list entry of the n-th engine.
func (d *Deployment) member(n int) objects.Member {
	m := objects.Member{Name: fmt.Sprintf("engine-%02d", n), Role: objects.RoleUpstream, Service: d.service().Name, Domain: d.domain(n), Cost: objects.CostDear}
	if n%cheapInterval == 2 {
		m.Cost = objects.CostCheap
	}
	return m
}
