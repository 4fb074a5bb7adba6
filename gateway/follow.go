package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/catalog"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/platform"
	"github.com/pomelocross/pomelocross/telemetry"
	"github.com/pomelocross/pomelocross/upstream"
)

const (
	// configWatchWait is how long a watch of the configuration waits for changes. A
	// source that stopped responding is detected when the watch ends, within the time
	// in which a new configuration must take effect.
	configWatchWait = time.Second
	// maxServersPause is the longest pause between two watches of the upstreams by an
	// instance that sends them requests, and serversWatchWait the longest wait of one.
	maxServersPause  = 200 * time.Millisecond
	serversWatchWait = time.Second
	// idleWatchWait and idleWatchPause apply to instances that send no requests or
	// orders to upstreams.
	idleWatchWait = 6 * time.Second
	// retirementsWatchWait is long, since emptying a storage instance takes no time and
	// is requested rarely.
	retirementsWatchWait = 20 * time.Second
	idleWatchPause       = 3 * time.Second
	// maxRetryPause bounds the pause after failures, so that missed changes are read
	// soon after the store has recovered.
	maxRetryPause = 500 * time.Millisecond
)

// storeMonitor logs once when the store fails for a kind of object and once when it
// recovers.
type storeMonitor struct {
	gateway *Gateway
	kind    string

	mu           sync.Mutex // guards failingSince
	failingSince time.Time
}

// observe records the result of a call on the store; at is that of objects.FollowOptions.
func (m *storeMonitor) observe(at time.Time, err error) {
	if errors.Is(err, objects.ErrGap) {
		m.gateway.log.Info("the store's watch history has expired; listing again", zap.String("kind", m.kind))
		return
	}
	if errors.Is(err, objects.ErrOldList) {
		m.gateway.log.Info("a source's list is older than the state known here; listing again", zap.String("kind", m.kind), telemetry.Error(err))
		return
	}
	now := m.gateway.clock.Now()
	m.gateway.outage.record(now, err)
	if err == nil {
		m.gateway.outage.succeeded(at, now)
	} else {
		m.gateway.outage.failed(at)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err != nil && m.failingSince.IsZero():
		m.failingSince = now
		m.gateway.log.Warn("the store is lost", zap.String("kind", m.kind), telemetry.Error(err))
	case err == nil && !m.failingSince.IsZero():
		m.gateway.log.Info("the store is regained", zap.String("kind", m.kind), zap.Duration("after", now.Sub(m.failingSince)))
		m.failingSince = time.Time{}
	}
}

// follow lists and watches a kind of object through the feed until ctx ends. It calls
// apply for each object and onListed, unless nil, after each complete list.
func (g *Gateway) follow(ctx context.Context, kind string, wait time.Duration, pause func() time.Duration, onListed func(), apply func(objects.Object)) {
	g.followWith(ctx, kind, objects.FollowOptions{Wait: wait, Pause: pause, OnListed: onListed}, apply)
}

// followWith is follow with further options.
func (g *Gateway) followWith(ctx context.Context, kind string, o objects.FollowOptions, apply func(objects.Object)) {
	m := &storeMonitor{gateway: g, kind: kind}
	o.MaxPause, o.OnCall, o.Now = maxRetryPause, m.observe, g.clock.Now
	objects.FollowWith(ctx, g.feed, kind, o, apply)
}

// followCatalog follows the configuration until ctx ends.
func (g *Gateway) followCatalog(ctx context.Context) {
	wait := g.settings.configPath().readerWait
	if !g.servesCallers() {
		wait = idleWatchWait
	}
	g.followWith(ctx, platform.KindConfig, objects.FollowOptions{Wait: wait, OnCurrent: g.confirmation.confirm}, g.applyCatalog)
}

// servesCallers reports whether this instance listens for callers.
func (g *Gateway) servesCallers() bool { return g.settings.Listen != "" }

// applyCatalog makes a configuration the current one unless the current one is as new
// or newer.
func (g *Gateway) applyCatalog(o objects.Object) {
	if o.Deleted || o.Name != platform.ConfigName {
		return
	}
	c, err := platform.DecodeCatalog(o)
	if err != nil {
		g.log.Error("cannot decode the configuration; keeping the current one", telemetry.Error(err))
		return
	}
	var old *catalog.Catalog
	for {
		old = g.catalog.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if g.catalog.CompareAndSwap(old, c) {
			break
		}
	}
	g.formerBatchHosts.removed(old, g.runner.Retention, g.clock.Now())
	g.boundColdUpstreams(c)
	g.log.Info("configuration in force", zap.Int64("version", c.Version), zap.Int64("revision", int64(o.Version)))
}

