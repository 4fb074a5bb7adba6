package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/fleet"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/platform"
)

// versionTable holds the newest weight version of each model that trainers have
// published.
type versionTable struct {
	mu     sync.Mutex // guards latest
	latest map[string]int64
}

func newVersionTable() *versionTable { return &versionTable{latest: map[string]int64{}} }

// advance records a published version. It returns false unless the version is newer
// than the recorded one.
func (t *versionTable) advance(model string, version int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version <= t.latest[model] {
		return false
	}
	t.latest[model] = version
	return true
}

// snapshot returns a copy of the newest version by model.
func (t *versionTable) snapshot() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	newest := make(map[string]int64, len(t.latest))
	for m, v := range t.latest {
		newest[m] = v
	}
	return newest
}

// maintainControlLease acquires and renews the lease on the control role until ctx
// ends.
func (g *Gateway) maintainControlLease(ctx context.Context) {
	g.controlLease.Run(ctx, func(err error) { g.counters.Add("lease", err) })
}

// orderLeaseMargin is the remaining validity that the lease must have when an order
// is sent. It covers the transfer of the order to the engine.
const orderLeaseMargin = 400 * time.Millisecond

var errNotLeaseHolder = errors.New("this instance does not hold the control role")

// holder returns the name and the epoch that identify this instance in orders as the
// holder of the control role. It returns errNotLeaseHolder when the lease is not held
// or the instance is stopping.
func (g *Gateway) holder() (platform.Holder, error) {
	grant, held := g.controlLease.Grant(orderLeaseMargin)
	if !held || g.draining.Load() {
		return platform.Holder{}, errNotLeaseHolder
	}
	return platform.Holder{Name: g.settings.Name, Epoch: grant.Epoch}, nil
}

// controlInterval is how often the holder of the control role schedules weight loads.
const controlInterval = 100 * time.Millisecond

// runControl schedules weight loads and reports usage while this instance holds the
// control role, until ctx ends.
func (g *Gateway) runControl(ctx context.Context) {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	var current *term
	for {
		select {
		case <-ctx.Done():
			current.end()
			return
		case <-ticker.C:
		case <-current.loadReported():
		}
		holder, err := g.holder()
		switch {
		case err != nil && current != nil:
			g.log.Info("control role is no longer held", zap.Int64("epoch", current.epoch))
			current.end()
			current = nil
		case err == nil && (current == nil || current.epoch != holder.Epoch):
			current.end()
			current = g.beginTerm(ctx, holder.Epoch)
		}
		if current != nil {
			g.scheduleLoads(current)
		}
	}
}

// term is the state of one uninterrupted period in which this instance holds the
// control role.
type term struct {
	epoch          int64
	ctx            context.Context
	cancel         context.CancelFunc
	versionsListed atomic.Bool                   // the published versions were listed in this term
	loadPlanners   map[string]*fleet.LoadPlanner // by service
	calls          chan struct{}                 // holds a value for each order and report in flight
	reported       chan struct{}                 // holds a value if a load was reported as done since the last scheduling
	mu             sync.Mutex                    // serialises the use of loadPlanners by scheduling and by results of orders
}

// end stops the term's background tasks; t may be nil.
func (t *term) end() {
	if t != nil {
		t.cancel()
	}
}

// loadReported returns a channel that has a value once a load was reported as done; t
// may be nil.
func (t *term) loadReported() <-chan struct{} {
	if t == nil {
		return nil
	}
	return t.reported
}

// beginTerm starts a term and its background tasks.
func (g *Gateway) beginTerm(ctx context.Context, epoch int64) *term {
	g.log.Info("control role is held", zap.Int64("epoch", epoch))
	g.limitGrants.Begin(epoch, g.clock.Now())
	t := &term{epoch: epoch, loadPlanners: map[string]*fleet.LoadPlanner{}, calls: make(chan struct{}, maxControlCalls), reported: make(chan struct{}, 1)}
	t.ctx, t.cancel = context.WithCancel(ctx)
	go g.follow(t.ctx, platform.KindVersions, versionsWatchWait, func() time.Duration { return versionsWatchPause }, func() { t.versionsListed.Store(true) }, g.applyVersion)
	go g.runUsageReports(t)

	return t
}

const (
	versionsWatchWait  = 3 * time.Second
	versionsWatchPause = 200 * time.Millisecond
	// usageInterval is the pause between two checks for ended usage windows.
	usageInterval = 500 * time.Millisecond
)

// applyVersion records a weight version that a trainer has published.
func (g *Gateway) applyVersion(o objects.Object) {
	if o.Deleted {
		return
	}
	model, version, err := platform.DecodeWeights(o)
	if err != nil {
		g.warn("decode weight version", err)
		return
	}
	if g.versions.advance(model, version) {
		g.log.Info("new weight version published", zap.String("model", model), zap.Int64("version", version), zap.Int64("revision", int64(o.Version)))
	}
}

// runUsageReports reports the usage of ended windows until the term ends.
func (g *Gateway) runUsageReports(t *term) {
	r := g.usageReports.of(t.epoch)
	for t.ctx.Err() == nil {
		g.reportUsage(t.ctx, r, func() error { return g.controlLease.Check(t.epoch, orderLeaseMargin) })
		select {
		case <-t.ctx.Done():
		case <-g.clock.After(usageInterval):
		}
	}
}

// releaseControl releases the lease for good once no order of this instance can still be
// in transit.
func (g *Gateway) releaseControl(ctx context.Context) {
	g.clock.Sleep(orderLeaseMargin)
	if err := g.controlLease.Retire(ctx); err != nil {
		g.warn("release the control role", err)
	}
}
