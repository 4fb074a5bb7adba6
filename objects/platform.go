// Package objects is the typed client of the platform that the deployment
// runs on: its object API, usage interface, scaling interface and instance list.
package objects

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// Version orders all writes to the object API. Zero means "does not exist".
type Version int64

// Kinds of object that the system keeps in the platform.
const (
	KindConfig  = "config"  // one accepted bundle a deployment
	KindLease   = "lease"   // holders of control roles
	KindWeights = "weights" // newest weight version a trainer named, one a model
	KindRun     = "run"     // ledger of a rollout run
	KindBatch   = "batch"   // content of a delivered batch
	KindUsage   = "usage"   // frozen usage figures, one a team and window
	KindStatus  = "status"  // what each domain has in force
	KindIntent  = "intent"  // orders recorded before they are sent
)

// MaxValueBytes is the largest value an object may have.
const MaxValueBytes = 1 << 20

// Object is one stored value.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version Version         `json:"version"`
	Deleted bool            `json:"deleted,omitempty"` // only in watch answers
	Value   json.RawMessage `json:"value,omitempty"`
}

// List is the state of a kind at a version.
type List struct {
	Version Version  `json:"version"`
	Objects []Object `json:"objects"`
}

// Errors of the object API. OutcomeOf says what an error tells of a write.
var (
	ErrNotFound = errors.New("object does not exist")
	ErrConflict = errors.New("object has another version")
	// ErrGap means that a watch asked for changes older than the platform keeps.
	ErrGap = errors.New("watch history is gone")
	// ErrRefused means that the platform's rate limit kept the call out.
	ErrRefused = errors.New("platform refuses calls for a while")
)

// Store is the object API.
type Store interface {
	// Get returns an object or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Put writes value if the object has version expect; 0 creates it. It
	// returns ErrConflict if it has another version.
	Put(ctx context.Context, kind, name string, expect Version, value any) (Object, error)
	// Delete removes the object if it has version expect.
	Delete(ctx context.Context, kind, name string, expect Version) error
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) (List, error)
	// Watch waits for changes after a version and returns them, or returns an
	// empty List at the same version when wait has passed. ErrGap calls for a
	// new List.
	Watch(ctx context.Context, kind string, after Version, wait time.Duration) (List, error)
}

// Role is what runs at a listed address.
type Role string

// The listed roles.
const (
	RoleEntry    Role = "entry"    // an instance of this system
	RoleUpstream Role = "upstream" // an engine or a plain service
)

// CostClass tells upstreams that may be taken away from those that stay.
type CostClass string

// The cost classes.
const (
	CostDear  CostClass = "dear"
	CostCheap CostClass = "cheap"
)

// Member is a line of the instance list. The list lags.
type Member struct {
	Name    string    `json:"name"`
	Role    Role      `json:"role"`
	Service string    `json:"service,omitempty"` // for upstreams
	Domain  string    `json:"domain"`
	Region  string    `json:"region"`
	Address string    `json:"address"`        // IP:port of the traffic interface
	Peer    string    `json:"peer,omitempty"` // IP:port between instances
	Cost    CostClass `json:"cost,omitempty"`
	Leaving bool      `json:"leaving,omitempty"`
}

// UsageReport is the one report for a team and window.
type UsageReport struct {
	Team   string    `json:"team"`
	Window time.Time `json:"window"` // start of the window, UTC
	// Figures are by service.
	Figures  map[string]UsageFigure `json:"figures"`
	Reporter string                 `json:"reporter"`
	Epoch    int64                  `json:"epoch"`
}

// UsageFigure counts what a team used of a service.
type UsageFigure struct {
	Requests     int64 `json:"requests"`
	PromptTokens int64 `json:"promptTokens"`
	OutputTokens int64 `json:"outputTokens"`
	// LateRequests and LateTokens are the part that belongs to earlier windows.
	LateRequests int64 `json:"lateRequests,omitempty"`
	LateTokens   int64 `json:"lateTokens,omitempty"`
}

// ScaleOrder asks for a number of upstreams of a service in a domain.
type ScaleOrder struct {
	Service string    `json:"service"`
	Domain  string    `json:"domain"`
	Cost    CostClass `json:"cost"`
	Count   int       `json:"count"`
	Holder  string    `json:"holder"`
	Epoch   int64     `json:"epoch"`
}

// StaleReader is a Store that gives objects as they were some seconds ago, at a
// lower price.
type StaleReader interface {
	// GetStale returns an object that may be seconds old, or ErrNotFound for one
	// that may exist by now.
	GetStale(ctx context.Context, kind, name string) (Object, error)
}

// GetLasting returns an object that never changes once it exists: a stale reading
// will do if there is one.
func GetImmutable(ctx context.Context, s Store, kind, name string) (Object, error) {
	if stale, ok := s.(StaleReader); ok {
		if o, err := stale.GetStale(ctx, kind, name); err == nil {
			return o, nil
		}
	}
	return s.Get(ctx, kind, name)
}

// Directory is the instance list.
type Directory interface {
	Members(ctx context.Context) ([]Member, error)
}