// followServers follows the registrations of upstreams until ctx ends.
func (g *Gateway) followServers(ctx context.Context) {
	g.follow(ctx, platform.KindServers, g.settings.registrationPath().readerWait, g.serversPause, func() { g.upstreamsListed.Store(true) }, g.applyServer)
}

// serversPause returns the pause between two watches of the upstreams. It is shorter
// while this instance sends requests or orders to upstreams.
func (g *Gateway) serversPause() time.Duration {
	if _, err := g.holder(); err == nil || g.servesCallers() {
		return g.settings.registrationPath().readerPause
	}
	return idleWatchPause
}

// applyServer applies a changed registration of an upstream to the roster.
func (g *Gateway) applyServer(o objects.Object) {
	if o.Deleted {
		g.removeServer(o)
		return
	}
	e, err := platform.DecodeServer(o)
	if err != nil {
		g.log.Info("invalid upstream registration; removing the upstream", zap.String("name", o.Name), telemetry.Error(err))
		g.roster.Remove(o.Name)
		return
	}
	before, known := g.roster.Entry(e.ID)
	registeredReady := e.Ready
	g.boundCold(e) // before the roster can choose it
	e = g.roster.Put(e)
	if !known || before.Ready != e.Ready || before.Started != e.Started || before.Address != e.Address {
		g.log.Info("upstream registration changed", zap.String("id", e.ID), zap.String("service", e.Service), zap.String("domain", e.Domain),
			zap.String("address", e.Address), zap.Bool("ready", e.Ready), zap.Bool("registeredReady", registeredReady), zap.Duration("leaves", e.Leaves), zap.Int64("revision", int64(o.Version)))
	}
}

// upstreamLeaves records that an upstream has reported in a response that it leaves. It
// gets no new work from then on, since its registration may say so late or never.
func (g *Gateway) upstreamLeaves(u upstream.Target) {
	if g.roster.MarkLeaving(u) {
		g.log.Info("upstream reports in a response that it leaves; sending it no new work", zap.String("id", u.ID), zap.Int64("started", u.Started), zap.String("address", u.Address))
	}
}

// removeServer removes an upstream from the roster. Shortly after an outage of the store,
// in which the registration may have expired, it first waits until the registration must be
// back, and removes the upstream only if the store still lacks it.
func (g *Gateway) removeServer(o objects.Object) {
	now := g.clock.Now()
	until, mayReturn := g.outage.registrationsMayReturn(now)
	if !mayReturn {
		g.log.Info("upstream removed", zap.String("id", o.Name), zap.Int64("revision", int64(o.Version)))
		g.roster.Remove(o.Name)
		return
	}
	g.log.Info("upstream registration is missing after an outage of the store; checking again before removal", zap.String("id", o.Name), zap.Duration("in", until.Sub(now)))
	go g.removeUnregistered(g.background, o.Name, until.Sub(now))
}

// removeUnregistered removes an upstream after a pause if the store lacks its registration.
// The removal is delivered only once, so the read is repeated until the store has responded
// or ctx ends.
func (g *Gateway) removeUnregistered(ctx context.Context, id string, pause time.Duration) {
	for ; ctx.Err() == nil; pause = maxRetryPause {
		g.clock.Sleep(pause)
		readCtx, cancel := context.WithTimeout(ctx, time.Second)
		_, err := g.store.Get(readCtx, platform.KindServers, id)
		cancel()
		switch {
		case err == nil:
			return
		case errors.Is(err, objects.ErrNotFound):
			g.log.Info("upstream removed", zap.String("id", id))
			g.roster.Remove(id)
			return
		}
	}
}

// followRetirements confirms a request to retire a storage instance at once, because
// such an instance has no data that is not in the store.
func (g *Gateway) followRetirements(ctx context.Context) {
	if g.servesCallers() {
		return
	}
	g.follow(ctx, platform.KindRetirements, retirementsWatchWait, nil, nil, func(o objects.Object) {
		if o.Deleted || o.Name != g.settings.Name {
			return
		}
		go g.confirmRetirement(ctx, o.Name)
	})
}

// confirmRetirement writes to the store that this instance is empty; it retries until the
// write succeeds, the request no longer exists or ctx ends.
func (g *Gateway) confirmRetirement(ctx context.Context, name string) {
	g.log.Info("retirement requested; confirming that this instance is empty")
	for ctx.Err() == nil {
		err := g.directStore.PutStatus(ctx, platform.KindRetirements, name, platform.RetirementComplete())
		if err == nil || errors.Is(err, objects.ErrNotFound) {
			return
		}
		g.log.Warn("failed to store the retirement status; retrying", telemetry.Error(err))
		g.clock.Sleep(maxRetryPause)
	}
}
