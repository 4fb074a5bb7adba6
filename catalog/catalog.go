// Package catalog holds the configuration in force at an instance: routes,
// services, teams and their keys, and limits on callers. A Catalog is immutable;
// a newer one replaces it whole.
package catalog

import (
	"sort"
	"strings"
	"time"
)

// Kind tells what a route's requests are and what may be repeated.
type Kind string

// The kinds of route.
const (
	KindSafe    Kind = "safe"    // may run more than once
	KindUnsafe  Kind = "unsafe"  // runs at most once an attempt of the caller
	KindStream  Kind = "stream"  // answered by events; runs once unless resumable
	KindRollout Kind = "rollout" // takes batches
)

// Share is a weighted target of a route.
type Share struct {
	Service string
	Weight  int
}

// Route says where requests of a host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	Shares []Share // at least one
	// Attempts is how many upstreams one request may be sent to.
	Attempts int
	Timeout  time.Duration // longest time a caller is kept waiting; 0 is unbounded
	Goal     time.Duration // within which an answer has its full worth
	Priority int           // 0 is the most urgent
	Open     bool          // needs no key
	// Resumable streams may go on at another upstream after their last event.
	Resumable bool
	// Due is when all results of a batch are wanted, after its submission.
	Due time.Duration
	// MaxAge is how long after its submission an item may be given up.
	MaxAge time.Duration
	// SingleVersion allows one weight version a result only.
	SingleVersion bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindRollout || (r.Kind == KindStream && r.Resumable)
}

// Service is a named set of upstreams.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int // an upstream accepts from all callers together
	Slots      int // requests an engine runs at once; 0 when not declared
	KVTokens   int // tokens of memory an engine has; 0 for plain services
	Models     []string
	Scaling    *Scaling // nil where the number of upstreams is not ours
}

// Scaling bounds the number of upstreams a failure domain.
type Scaling struct {
	Min, Max     int
	Boot         time.Duration // from an order to the first request
	DomainPrices map[string]float64
}

// Team holds keys.
type Team struct {
	Name     string
	Keys     []string
	Priority *int // goes before the route's; nil for none
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version  int64
	Services map[string]Service
	Limits   Limits

	routes  map[string][]Route // by host, longest prefix first
	teams   map[string]Team    // by key
	byName  map[string]Route
	guarded bool // some team is declared, so keys are asked for
}

// New returns a catalog of routes, services and teams.
func New(version int64, routes []Route, services []Service, teams []Team, limits Limits) *Catalog {
	c := &Catalog{
		Version: version, Limits: limits, Services: map[string]Service{},
		routes: map[string][]Route{}, teams: map[string]Team{}, byName: map[string]Route{}, guarded: teams != nil,
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
		c.byName[r.Name] = r
	}
	for _, list := range c.routes {
		sort.SliceStable(list, func(a, b int) bool { return len(list[a].Prefix) > len(list[b].Prefix) })
	}
	for _, t := range teams {
		for _, key := range t.Keys {
			c.teams[key] = t
		}
	}
	return c
}

// Match returns the route with the longest prefix of path at host.
func (c *Catalog) Match(host, path string) (Route, bool) {
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// HasHost reports whether any route names the host.
func (c *Catalog) HasHost(host string) bool { return len(c.routes[strings.ToLower(host)]) > 0 }

// Route returns a route by name.
func (c *Catalog) Route(name string) (Route, bool) {
	r, ok := c.byName[name]
	return r, ok
}

// Team returns the team that holds key.
func (c *Catalog) Team(key string) (Team, bool) {
	t, ok := c.teams[key]
	return t, ok && key != ""
}

// NeedsKey reports whether requests of a route must present a key.
func (c *Catalog) NeedsKey(r Route) bool { return c.guarded && !r.Open }

// ServiceOf picks the service of a route for a draw in [0, 1), by weight.
func (r Route) ServiceOf(draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += max(0, s.Weight)
	}
	at := draw * float64(total)
	for _, s := range r.Shares {
		at -= float64(max(0, s.Weight))
		if at < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
