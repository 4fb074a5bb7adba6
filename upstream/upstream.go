// Package upstream speaks to what stands behind services: model engines that
// stream tokens and plain HTTP services. Requests to them are built from allow
// lists, so nothing of a caller's credentials can reach them.
package upstream

import (
	"github.com/pomelocross/pomelocross/objects"
)

// Upstream is one back end as an instance knows it.
type Upstream struct {
	objects.Member
	Load Load
}

// Load is what an upstream last reported of itself. It lags.
type Load struct {
	Running int   `json:"running"` // requests it works on
	Waiting int   `json:"waiting"` // requests it has admitted but not begun
	Tokens  int64 `json:"tokens"`  // generated since its start
	// Model is what the engine says it serves; empty when it does not say.
	Model string `json:"model,omitempty"`
	// WeightVersion is what the engine says it runs; 0 for plain services.
	WeightVersion int64 `json:"weightVersion"`
	// Loading is the version being loaded; 0 when none is.
	Loading int64 `json:"loading,omitempty"`
	// FreeKV is the share of cache memory free, 0 to 1.
	FreeKV float64 `json:"freeKV"`
	// Leaving says that the upstream is being taken away.
	Leaving bool `json:"leaving,omitempty"`
}

// Table lists upstreams by service. It is immutable.
type Table struct {
	services map[string][]Upstream
	places   map[place][]Upstream
}

// place is where upstreams of a service are.
type place struct{ service, domain string }

// NewTable joins the member list with the last known loads, by upstream name.
// An upstream leaves when either says so.
func NewTable(members []objects.Member, loads map[string]Load) *Table {
	t := &Table{services: map[string][]Upstream{}, places: map[place][]Upstream{}}
	for _, m := range members {
		m.Leaving = m.Leaving || loads[m.Name].Leaving
		u := Upstream{Member: m, Load: loads[m.Name]}
		t.services[m.Service] = append(t.services[m.Service], u)
		here := place{m.Service, m.Domain}
		t.places[here] = append(t.places[here], u)
	}
	return t
}

// Of returns the upstreams of a service, leaving ones included.
func (t *Table) ByService(service string) []Upstream { return t.services[service] }

// In returns the upstreams of a service in a failure domain, leaving ones
// included.
func (t *Table) ByDomain(service, domain string) []Upstream { return t.places[place{service, domain}] }
