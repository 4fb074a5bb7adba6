package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/forward"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/quarantine"
)

// kindQuarantine is the kind of the objects that hold the suspicions that requests crash
// engines, one object per digest.
const kindQuarantine = "quarantine"

const (
	// maxSuspects bounds the suspicions that an instance keeps. An engine that crashes
	// leaves as many as it has slots.
	maxSuspects = 512
	// suspicionSettle is how long a single suspicion is kept from the store. Most requests
	// that were beside the cause of a crash have run elsewhere by then.
	suspicionSettle = 400 * time.Millisecond
	// suspicionWait bounds how long an attempt is delayed until the suspicion is stored,
	// so that other instances know it even if this one ends.
	suspicionWait = 200 * time.Millisecond
	// crashReviewAge is the age of a crash at which the engine's registration must have
	// been removed or replaced. An engine that is still registered then has not crashed:
	// only the path to it was cut in a way that looked like it.
	crashReviewAge = 8 * time.Second
	// quarantineInterval is the pause between two passes over pending writes.
	quarantineInterval = 100 * time.Millisecond
	// sweepSpread spreads the deletion of expired records over the instances.
	sweepSpread = time.Minute
	// maxDescribedPath limits the path in a record, in bytes.
	maxDescribedPath = 200
)

// reasonQuarantined is the reason given to the callers of a quarantined request.
const reasonQuarantined = "the request is quarantined, because upstreams crash when they run it"

// rejectQuarantined rejects a quarantined request. If it was sent before it was
// quarantined, the status does not say that it has not run.
func (g *Gateway) rejectQuarantined(w http.ResponseWriter, r *http.Request, response forward.Response) {
	g.counters.recordSuspect("rejected")
	g.reject(w, r, rejection{response.Status, reasonQuarantined, response.RetryAfter})
}

// quarantineKeeper keeps this instance's list of suspected requests in line with the
// store. It implements forward.Guard.
type quarantineKeeper struct {
	gateway *Gateway
	list    *quarantine.List
	listed  atomic.Bool  // the stored records were read
	freshAt atomic.Int64 // boot time of the last response to a list or watch, in nanoseconds
	writes  chan struct{}
	wake    chan struct{}

	mu      sync.Mutex // guards all below
	stored  map[quarantine.Digest]storedSuspicion
	pending map[quarantine.Digest]*pendingSuspicion
	crashes map[quarantine.Engine]time.Time // that this instance reported, by time
}

func newQuarantineKeeper(g *Gateway) *quarantineKeeper {
	k := &quarantineKeeper{
		gateway: g, list: quarantine.NewList(g.settings.Quarantine, maxSuspects), writes: make(chan struct{}, maxSuspicionWrites), wake: make(chan struct{}, 1),
		stored: map[quarantine.Digest]storedSuspicion{}, pending: map[quarantine.Digest]*pendingSuspicion{}, crashes: map[quarantine.Engine]time.Time{},
	}
	k.listed.Store(!g.servesCallers()) // other instances send no requests
	return k
}

// Active implements forward.Guard.
func (k *quarantineKeeper) Active() bool { return !k.list.Empty() }

// Standing implements forward.Guard.
func (k *quarantineKeeper) Standing(d quarantine.Digest) quarantine.Standing {
	return k.list.Standing(d, k.gateway.wall.Now())
}

// Crashed implements forward.Guard. A request that has crashed several engines is stored
// before the next attempt, as is any suspicion while the stored ones are not known well.
func (k *quarantineKeeper) Crashed(r *forward.Request, d quarantine.Digest, engine quarantine.Engine, alone bool) {
	g := k.gateway
	now := g.clock.Now()
	about := quarantine.Record{Host: r.Host, Path: r.Target[:min(len(r.Target), maxDescribedPath)], Team: r.Team, Alone: alone}
	crashes := k.list.Blame(d, engine, about, g.wall.Now())
	standing := k.Standing(d)
	k.event("suspected", "engine crashed while it ran the request", d, zap.String("request", r.ID), zap.String("upstream", engine.ID),
		zap.Bool("alone", alone), zap.Int("crashes", crashes), zap.Stringer("standing", standing))
	if standing == quarantine.Quarantined {
		k.quarantined(d, about, crashes)
	}
	k.mu.Lock()
	k.crashes[engine] = now
	k.mu.Unlock()
	if crashes < 2 && k.fresh(now) && r.Route.Repeatable() {
		k.schedule(d, now.Add(suspicionSettle))
		return
	}
	select {
	case <-k.schedule(d, now):
	case <-g.clock.After(suspicionWait):
	}
}

