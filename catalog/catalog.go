// Package catalog defines the configuration that is in force on an instance:
// routes, services, teams with their keys, and limits on requests. A Catalog is
// immutable and is replaced as a whole by a newer version.
package catalog

import (
	"sort"
	"strings"
	"time"

	"github.com/pomelocross/pomelocross/internal/urlpath"
)

// Kind is the type of the requests of a route. It determines whether they may be
// retried.
type Kind string

// Route kinds.
const (
	KindSafe    Kind = "safe"    // requests may run more than once
	KindUnsafe  Kind = "unsafe"  // a request runs at most once for each attempt of the caller
	KindStream  Kind = "stream"  // responses are event streams; a request runs once unless the route is resumable
	KindRollout Kind = "rollout" // requests submit batches of items
)

// Share is a service of a route with its weight among the services of that route.
// A weight below 0 counts as 0.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Route defines how requests for a host and path prefix are handled. Its JSON form is stored
// with batches; durations are in nanoseconds.
type Route struct {
	Name   string  `json:"name"`
	Host   string  `json:"host"`   // matched without regard to case
	Prefix string  `json:"prefix"` // of the path; begins and ends with a slash
	Kind   Kind    `json:"kind"`
	Shares []Share `json:"shares"` // at least one
	// Attempts limits how many upstreams one request is sent to.
	Attempts int           `json:"attempts"`
	Timeout  time.Duration `json:"timeout,omitempty"`  // maximum time until the response; 0 means no limit
	Goal     time.Duration `json:"goal,omitempty"`     // target response time; a later response has less value for the caller
	Priority int           `json:"priority,omitempty"` // 0 is the highest
	Open     bool          `json:"open,omitempty"`     // requests need no key
	// Resumable allows a stream to continue on another upstream after its last event.
	Resumable bool `json:"resumable,omitempty"`
	// Due is the time after the submission of a batch at which all its results are due.
	Due time.Duration `json:"due,omitempty"`
	// MaxAge is the time after the submission of an item from which it may be abandoned.
	MaxAge time.Duration `json:"maxAge,omitempty"`
	// SingleVersion requires each result to come from a single weight version.
	SingleVersion bool `json:"singleVersion,omitempty"`
}

// Repeatable reports whether a request of the route may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindRollout || (r.Kind == KindStream && r.Resumable)
}

// Service is a named set of upstreams.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int      // connections that one upstream accepts from all callers together
	ColdRate   float64  // requests in a second that a cold upstream accepts from all instances together; 0 if not declared
	Slots      int      // requests that an engine runs concurrently; 0 if not declared
	KVTokens   int      // capacity of the KV cache of an engine in tokens; 0 for services without engines
	Models     []string // names of the models that the service serves
	Scaling    *Scaling // nil if the gateway does not scale the service
}

// Scaling limits the number of upstreams of a service per failure domain.
type Scaling struct {
	Min, Max     int                // upstreams per failure domain
	Boot         time.Duration      // time from ordering an upstream until it can serve requests
	DomainPrices map[string]float64 // price by failure domain
}

// Team is a group of callers that share a set of API keys.
type Team struct {
	Name     string
	Keys     []string
	Priority *int // overrides the priority of the route; nil if not set
}

// Limits are the size and time limits on what a caller sends. The timeouts apply to
// the headers of a request and to an idle connection.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// hostRoute is a route with the normalized form of its prefix.
type hostRoute struct {
	Route
	prefix string
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version  int64
	Services map[string]Service
	Limits   Limits

	routesByHost map[string][]hostRoute   // host in lower case; longest prefix first
	batchHosts   map[string]time.Duration // as returned by BatchHosts
	teamsByKey   map[string]Team
	routesByName map[string]Route
	keysRequired bool // teams are declared, so requests need a key
}

// New returns a catalog with the given contents. If teams is nil, no route needs a
// key.
func New(version int64, routes []Route, services []Service, teams []Team, limits Limits) *Catalog {
	c := &Catalog{
		Version: version, Limits: limits, Services: map[string]Service{},
		routesByHost: map[string][]hostRoute{}, batchHosts: map[string]time.Duration{}, teamsByKey: map[string]Team{}, routesByName: map[string]Route{}, keysRequired: teams != nil,
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], hostRoute{r, urlpath.Normalize(r.Prefix)})
		c.routesByName[r.Name] = r
		if r.Kind == KindRollout {
			c.batchHosts[host] = max(c.batchHosts[host], r.MaxAge)
		}
	}
	for _, list := range c.routesByHost {
		sort.SliceStable(list, func(a, b int) bool { return len(list[a].prefix) > len(list[b].prefix) })
	}
	for _, t := range teams {
		for _, key := range t.Keys {
			c.teamsByKey[key] = t
		}
	}
	return c
}

// Match returns the route of host with the longest prefix of path, and false if there
// is none. path is the path as sent, with its escapes.
func (c *Catalog) Match(host, path string) (Route, bool) {
	r, ok := c.match(host, path)
	return r.Route, ok
}

func (c *Catalog) match(host, path string) (hostRoute, bool) {
	path = urlpath.Normalize(path)
	for _, r := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.prefix) {
			return r, true
		}
	}
	return hostRoute{}, false
}

// BatchHosts returns the hosts with routes for batches, in lower case, with the longest time
// for which a batch of theirs may be open. The caller must not change the map.
func (c *Catalog) BatchHosts() map[string]time.Duration { return c.batchHosts }

// IsBatchPath reports whether a path of a host that begins with prefix, one of those of the batch
// interface, is a path of that interface rather than of a route. hasBatches reports whether the
// host has batches. On such a host the interface counts as a route with that prefix: a route of the
// same or a longer one is configured for these paths and takes precedence. Paths without a route
// are left to the interface, since a batch outlives its route, and an instance may not know a new
// route yet.
func (c *Catalog) IsBatchPath(host, path, prefix string, hasBatches bool) bool {
	r, ok := c.match(host, path)
	switch {
	case !ok, r.Kind == KindRollout:
		return true
	case len(r.prefix) >= len(prefix):
		return false
	}
	return hasBatches
}

// Service returns the service with the given name. A service that the configuration does not
// declare has a name only.
func (c *Catalog) Service(name string) Service {
	s := c.Services[name]
	s.Name = name
	return s
}

// Route returns the route with the given name, and false if there is none.
func (c *Catalog) Route(name string) (Route, bool) {
	r, ok := c.routesByName[name]
	return r, ok
}

// Team returns the team that key belongs to, and false if there is none. An empty
// key belongs to no team.
func (c *Catalog) Team(key string) (Team, bool) {
	t, ok := c.teamsByKey[key]
	return t, ok && key != ""
}

// NeedsKey reports whether requests of a route must carry a key.
func (c *Catalog) NeedsKey(r Route) bool { return c.keysRequired && !r.Open }

// ServiceOf selects a service of the route by weight. fraction is a random number or a
// hash in [0, 1); the same fraction selects the same service. It returns the last service if all
// weights are 0, and "" if the route has no services.
func (r Route) ServiceOf(fraction float64) string {
	total := 0
	for _, s := range r.Shares {
		total += max(0, s.Weight)
	}
	position := fraction * float64(total)
	for _, s := range r.Shares {
		position -= float64(max(0, s.Weight))
		if position < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
