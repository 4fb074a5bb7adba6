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
	// A failed attempt is retried after the renewal interval divided by
	// retryDivisor.
	retryDivisor = 4
)

// Keeper acquires and renews the lease of one role for one process.
type Keeper struct {
	role   string
	store  objects.Store
	clock  clockwork.Clock
	timing Timing
	grant  atomic.Pointer[Grant]
	// pollFactor returns the multiple of the poll interval at which the lease is read.
	pollFactor func() int

	mu        sync.Mutex // serialises attempts; held during store calls so that writes never overlap
	candidate candidate
	retired   bool // Retire was called
}

// NewKeeper returns a Keeper for role with a new incarnation of the instance self.
func NewKeeper(role, self string, store objects.Store, clock clockwork.Clock, timing Timing) *Keeper {
	return &Keeper{
		role: role, store: store, clock: clock, timing: timing,
		candidate:  candidate{self: NewIdentity(self), timing: timing},
		pollFactor: func() int { return 1 },
	}
}

// SetPollFactor makes the keeper read the lease at a multiple of the poll interval while
// the role is not held. A candidate after which others take precedence has a factor
// above 1, which avoids most of the candidates' reads from the platform. It must be
// called before Run.
func (k *Keeper) SetPollFactor(factor func() int) { k.pollFactor = factor }

// Role returns the name of the role.
func (k *Keeper) Role() string { return k.role }

// Identity returns the identity written to the lease.
func (k *Keeper) Identity() Identity { return k.candidate.self }

// Grant returns the current grant and whether it remains valid for more than
// minRemaining.
func (k *Keeper) Grant(minRemaining time.Duration) (Grant, bool) {
	g := k.grant.Load()
	if g == nil || !g.Valid(k.clock.Now(), minRemaining) {
		return Grant{}, false
	}
	return *g, true
}

// Check returns ErrNotHeld unless the role is held under epoch and the grant
// remains valid for more than minRemaining.
func (k *Keeper) Check(epoch int64, minRemaining time.Duration) error {
	if g, held := k.Grant(minRemaining); !held || g.Epoch != epoch {
		return ErrNotHeld
	}
	return nil
}

// Run acquires and renews the lease until ctx ends. It calls Attempt at the
// renewal interval, at the poll interval while the role is not held, and sooner
// after an error, which it passes to onError.
func (k *Keeper) Run(ctx context.Context, onError func(error)) {
	for ctx.Err() == nil {
		delay := k.timing.Renew
		if err := k.Attempt(ctx); err != nil && ctx.Err() == nil {
			onError(err)
			delay /= retryDivisor
		} else if _, held := k.Grant(0); !held {
			delay = k.pollInterval()
		}
		select {
		case <-ctx.Done():
		case <-k.clock.After(delay):
		}
	}
}

// pollInterval returns the interval between reads while the role is not held.
func (k *Keeper) pollInterval() time.Duration {
	return cmp.Or(k.timing.Poll, k.timing.Renew) * time.Duration(max(1, k.pollFactor()))
}

// Attempt reads the lease, unless the last write is known to have taken effect,
// and writes it if a write is due. The outcome of a write whose response was lost
// is known after the next read: if the store has the value of that write, the term
// is extended from the time it was sent.
func (k *Keeper) Attempt(ctx context.Context) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.retired {
		return nil
	}
	if k.candidate.mustRead() {
		if err := k.read(ctx); err != nil {
			return err
		}
	}
	sentAt := k.clock.Now()
	value, due := k.candidate.nextWrite(sentAt)
	if !due {
		return nil
	}
	k.candidate.beginWrite(value, sentAt)
	stored, err := k.store.Put(ctx, objects.KindLease, k.role, k.candidate.version, value)
	if errors.Is(err, objects.ErrConflict) {
		return nil // another write took effect first; the next attempt reads it
	}
	if err != nil {
		return oops.In("lease").With("step", "write lease", "role", k.role).Wrap(err)
	}
	k.candidate.confirmWrite(stored.Version, k.clock.Now())
	k.publishGrant()
	return nil
}

func (k *Keeper) read(ctx context.Context) error {
	o, err := k.store.Get(ctx, objects.KindLease, k.role)
	var value Value
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		return oops.In("lease").With("step", "read lease", "role", k.role).Wrap(err)
	}
	if err == nil {
		if err := json.Unmarshal(o.Value, &value); err != nil {
			return oops.In("lease").With("step", "decode lease", "role", k.role).Wrap(err)
		}
	}
	k.candidate.observe(o.Version, value, k.clock.Now())
	k.publishGrant()
	return nil
}

// publishGrant makes the candidate's term available to Grant.
func (k *Keeper) publishGrant() {
	if k.candidate.until.IsZero() {
		k.grant.Store(nil)
		return
	}
	k.grant.Store(&Grant{Role: k.role, Epoch: k.candidate.value.Epoch, Until: k.candidate.until})
}

// Release releases the role so that another instance can acquire it without waiting
// for the end of the term. It must not be called while an order of the holder may be
// in flight.
func (k *Keeper) Release(ctx context.Context) error {
	k.grant.Store(nil)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.release(ctx)
}

// Retire releases the role, as Release does, and does not acquire it again. It is for an
// instance that stops, whose Run goes on until its end.
func (k *Keeper) Retire(ctx context.Context) error {
	k.grant.Store(nil)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.retired = true
	return k.release(ctx)
}

// release writes the release of the role if it is held. The caller holds mu.
func (k *Keeper) release(ctx context.Context) error {
	k.grant.Store(nil) // an attempt may have stored one before the lock was taken
	value, held := k.candidate.release(k.clock.Now())
	if !held {
		return nil
	}
	_, err := k.store.Put(ctx, objects.KindLease, k.role, k.candidate.version, value)
	if err != nil && !errors.Is(err, objects.ErrConflict) {
		return oops.In("lease").With("step", "release lease", "role", k.role).Wrap(err)
	}
	return nil
}