// Completed implements forward.Guard.
func (k *quarantineKeeper) Completed(r *forward.Request, d quarantine.Digest) {
	cleared, stored := k.list.Clear(d)
	if !cleared {
		return
	}
	k.event("cleared", "suspected request ran to its end", d, zap.String("request", r.ID))
	if stored {
		k.schedule(d, k.gateway.clock.Now())
	}
}

// quarantined logs that a request is quarantined from now on.
func (k *quarantineKeeper) quarantined(d quarantine.Digest, about quarantine.Record, crashes int) {
	k.event("quarantined", "request is quarantined", d, zap.String("host", about.Host), zap.String("path", about.Path), zap.String("team", about.Team), zap.Int("crashes", crashes))
}

// event logs and counts an event of a suspicion.
func (k *quarantineKeeper) event(name, message string, d quarantine.Digest, fields ...zap.Field) {
	k.gateway.counters.recordSuspect(name)
	k.gateway.log.Info(message, append(fields, zap.String("digest", string(d)))...)
}

// fresh reports whether the stored records were read within the bound.
func (k *quarantineKeeper) fresh(now time.Time) bool {
	return now.UnixNano()-k.freshAt.Load() < k.gateway.settings.ContactBound.Nanoseconds()
}

// run follows the stored records and writes this instance's until ctx ends.
func (k *quarantineKeeper) run(ctx context.Context) {
	if !k.gateway.servesCallers() {
		return
	}
	go k.follow(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		case <-k.gateway.clock.After(quarantineInterval):
		}
		k.writeDue(ctx)
		k.review()
		k.sweep()
	}
}

// follow applies the stored records until ctx ends.
func (k *quarantineKeeper) follow(ctx context.Context) {
	m := &storeMonitor{gateway: k.gateway, kind: kindQuarantine}
	o := objects.FollowOptions{
		Wait: k.gateway.settings.quarantinePath().readerWait, MaxPause: maxRetryPause, Now: k.gateway.clock.Now, OnListed: func() { k.listed.Store(true) },
		OnCall: func(at time.Time, err error) {
			if err == nil {
				k.freshAt.Store(k.gateway.clock.Now().UnixNano())
			}
			m.observe(at, err)
		},
	}
	objects.FollowWith(ctx, k.gateway.feed, kindQuarantine, o, k.apply)
}

// apply applies a stored record.
func (k *quarantineKeeper) apply(o objects.Object) {
	d := quarantine.Digest(o.Name)
	var record *quarantine.Record
	if !o.Deleted {
		record = &quarantine.Record{}
		if err := json.Unmarshal(o.Value, record); err != nil {
			k.gateway.warn("decode suspicion", oops.In("gateway").With("name", o.Name).Wrap(err))
			return
		}
	}
	if !k.remember(d, o.Version, record) {
		return
	}
	before, after := k.list.Apply(d, record, k.gateway.wall.Now())
	switch {
	case after == before:
	case after == quarantine.Quarantined:
		k.quarantined(d, *record, len(record.Engines))
	case before == quarantine.Quarantined:
		k.event("lifted", "quarantine of a request is lifted", d)
	}
}

// review revokes the crashes that this instance reported of engines that turn out to be
// alive.
func (k *quarantineKeeper) review() {
	now := k.gateway.clock.Now()
	k.mu.Lock()
	var old []quarantine.Engine
	for engine, at := range k.crashes {
		if now.Sub(at) > crashReviewAge {
			old = append(old, engine)
			delete(k.crashes, engine)
		}
	}
	k.mu.Unlock()
	for _, engine := range old {
		e, registered := k.gateway.roster.Entry(engine.ID)
		if !registered || e.Started != engine.Started || k.gateway.outage.recent(now, crashReviewAge) {
			continue
		}
		k.gateway.counters.recordSuspect("revoked")
		k.gateway.log.Info("engine has not crashed; revoking the suspicions", zap.String("upstream", engine.ID))
		for _, d := range k.list.Revoke(engine, k.gateway.wall.Now()) {
			k.schedule(d, now)
		}
	}
}

// sweep deletes expired records. Each instance does so at another time, so that one
// of them usually deletes a record alone.
func (k *quarantineKeeper) sweep() {
	late := time.Duration(xxhash.Sum64String(k.gateway.settings.Name) % uint64(sweepSpread))
	for _, d := range k.list.Expired(k.gateway.wall.Now(), late) {
		cleared, stored := k.list.Clear(d)
		if !cleared {
			continue
		}
		k.event("expired", "suspicion expired", d)
		if stored {
			k.schedule(d, k.gateway.clock.Now())
		}
	}
}
