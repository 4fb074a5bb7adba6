package lease

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/objects"
)

// Errors that prevent a process from sending an order.
var (
	ErrNotHeld    = errors.New("role is not held")
	ErrSuperseded = errors.New("a later holder has recorded an intent")
)

// Order describes one order in an Intent.
type Order struct {
	Kind   string `json:"kind"`
	Target string `json:"target"` // upstream, or service and failure domain
	Detail string `json:"detail"`
}

// Intent is the stored record of the orders that a holder is about to send. There
// is one object per role; its epoch never decreases.
type Intent struct {
	Epoch    int64    `json:"epoch"`
	Sequence int64    `json:"sequence"` // increases with each write
	Holder   Identity `json:"holder"`
	Orders   []Order  `json:"orders"`
}

// Recorder writes the intents of one role. It is not safe for concurrent use.
type Recorder struct {
	role  string
	self  Identity
	store objects.Store

	epoch   int64 // epoch of the last written intent; 0 if the stored one must be read
	version objects.Version
	last    Intent
}

// NewRecorder returns a Recorder for the role and identity of k.
func NewRecorder(k *Keeper, store objects.Store) *Recorder {
	return &Recorder{role: k.role, self: k.Identity(), store: store}
}

// Record stores the orders under the grant's epoch. The orders may be sent only
// after it has returned nil. Once a later holder has recorded an intent, calls of
// an earlier holder fail regardless of its clock: with a conflict if the later intent
// was not read yet, otherwise with ErrSuperseded.
func (r *Recorder) Record(ctx context.Context, grant Grant, orders []Order) error {
	if r.epoch != grant.Epoch {
		if err := r.read(ctx); err != nil {
			return err
		}
	}
	if r.last.Epoch > grant.Epoch {
		return ErrSuperseded
	}
	next := Intent{Epoch: grant.Epoch, Sequence: r.last.Sequence + 1, Holder: r.self, Orders: orders}
	written := objects.PutUntilDefinitive(ctx, r.store, objects.KindIntent, r.role, r.version, next)
	if written.Outcome != objects.Done {
		r.epoch = 0
		return oops.In("lease").With("step", "record intent", "role", r.role).Wrap(written.Err)
	}
	r.epoch, r.version, r.last = grant.Epoch, written.Object.Version, next
	return nil
}

func (r *Recorder) read(ctx context.Context) error {
	o, err := r.store.Get(ctx, objects.KindIntent, r.role)
	if errors.Is(err, objects.ErrNotFound) {
		r.version, r.last = 0, Intent{}
		return nil
	}
	if err != nil {
		return oops.In("lease").With("step", "read intent", "role", r.role).Wrap(err)
	}
	r.version, r.last = o.Version, Intent{}
	if err := json.Unmarshal(o.Value, &r.last); err != nil {
		return oops.In("lease").With("step", "decode intent", "role", r.role).Wrap(err)
	}
	return nil
}
