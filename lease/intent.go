package lease

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/objects"
)

// Errors that keep a process from giving an order.
var (
	ErrNotHeld    = errors.New("role is not held")
	ErrSuperseded = errors.New("a later holder has recorded an intent")
)

// Order describes one order for the record.
type Order struct {
	Kind   string `json:"kind"`
	Target string `json:"target"` // upstream, or service and domain
	Detail string `json:"detail"`
}

// Intent is the stored record of the orders that a holder was about to send.
// There is one object a role; its epoch never falls.
type Intent struct {
	Epoch    int64    `json:"epoch"`
	Sequence int64    `json:"sequence"` // rises with each write
	Holder   Identity `json:"holder"`
	Orders   []Order  `json:"orders"`
}

// Recorder writes intents of one role. It is not safe for concurrent use.
type Recorder struct {
	role  string
	self  Identity
	store objects.Store

	epoch   int64 // of the last intent written; 0 when the stored one must be read
	version objects.Version
	last    Intent
}

// NewRecorder returns a recorder of the keeper's role and identity.
func NewRecorder(k *Keeper, store objects.Store) *Recorder {
	return &Recorder{role: k.role, self: k.Identity(), store: store}
}

// Record stores the orders under the grant's epoch. Only after it returned nil
// may they be sent. Once a later holder has recorded anything, an earlier one
// gets ErrSuperseded for good, whatever its clock says.
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
