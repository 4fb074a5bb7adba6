// Package contract holds what operators declare: teams, keys, services,
// routes, model versions, failure domains and cost limits. Files are parsed
// into one Bundle, checked as a whole, and indexed by a Snapshot that traffic
// goroutines read without locks.
package contract

import "time"

// FormatVersion is the value that the version field of each file must have.
const FormatVersion = 1

// ServiceKind tells what stands behind a service.
type ServiceKind string

// The kinds of service.
const (
	KindEngine ServiceKind = "engine" // model engines that stream tokens
	KindPlain  ServiceKind = "plain"  // any HTTP service
)

// Class orders requests by how much their delay harms the caller.
type Class string

// The classes, most urgent first.
const (
	ClassDesk    Class = "desk"    // a person waits at a counter
	ClassRollout Class = "rollout" // a training step waits
	ClassDraft   Class = "draft"   // audit and safety drafts, deadline in minutes
)

// Bundle is everything the operators of one deployment declare. A bundle is in
// force whole or not at all.
type Bundle struct {
	Version    int         `yaml:"version" json:"version" validate:"eq=1"`
	Deployment string      `yaml:"deployment" json:"deployment" validate:"required,name"`
	Domains    []Domain    `yaml:"domains" json:"domains" validate:"required,dive"`
	Teams      []Team      `yaml:"teams" json:"teams" validate:"dive"`
	Keys       []Key       `yaml:"keys" json:"keys" validate:"dive"`
	Models     []Model     `yaml:"models" json:"models" validate:"dive"`
	Services   []Service   `yaml:"services" json:"services" validate:"dive"`
	Routes     []Route     `yaml:"routes" json:"routes" validate:"dive"`
	CostLimits []CostLimit `yaml:"costLimits" json:"costLimits" validate:"dive"`
}

// Domain is a failure domain: instances and upstreams that fail together.
type Domain struct {
	Name   string `yaml:"name" json:"name" validate:"required,name"`
	Region string `yaml:"region" json:"region" validate:"required,name"`
}

// Team is the unit of isolation, fair sharing and billing.
type Team struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// Weight is the team's share of contended upstreams against other teams.
	Weight int `yaml:"weight" json:"weight" validate:"min=1,max=1000"`
	// TokensPerMinute bounds the team over all instances; 0 is unbounded.
	TokensPerMinute int64 `yaml:"tokensPerMinute" json:"tokensPerMinute" validate:"min=0"`
}

// Key grants its bearer a team's rights. Only a salted hash is declared.
type Key struct {
	ID   string `yaml:"id" json:"id" validate:"required,keyid"`
	Team string `yaml:"team" json:"team" validate:"required"`
	// Hash is "salt:sha256", both in hexadecimal, as made by HashSecret.
	Hash string `yaml:"hash" json:"hash" validate:"required,keyhash"`
}

// Model is a set of weights that engines load by version.
type Model struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// WeightVersion is the sequence number of the weights to serve. A trainer
	// may name a later one; an earlier one never replaces it.
	WeightVersion int64 `yaml:"weightVersion" json:"weightVersion" validate:"min=1"`
}

// Service is a named set of upstreams of one kind. Which upstreams belong to
// it is told by the platform's instance list.
type Service struct {
	Name string      `yaml:"name" json:"name" validate:"required,name"`
	Kind ServiceKind `yaml:"kind" json:"kind" validate:"oneof=engine plain"`
	// Model is what engines of the service serve; empty for plain services.
	Model string `yaml:"model" json:"model,omitempty"`
	// Slots is how many requests one upstream runs at once.
	Slots int `yaml:"slots" json:"slots" validate:"min=1,max=4096"`
	// FencesOrders says that its upstreams refuse old fencing numbers.
	FencesOrders bool `yaml:"fencesOrders" json:"fencesOrders"`
	// RefusalMeansNotRun says that its upstreams answer 429 and 503 only before
	// any work. Engines do by protocol.
	RefusalMeansNotRun bool `yaml:"refusalMeansNotRun" json:"refusalMeansNotRun,omitempty"`
	// WhenIsolated says what a domain cut off from the platform does with the
	// service: serve on the last accepted configuration, or refuse.
	WhenIsolated string `yaml:"whenIsolated" json:"whenIsolated" validate:"oneof=serve refuse"`
	// IsolatedFor bounds how long WhenIsolated serve lasts; 0 is unbounded.
	IsolatedFor Duration `yaml:"isolatedFor" json:"isolatedFor" validate:"min=0"`
}

// Route maps requests to a service.
type Route struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// Path is an exact path, or a prefix when it ends in a slash.
	Path    string   `yaml:"path" json:"path" validate:"required,startswith=/"`
	Methods []string `yaml:"methods" json:"methods" validate:"required,dive,oneof=GET HEAD POST PUT PATCH DELETE"`
	Service string   `yaml:"service" json:"service" validate:"required"`
	Class   Class    `yaml:"class" json:"class" validate:"oneof=desk rollout draft"`
	// Open routes need no key.
	Open bool `yaml:"open" json:"open"`
	// Idempotent requests may be sent again after an unknown outcome.
	Idempotent bool `yaml:"idempotent" json:"idempotent"`
	// Timeout bounds a request that names no deadline of its own.
	Timeout Duration `yaml:"timeout" json:"timeout" validate:"required,min=1"`
}

// CostLimit bounds what upstreams of one service may cost in a region or domain.
type CostLimit struct {
	Service string `yaml:"service" json:"service" validate:"required"`
	Domain  string `yaml:"domain" json:"domain" validate:"required"`
	// MaxDear and MaxCheap bound how many upstreams of each cost class run.
	MaxDear  int `yaml:"maxDear" json:"maxDear" validate:"min=0"`
	MaxCheap int `yaml:"maxCheap" json:"maxCheap" validate:"min=0"`
	// MinReady is how many upstreams are kept even without demand.
	MinReady int `yaml:"minReady" json:"minReady" validate:"min=0"`
}

// Duration is a time.Duration written as "1.5s" in YAML and JSON.
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.Std().String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}
