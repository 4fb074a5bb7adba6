package lease

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/platform"
)

// Keeper seeks and keeps one role for one instance.
type Keeper struct {
	role   string
	store  platform.Store
	clock  clockwork.Clock
	timing Timing
	grant  atomic.Pointer[Grant]

	mu        sync.Mutex // serialises attempts; held over the write so that two never overlap
	candidate candidate
}

// NewKeeper returns a Keeper for role that acts as self.
func NewKeeper(role, self string, store platform.Store, clock clockwork.Clock, timing Timing) *Keeper {
	return &Keeper{
		role: role, store: store, clock: clock, timing: timing,
		candidate: candidate{self: self, timing: timing},
	}
}

// Grant returns the current grant and whether it is valid with spare left.
func (k *Keeper) Grant(spare time.Duration) (Grant, bool) {
	g := k.grant.Load()
	if g == nil || !g.Valid(k.clock.Now(), spare) {
		return Grant{}, false
	}
	return *g, true
}

// Run attempts the lease each renewal period until ctx ends, then releases it.
func (k *Keeper) Run(ctx context.Context, failed func(error)) {
	ticker := k.clock.NewTicker(k.timing.Renew)
	defer ticker.Stop()
	for {
		if err := k.Attempt(ctx); err != nil && ctx.Err() == nil {
			failed(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// Attempt reads the lease and writes it when a write is due. A write whose
// answer was lost is settled by the next attempt's read; until then the old
// grant stands to its end.
func (k *Keeper) Attempt(ctx context.Context) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.read(ctx); err != nil {
		return err
	}
	sent := k.clock.Now()
	value, due := k.candidate.next(sent)
	if !due {
		return nil
	}
	stored, err := k.store.Put(ctx, platform.KindLease, k.role, k.candidate.seen, value)
	if errors.Is(err, platform.ErrConflict) {
		return nil // another candidate was first; the next read tells
	}
	if err != nil {
		return oops.In("lease").With("step", "write", "role", k.role).Wrap(err)
	}
	k.candidate.written(stored.Version, value, sent, k.clock.Now())
	k.grant.Store(&Grant{Role: k.role, Epoch: value.Epoch, Until: k.candidate.until})
	return nil
}

func (k *Keeper) read(ctx context.Context) error {
	o, err := k.store.Get(ctx, platform.KindLease, k.role)
	var value Value
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return oops.In("lease").With("step", "read", "role", k.role).Wrap(err)
	}
	if err == nil {
		if err := json.Unmarshal(o.Value, &value); err != nil {
			return oops.In("lease").With("step", "decode", "role", k.role).Wrap(err)
		}
	}
	k.candidate.observe(o.Version, value, k.clock.Now())
	return nil
}

// Release gives the role up so that another instance need not wait.
func (k *Keeper) Release(ctx context.Context) error {
	k.grant.Store(nil)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.candidate.value.Holder != k.candidate.self || k.candidate.until.IsZero() {
		return nil
	}
	k.candidate.until = time.Time{}
	value := Value{Epoch: k.candidate.value.Epoch, Renewal: k.candidate.value.Renewal + 1}
	_, err := k.store.Put(ctx, platform.KindLease, k.role, k.candidate.seen, value)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return oops.In("lease").With("step", "release", "role", k.role).Wrap(err)
	}
	return nil
}
