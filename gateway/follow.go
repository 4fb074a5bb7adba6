package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/platform"
	"github.com/pomelocross/pomelocross/telemetry"
)

const (
	// configWait is how long a watch of the configuration waits. A source that has
	// gone silent is noticed when it ends, within the time in which a configuration
	// must be in force.
	configWait = time.Second
	// serversPause is the least time between two watches of upstreams; a leaving one
	// must get no new work after two seconds.
	serversPause = 200 * time.Millisecond
	serversWait  = time.Second
	// idleWait and idlePause are for instances that send nothing to upstreams.
	idleWait  = 6 * time.Second
	idlePause = 3 * time.Second
	// maxFollowPause bounds the pause after failures: what was missed must be
	// known soon after the store is back.
	maxFollowPause = 500 * time.Millisecond
	// lapse is how long after an outage of the store an upstream's registration
	// may be missing although it lives.
	lapse = 2500 * time.Millisecond
)

// dependency logs when the store is lost and regained, once each.
type dependency struct {
	gateway *Gateway
	what    string

	mu   sync.Mutex // guards lost
	lost time.Time
}

func (d *dependency) state(err error) {
	if errors.Is(err, objects.ErrGap) {
		d.gateway.log.Info("the store's history is gone; listing again", zap.String("kind", d.what))
		return
	}
	now := d.gateway.clock.Now()
	d.gateway.outage.note(now, err)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err != nil && d.lost.IsZero():
		d.lost = now
		d.gateway.log.Warn("the store is lost", zap.String("kind", d.what), telemetry.Error(err))
	case err == nil && !d.lost.IsZero():
		d.gateway.log.Info("the store is regained", zap.String("kind", d.what), zap.Duration("after", now.Sub(d.lost)))
		d.lost = time.Time{}
	}
}

func (g *Gateway) follow(ctx context.Context, kind string, wait time.Duration, pause func() time.Duration, listed func(), take func(objects.Object)) {
	d := &dependency{gateway: g, what: kind}
	o := objects.FollowOptions{Wait: wait, Pause: pause, MaxPause: maxFollowPause, OnCall: d.state, OnListed: listed}
	objects.FollowWith(ctx, g.feed, kind, o, take)
}

func (g *Gateway) followCatalog(ctx context.Context) {
	wait := configWait
	if !g.front() {
		wait = idleWait
	}
	g.follow(ctx, platform.KindConfig, wait, nil, nil, g.takeCatalog)
}

// front reports whether callers come here.
func (g *Gateway) front() bool { return g.settings.Listen != "" }

// takeCatalog puts a configuration in force unless a newer one is.
func (g *Gateway) takeCatalog(o objects.Object) {
	if o.Deleted || o.Name != platform.ConfigName {
		return
	}
	c, err := platform.DecodeCatalog(o)
	if err != nil {
		g.log.Error("configuration cannot be read; the one in force stays", telemetry.Error(err))
		return
	}
	for {
		old := g.catalog.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if g.catalog.CompareAndSwap(old, c) {
			break
		}
	}
	g.log.Info("configuration in force", zap.Int64("version", c.Version), zap.Int64("revision", int64(o.Version)))
}

func (g *Gateway) followServers(ctx context.Context) {
	g.follow(ctx, platform.KindServers, serversWait, g.serversPause, func() { g.listed.Store(true) }, g.takeServer)
}

// serversPause is shorter where requests or orders go to upstreams.
func (g *Gateway) serversPause() time.Duration {
	if _, err := g.holder(); err == nil || g.front() {
		return serversPause
	}
	return idlePause
}

func (g *Gateway) takeServer(o objects.Object) {
	if o.Deleted {
		g.removeServer(o)
		return
	}
	e, err := platform.DecodeServer(o)
	if err != nil {
		g.log.Info("a registration names no upstream", zap.String("name", o.Name), telemetry.Error(err))
		g.roster.Remove(o.Name)
		return
	}
	before, known := g.roster.Entry(e.ID)
	if !known || before.Ready != e.Ready || before.Started != e.Started || before.Address != e.Address {
		g.log.Info("upstream", zap.String("id", e.ID), zap.String("service", e.Service), zap.String("domain", e.Domain),
			zap.String("address", e.Address), zap.Bool("ready", e.Ready), zap.Duration("leaves", e.Leaves), zap.Int64("revision", int64(o.Version)))
	}
	g.roster.Put(e)
}

// removeServer takes an upstream away, unless an outage of the store may explain
// why its registration is gone; then it is asked again later.
func (g *Gateway) removeServer(o objects.Object) {
	if !g.outage.recent(g.clock.Now(), lapse) {
		g.log.Info("upstream is gone", zap.String("id", o.Name), zap.Int64("revision", int64(o.Version)))
		g.roster.Remove(o.Name)
		return
	}
	g.log.Info("upstream is missing after an outage of the store", zap.String("id", o.Name))
	go func() {
		g.clock.Sleep(lapse)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, err := g.store.Get(ctx, platform.KindServers, o.Name); errors.Is(err, objects.ErrNotFound) {
			g.log.Info("upstream is gone", zap.String("id", o.Name))
			g.roster.Remove(o.Name)
		}
	}()
}

// followRetirements answers at once: a storage instance keeps nothing that is not
// in the store.
func (g *Gateway) followRetirements(ctx context.Context) {
	if g.front() {
		return
	}
	g.follow(ctx, platform.KindRetirements, idleWait, nil, nil, func(o objects.Object) {
		if o.Deleted || o.Name != g.settings.Name {
			return
		}
		go g.retire(ctx, o.Name)
	})
}

func (g *Gateway) retire(ctx context.Context, name string) {
	g.log.Info("asked to be emptied; nothing is kept here")
	for ctx.Err() == nil {
		err := g.direct.PutStatus(ctx, platform.KindRetirements, name, platform.RetirementComplete())
		if err == nil || errors.Is(err, objects.ErrNotFound) {
			return
		}
		g.log.Warn("emptied, but the store was not told", telemetry.Error(err))
		g.clock.Sleep(maxFollowPause)
	}
}
