package lease

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/objects"
)

const (
	// retryPart is the part of a renewal period after which a failed attempt is
	// repeated.
	retryPart = 4
	// standbyPeriods is how many renewal periods a standby waits between reads.
	standbyPeriods = 8
)

// Keeper seeks and keeps one role for one process.
type Keeper struct {
	role   string
	store  objects.Store
	clock  clockwork.Clock
	timing Timing
	grant  atomic.Pointer[Grant]
	// standby tells whether others are to be first in the succession.
	standby func() bool

	mu        sync.Mutex // serialises attempts; held over the write so that two never overlap
	candidate candidate
}

// NewKeeper returns a Keeper for role that acts as a new incarnation of self.
func NewKeeper(role, self string, store objects.Store, clock clockwork.Clock, timing Timing) *Keeper {
	return &Keeper{
		role: role, store: store, clock: clock, timing: timing,
		candidate: candidate{self: NewIdentity(self), timing: timing},
		standby:   func() bool { return false },
	}
}

// SetStandby makes the keeper read the lease seldom while standby returns true
// and the role is not held, which spares the platform most of the candidates'
// reads. It must be called before Run.
func (k *Keeper) SetStandby(standby func() bool) { k.standby = standby }

// Role returns the name of the role.
func (k *Keeper) Role() string { return k.role }

// Identity returns the identity under which the role is sought.
func (k *Keeper) Identity() Identity { return k.candidate.self }

// Grant returns the current grant and whether it is valid with spare left.
func (k *Keeper) Grant(spare time.Duration) (Grant, bool) {
	g := k.grant.Load()
	if g == nil || !g.Valid(k.clock.Now(), spare) {
		return Grant{}, false
	}
	return *g, true
}

// Check returns ErrNotHeld unless the role is held under epoch with spare left.
func (k *Keeper) Check(epoch int64, spare time.Duration) error {
	if g, held := k.Grant(spare); !held || g.Epoch != epoch {
		return ErrNotHeld
	}
	return nil
}

// Run attempts the lease each renewal period, sooner after a failure, until
// ctx ends.
func (k *Keeper) Run(ctx context.Context, failed func(error)) {
	for ctx.Err() == nil {
		pause := k.timing.Renew
		if err := k.Attempt(ctx); err != nil && ctx.Err() == nil {
			failed(err)
			pause /= retryPart
		} else if _, held := k.Grant(0); !held {
			pause = k.seekPause()
		}
		select {
		case <-ctx.Done():
		case <-k.clock.After(pause):
		}
	}
}

// seekPause is how long a candidate waits between reads.
func (k *Keeper) seekPause() time.Duration {
	pause := cmp.Or(k.timing.Poll, k.timing.Renew)
	if k.standby() {
		pause *= standbyPeriods
	}
	return pause
}

// Attempt reads the lease, unless the last write took effect, and writes it
// when a write is due. A write whose answer was lost is settled by the next
// read: a stored value that only this attempt can have written extends the term
// from the time it was sent.
func (k *Keeper) Attempt(ctx context.Context) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.candidate.mustRead() {
		if err := k.read(ctx); err != nil {
			return err
		}
	}
	sent := k.clock.Now()
	value, due := k.candidate.next(sent)
	if !due {
		return nil
	}
	k.candidate.sending(value, sent)
	stored, err := k.store.Put(ctx, objects.KindLease, k.role, k.candidate.seen, value)
	if errors.Is(err, objects.ErrConflict) {
		return nil // another write was first; the next read tells whose
	}
	if err != nil {
		return oops.In("lease").With("step", "write", "role", k.role).Wrap(err)
	}
	k.candidate.written(stored.Version, k.clock.Now())
	k.publish()
	return nil
}

func (k *Keeper) read(ctx context.Context) error {
	o, err := k.store.Get(ctx, objects.KindLease, k.role)
	var value Value
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		return oops.In("lease").With("step", "read", "role", k.role).Wrap(err)
	}
	if err == nil {
		if err := json.Unmarshal(o.Value, &value); err != nil {
			return oops.In("lease").With("step", "decode", "role", k.role).Wrap(err)
		}
	}
	k.candidate.observe(o.Version, value, k.clock.Now())
	k.publish()
	return nil
}

// publish makes the candidate's term known as a grant.
func (k *Keeper) publish() {
	if k.candidate.until.IsZero() {
		k.grant.Store(nil)
		return
	}
	k.grant.Store(&Grant{Role: k.role, Epoch: k.candidate.value.Epoch, Until: k.candidate.until})
}

// Release gives the role up so that another instance need not wait. It must
// not be called while an order of the holder may still be on its way.
func (k *Keeper) Release(ctx context.Context) error {
	k.grant.Store(nil)
	k.mu.Lock()
	defer k.mu.Unlock()
	value, held := k.candidate.released()
	if !held {
		return nil
	}
	_, err := k.store.Put(ctx, objects.KindLease, k.role, k.candidate.seen, value)
	if err != nil && !errors.Is(err, objects.ErrConflict) {
		return oops.In("lease").With("step", "release", "role", k.role).Wrap(err)
	}
	return nil
}
