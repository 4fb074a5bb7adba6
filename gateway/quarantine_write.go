package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/quarantine"
)

const (
	// suspicionRetry is the pause after a failed write.
	suspicionRetry = 300 * time.Millisecond
	// suspicionTimeout bounds the calls of one write.
	suspicionTimeout = 1500 * time.Millisecond
	// maxSuspicionWrites bounds the writes in flight.
	maxSuspicionWrites = 8
)

// storedSuspicion is a record as last read or written.
type storedSuspicion struct {
	version objects.Version
	record  quarantine.Record
}

// pendingSuspicion is a write that is due or in flight.
type pendingSuspicion struct {
	due     time.Time
	writing bool
	again   bool          // the suspicion changed during the write
	done    chan struct{} // closed after a successful write
}

// schedule arranges that a suspicion is written at due. The returned channel is closed
// after the write.
func (k *quarantineKeeper) schedule(d quarantine.Digest, due time.Time) <-chan struct{} {
	k.mu.Lock()
	p := k.pending[d]
	if p == nil {
		p = &pendingSuspicion{due: due, done: make(chan struct{})}
		k.pending[d] = p
	}
	p.again = p.writing
	if due.Before(p.due) {
		p.due = due
	}
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
	return p.done
}

// remember records what is stored for a digest. It returns false if a later state is
// known.
func (k *quarantineKeeper) remember(d quarantine.Digest, version objects.Version, record *quarantine.Record) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case version < k.stored[d].version:
		return false
	case record == nil:
		delete(k.stored, d)
	default:
		k.stored[d] = storedSuspicion{version, *record}
	}
	return true
}

// writeDue starts the writes that are due.
func (k *quarantineKeeper) writeDue(ctx context.Context) {
	now := k.gateway.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for d, p := range k.pending {
		if p.writing || p.due.After(now) {
			continue
		}
		select {
		case k.writes <- struct{}{}:
		default:
			return // started when another one ends
		}
		p.writing, p.again = true, false
		go func() {
			err := k.write(ctx, d)
			<-k.writes
			k.written(d, p, err)
		}()
	}
}

// written records the result of a write.
func (k *quarantineKeeper) written(d quarantine.Digest, p *pendingSuspicion, err error) {
	now := k.gateway.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	p.writing = false
	switch {
	case err != nil:
		p.due = now.Add(suspicionRetry)
		k.gateway.warn("store suspicion", err)
	case p.again:
		p.due = now
	default:
		delete(k.pending, d)
		close(p.done)
	}
}

// write brings the stored record of a digest in line with the list. It merges the
// engines that other instances have stored.
func (k *quarantineKeeper) write(ctx context.Context, d quarantine.Digest) error {
	ctx, cancel := context.WithTimeout(ctx, suspicionTimeout)
	defer cancel()
	for {
		err := k.writeOnce(ctx, d)
		if !errors.Is(err, objects.ErrConflict) && !errors.Is(err, objects.ErrNotFound) {
			return err
		}
		if err := k.reread(ctx, d); err != nil {
			return err
		}
	}
}

// reread reads the stored record of a digest after a conflict.
func (k *quarantineKeeper) reread(ctx context.Context, d quarantine.Digest) error {
	o, err := k.gateway.store.Get(ctx, kindQuarantine, string(d))
	if errors.Is(err, objects.ErrNotFound) {
		k.mu.Lock()
		delete(k.stored, d)
		k.mu.Unlock()
		k.list.Apply(d, nil, k.gateway.wall.Now())
		return nil
	}
	if err != nil {
		return oops.In("gateway").With("step", "read suspicion", "digest", d).Wrap(err)
	}
	k.apply(o)
	return nil
}

// writeOnce writes the record over the last known version.
func (k *quarantineKeeper) writeOnce(ctx context.Context, d quarantine.Digest) error {
	k.mu.Lock()
	known, isStored := k.stored[d]
	k.mu.Unlock()
	var stored *quarantine.Record
	if isStored {
		stored = &known.record
	}
	record, change := k.list.Unwritten(d, stored)
	switch change {
	case quarantine.Delete:
		err := k.gateway.store.Delete(ctx, kindQuarantine, string(d), known.version)
		if err == nil {
			k.list.Saved(d, nil)
		}
		return err
	case quarantine.Put:
		o, err := k.gateway.store.Put(ctx, kindQuarantine, string(d), known.version, record)
		if err == nil {
			k.remember(d, o.Version, &record)
			k.list.Saved(d, &record)
		}
		return err
	}
	return nil
}
