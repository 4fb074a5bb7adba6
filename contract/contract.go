// Package contract defines the configuration that operators declare: teams, keys,
// services, routes, model versions, failure domains and cost limits. Parse merges
// and validates the configuration files as one Bundle. NewSnapshot indexes an
// accepted bundle as an immutable Snapshot that request goroutines read without
// locks.
package contract

import "time"

// FormatVersion is the required value of the version field in each configuration
// file.
const FormatVersion = 1

// ServiceKind is the type of the upstreams of a service.
type ServiceKind string

// Service kinds.
const (
	KindEngine ServiceKind = "engine" // model inference engines that stream tokens
	KindPlain  ServiceKind = "plain"  // any HTTP service
)

// Class is the priority class of a request, based on the cost of delay to the caller.
type Class string

// Priority classes, in descending order of urgency.
const (
	ClassDesk    Class = "desk"    // interactive: a person is waiting at a counter
	ClassRollout Class = "rollout" // a training step is waiting
	ClassDraft   Class = "draft"   // audit and safety drafts with a deadline of minutes
)

// Bundle is the complete configuration of one deployment. It takes effect as a
// whole or not at all.
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

// Domain is a failure domain: a set of instances and upstreams that can fail together.
type Domain struct {
	Name   string `yaml:"name" json:"name" validate:"required,name"`
	Region string `yaml:"region" json:"region" validate:"required,name"`
}

// Team is the unit of isolation, fair sharing and billing.
type Team struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// Weight is the team's share of contended upstreams relative to other teams.
	Weight int `yaml:"weight" json:"weight" validate:"min=1,max=1000"`
	// TokensPerMinute limits the team across all instances; 0 means no limit.
	TokensPerMinute int64 `yaml:"tokensPerMinute" json:"tokensPerMinute" validate:"min=0"`
}

// Key is an API key that authorizes its bearer as a team. A bundle contains only
// the salted hash of the secret.
type Key struct {
	ID   string `yaml:"id" json:"id" validate:"required,keyid"`
	Team string `yaml:"team" json:"team" validate:"required"`
	// Hash is "salt:sha256", both in hexadecimal, as returned by HashSecret.
	Hash string `yaml:"hash" json:"hash" validate:"required,keyhash"`
}

// Model is a model whose weights engines load by version.
type Model struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// WeightVersion is the sequence number of the weights to serve. A trainer may
	// publish a later version; an earlier version never replaces it.
	WeightVersion int64 `yaml:"weightVersion" json:"weightVersion" validate:"min=1"`
}

// Service is a named set of upstreams of one kind. The platform's instance list
// defines which upstreams belong to it.
type Service struct {
	Name string      `yaml:"name" json:"name" validate:"required,name"`
	Kind ServiceKind `yaml:"kind" json:"kind" validate:"oneof=engine plain"`
	// Model is the name of the model that the engines of the service serve; empty
	// for plain services.
	Model string `yaml:"model" json:"model,omitempty"`
	// Slots is the maximum number of concurrent requests per upstream.
	Slots int `yaml:"slots" json:"slots" validate:"min=1,max=4096"`
	// FencesOrders indicates that the upstreams reject orders with an outdated
	// fencing token.
	FencesOrders bool `yaml:"fencesOrders" json:"fencesOrders"`
	// RefusalMeansNotRun indicates that the upstreams respond with status 429 or 503
	// only if they have not started to process the request. The engine protocol
	// guarantees this for engines.
	RefusalMeansNotRun bool `yaml:"refusalMeansNotRun" json:"refusalMeansNotRun,omitempty"`
	// WhenIsolated selects how a domain handles requests for the service while it is
	// disconnected from the platform: "serve" serves them with the last accepted
	// configuration, "refuse" rejects them.
	WhenIsolated string `yaml:"whenIsolated" json:"whenIsolated" validate:"oneof=serve refuse"`
	// IsolatedFor limits how long an isolated domain serves if WhenIsolated is
	// "serve"; 0 means no limit.
	IsolatedFor Duration `yaml:"isolatedFor" json:"isolatedFor" validate:"min=0"`
}

// Route maps requests to a service.
type Route struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// Path is a path prefix if it ends in a slash, otherwise an exact path.
	Path    string   `yaml:"path" json:"path" validate:"required,startswith=/"`
	Methods []string `yaml:"methods" json:"methods" validate:"required,dive,oneof=GET HEAD POST PUT PATCH DELETE"`
	Service string   `yaml:"service" json:"service" validate:"required"`
	Class   Class    `yaml:"class" json:"class" validate:"oneof=desk rollout draft"`
	// Open routes do not require a key.
	Open bool `yaml:"open" json:"open"`
	// Idempotent requests may be retried when their outcome is unknown.
	Idempotent bool `yaml:"idempotent" json:"idempotent"`
	// Timeout limits requests that do not set their own deadline.
	Timeout Duration `yaml:"timeout" json:"timeout" validate:"required,min=1"`
}

// CostLimit limits the number of upstreams of a service in a failure domain, by cost
// class.
type CostLimit struct {
	Service string `yaml:"service" json:"service" validate:"required"`
	Domain  string `yaml:"domain" json:"domain" validate:"required"`
	// MaxDear and MaxCheap are the maximum numbers of running upstreams in the cost
	// classes dear (not preemptible) and cheap (preemptible).
	MaxDear  int `yaml:"maxDear" json:"maxDear" validate:"min=0"`
	MaxCheap int `yaml:"maxCheap" json:"maxCheap" validate:"min=0"`
	// MinReady is the number of upstreams that keep running without demand.
	MinReady int `yaml:"minReady" json:"minReady" validate:"min=0"`
}

// Duration is a time.Duration that is encoded as a string such as "1.5s" in YAML and
// JSON.
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
