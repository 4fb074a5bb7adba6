// Package upstream implements clients for upstreams, the back ends of services:
// model engines that stream tokens, and plain HTTP services. Requests to them are
// built from allow lists, so that credentials of callers are never forwarded.
package upstream

import (
	"github.com/pomelocross/pomelocross/objects"
)

// Upstream is one back end as known to an instance.
type Upstream struct {
	objects.Member
	Load Load
}

// Load is the last load report of an upstream. It may be out of date.
type Load struct {
	Running int   `json:"running"` // requests being processed
	Waiting int   `json:"waiting"` // requests accepted but not started
	Tokens  int64 `json:"tokens"`  // generated since the upstream started
	// Model is the model that the engine serves; empty if not reported.
	Model string `json:"model,omitempty"`
	// WeightVersion is the weight version that the engine serves; 0 for plain
	// services.
	WeightVersion int64 `json:"weightVersion"`
	// Loading is the weight version being loaded; 0 if none is.
	Loading int64 `json:"loading,omitempty"`
	// FreeKV is the free fraction of the key-value cache, 0 to 1.
	FreeKV float64 `json:"freeKV"`
	// Leaving is true if the upstream is being removed.
	Leaving bool `json:"leaving,omitempty"`
}

// Table indexes upstreams by service and failure domain. It is immutable.
type Table struct {
	byService map[string][]Upstream
	byDomain  map[serviceDomain][]Upstream
}

// serviceDomain identifies the upstreams of a service in one failure domain.
type serviceDomain struct{ service, domain string }

// NewTable joins the member list with the last known loads, by upstream name. An
// upstream is marked as leaving if either source says so.
func NewTable(members []objects.Member, loads map[string]Load) *Table {
	t := &Table{byService: map[string][]Upstream{}, byDomain: map[serviceDomain][]Upstream{}}
	for _, m := range members {
		m.Leaving = m.Leaving || loads[m.Name].Leaving
		u := Upstream{Member: m, Load: loads[m.Name]}
		t.byService[m.Service] = append(t.byService[m.Service], u)
		key := serviceDomain{m.Service, m.Domain}
		t.byDomain[key] = append(t.byDomain[key], u)
	}
	return t
}

// ByService returns the upstreams of a service, including leaving ones.
func (t *Table) ByService(service string) []Upstream { return t.byService[service] }

// ByDomain returns the upstreams of a service in a failure domain, including leaving
// ones.
func (t *Table) ByDomain(service, domain string) []Upstream {
	return t.byDomain[serviceDomain{service, domain}]
}
