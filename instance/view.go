package instance

import (
	"maps"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/upstream"
)

// View is all control state that traffic needs. It is immutable; the control
// goroutine publishes a new one after each event that changes it.
type View struct {
	Contract *contract.Snapshot // nil until a configuration is in force
	Domain   *domain.View
	Upstream *upstream.Table
	// Weights are the wanted weight versions by model.
	Weights map[string]int64
	loads   map[string]upstream.Load
	// listed is true once the instance list has been read.
	listed bool
	// noticed are the upstreams that other domains say are leaving.
	noticed notices
}

// event changes control state.
type event interface{ apply(*View) }

// configured is an accepted configuration read from the platform or a peer.
type configured struct{ snapshot *contract.Snapshot }

func (e configured) apply(v *View) {
	if v.Contract != nil && e.snapshot.Revision <= v.Contract.Revision {
		return
	}
	v.Contract = e.snapshot
	for _, m := range e.snapshot.Bundle.Models {
		v.want(m.Name, m.WeightVersion)
	}
}

// weighted is a weight version that a trainer has named.
type weighted struct {
	model   string
	version int64
}

func (e weighted) apply(v *View) { v.want(e.model, e.version) }

// want raises the wanted version; it never falls.
func (v *View) want(model string, version int64) {
	if v.Weights[model] >= version {
		return
	}
	v.Weights = maps.Clone(v.Weights)
	if v.Weights == nil {
		v.Weights = map[string]int64{}
	}
	v.Weights[model] = version
}

// listRead says that the instance list was read and the membership that comes
// of it was sent before.
type listRead struct{}

func (listRead) apply(v *View) { v.listed = true }

// membership is a new view of the entry instances and upstreams.
type membership struct{ view *domain.View }

func (e membership) apply(v *View) {
	v.Domain = e.view
	v.Upstream = v.table()
}

// loaded are loads that upstreams have reported, by name.
type loaded struct{ loads map[string]upstream.Load }

func (e loaded) apply(v *View) {
	v.loads = keepLeaving(v.loads, e.loads)
	v.Upstream = v.table()
}
