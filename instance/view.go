package instance

import (
	"maps"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/upstream"
)

// View is the control state used by request handling. It is immutable; the control
// goroutine publishes a new view after each event.
type View struct {
	Contract *contract.Snapshot // nil until a configuration is in force
	Domain   *domain.View
	Upstream *upstream.Table
	// WeightVersions are the target weight versions by model.
	WeightVersions map[string]int64
	loads          map[string]upstream.Load
	// membersRead is true once the member list has been read.
	membersRead bool
	// notices are the notices of leaving upstreams from other domains.
	notices leavingNotices
}

// event is a change of the control state.
type event interface{ apply(*View) }

// configEvent is an accepted configuration received from the platform or a peer.
// Applying it does nothing unless its revision is newer.
type configEvent struct{ snapshot *contract.Snapshot }

func (e configEvent) apply(v *View) {
	if v.Contract != nil && e.snapshot.Revision <= v.Contract.Revision {
		return
	}
	v.Contract = e.snapshot
	for _, m := range e.snapshot.Bundle.Models {
		v.raiseWeightVersion(m.Name, m.WeightVersion)
	}
}

// weightsEvent is a weight version that a trainer has published.
type weightsEvent struct {
	model   string
	version int64
}

func (e weightsEvent) apply(v *View) { v.raiseWeightVersion(e.model, e.version) }

// raiseWeightVersion sets the target weight version of a model. It never lowers it.
func (v *View) raiseWeightVersion(model string, version int64) {
	if v.WeightVersions[model] >= version {
		return
	}
	v.WeightVersions = maps.Clone(v.WeightVersions)
	if v.WeightVersions == nil {
		v.WeightVersions = map[string]int64{}
	}
	v.WeightVersions[model] = version
}

// membersReadEvent records that the member list has been read. The resulting
// membershipEvent was sent before it.
type membersReadEvent struct{}

func (membersReadEvent) apply(v *View) { v.membersRead = true }

// membershipEvent is a new view of the entry instances and upstreams.
type membershipEvent struct{ view *domain.View }

func (e membershipEvent) apply(v *View) {
	v.Domain = e.view
	v.Upstream = v.upstreamTable()
}

// loadsEvent holds the loads reported by upstreams, by upstream.
type loadsEvent struct{ loads map[string]upstream.Load }

func (e loadsEvent) apply(v *View) {
	v.loads = keepLeaving(v.loads, e.loads)
	v.Upstream = v.upstreamTable()
}
