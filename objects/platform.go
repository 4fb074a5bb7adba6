// Package objects is the typed client of the platform that the deployment runs on: its
// versioned object API, usage reporting, upstream scaling and instance list. Besides
// the client it has a cache of object kinds for several readers, and a Store that
// relays calls through other instances.
package objects

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/samber/oops"
)

// Version orders all writes to the object API. Zero means that the object does not exist.
type Version int64

// Kinds of objects stored in the platform.
const (
	KindConfig  = "config"  // accepted configuration bundle, one per deployment
	KindLease   = "lease"   // leases of control roles
	KindWeights = "weights" // newest weight version published by a trainer, one per model
	KindRun     = "run"     // progress of a rollout run
	KindBatch   = "batch"   // content of a delivered batch
	KindUsage   = "usage"   // billing account of a team, with its newest frozen window
	KindStatus  = "status"  // status of each failure domain
	KindIntent  = "intent"  // scaling orders, recorded before they are sent
)

// MaxValueBytes is the maximum size of an object's value.
const MaxValueBytes = 1 << 20

// Object is a stored value with its version.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version Version         `json:"version"`
	Deleted bool            `json:"deleted,omitempty"` // only in responses to a watch
	Value   json.RawMessage `json:"value,omitempty"`
}

// List holds the objects of a kind, or their changes, as of a version.
type List struct {
	Version Version  `json:"version"`
	Objects []Object `json:"objects"`
	// AsOf is the time as of which a cache knows this to be the state of the store, by
	// the cache's clock; zero in a response of the store itself.
	AsOf time.Time `json:"-"`
}

// Errors of the object API. OutcomeOf maps the error of a write to its outcome.
var (
	ErrNotFound = errors.New("object does not exist")
	ErrConflict = errors.New("object has another version")
	// ErrGap means that the platform no longer keeps the changes that a watch requested.
	ErrGap = errors.New("requested changes are older than the watch history")
	// ErrRefused means that the call was not executed, because of the platform's rate
	// limit or because no source with recent data was available.
	ErrRefused = errors.New("platform refuses calls for a while")
	// ErrRejected means that the call was not executed because of what it holds, such as
	// a value of more than MaxValueBytes. The same call is rejected each time.
	ErrRejected = errors.New("platform does not accept the call")
)

// Encode returns the form in which a value is stored. It returns ErrRejected if that is
// larger than MaxValueBytes.
func Encode(value any) (json.RawMessage, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return nil, oops.In("objects").With("step", "encode").Wrap(errors.Join(ErrRejected, err))
	}
	if len(encoded) > MaxValueBytes {
		return nil, oops.In("objects").With("step", "encode", "bytes", len(encoded), "limit", MaxValueBytes).Wrap(ErrRejected)
	}
	return encoded, nil
}

// Store is the object API.
type Store interface {
	// Get returns an object or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Put writes value if the object has version expect, and returns ErrConflict
	// otherwise. Version 0 creates the object. It returns ErrRejected for a value that
	// can't be stored.
	Put(ctx context.Context, kind, name string, expect Version, value any) (Object, error)
	// Delete removes the object if it has version expect, and returns ErrConflict
	// otherwise.
	Delete(ctx context.Context, kind, name string, expect Version) error
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) (List, error)
	// Watch waits for changes after a version and returns them, or returns an
	// empty List at the same version when wait has passed. After ErrGap the caller
	// must call List again.
	Watch(ctx context.Context, kind string, after Version, wait time.Duration) (List, error)
}

// Role is the kind of process at an address of the instance list.
type Role string

// The roles in the instance list.
const (
	RoleEntry    Role = "entry"    // an instance of this system
	RoleUpstream Role = "upstream" // an inference engine or another HTTP service
)

// CostClass distinguishes upstreams that the platform may reclaim (cheap) from those
// that stay (dear).
type CostClass string

// The cost classes.
const (
	CostDear  CostClass = "dear"
	CostCheap CostClass = "cheap"
)

// Member is an entry of the instance list. The list may be out of date.
type Member struct {
	Name    string    `json:"name"`
	Role    Role      `json:"role"`
	Service string    `json:"service,omitempty"` // for upstreams
	Domain  string    `json:"domain"`
	Region  string    `json:"region"`
	Address string    `json:"address"`        // IP:port of the traffic interface
	Peer    string    `json:"peer,omitempty"` // IP:port for calls between instances
	Cost    CostClass `json:"cost,omitempty"`
	Leaving bool      `json:"leaving,omitempty"`
}

// UsageReport is the usage of a team in a window. There is one per team and window.
type UsageReport struct {
	Team   string    `json:"team"`
	Window time.Time `json:"window"` // start of the window, UTC
	// Figures are keyed by service.
	Figures  map[string]UsageFigure `json:"figures"`
	Reporter string                 `json:"reporter"`
	Epoch    int64                  `json:"epoch"`
}

// UsageFigure counts the requests and tokens of a team at a service.
type UsageFigure struct {
	Requests     int64 `json:"requests"`
	PromptTokens int64 `json:"promptTokens"`
	OutputTokens int64 `json:"outputTokens"`
	// LateRequests and LateTokens are the part of the counts above that belongs to
	// earlier windows.
	LateRequests int64 `json:"lateRequests,omitempty"`
	LateTokens   int64 `json:"lateTokens,omitempty"`
}

// ScaleOrder requests a number of upstreams of a service in a failure domain.
type ScaleOrder struct {
	Service string    `json:"service"`
	Domain  string    `json:"domain"`
	Cost    CostClass `json:"cost"`
	Count   int       `json:"count"`
	Holder  string    `json:"holder"`
	Epoch   int64     `json:"epoch"`
}

// StaleReader is a Store that can read objects as of some seconds ago at a lower cost.
type StaleReader interface {
	// GetStale returns an object that may be seconds old. ErrNotFound does not
	// exclude that the object was created since.
	GetStale(ctx context.Context, kind, name string) (Object, error)
}

// GetImmutable returns an object that does not change after its creation. It tries a
// stale read first if s supports it.
func GetImmutable(ctx context.Context, s Store, kind, name string) (Object, error) {
	if stale, ok := s.(StaleReader); ok {
		if o, err := stale.GetStale(ctx, kind, name); err == nil {
			return o, nil
		}
	}
	return s.Get(ctx, kind, name)
}

// Directory provides the instance list.
type Directory interface {
	Members(ctx context.Context) ([]Member, error)
}
