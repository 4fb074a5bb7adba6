package gateway

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/batch"
	"github.com/pomelocross/pomelocross/fleet"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/platform"
	"github.com/pomelocross/pomelocross/telemetry"
	"github.com/pomelocross/pomelocross/upstream"
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
	lastPolled     map[fleet.Load]time.Time
	calls          chan struct{} // holds a value for each order and report in flight
	mu             sync.Mutex    // serialises the use of loadPlanners by scheduling and by results of orders
}

// end stops the term's background tasks; t may be nil.
func (t *term) end() {
	if t != nil {
		t.cancel()
	}
}

// beginTerm starts a term and its background tasks.
func (g *Gateway) beginTerm(ctx context.Context, epoch int64) *term {
	g.log.Info("control role is held", zap.Int64("epoch", epoch))
	t := &term{epoch: epoch, loadPlanners: map[string]*fleet.LoadPlanner{}, lastPolled: map[fleet.Load]time.Time{}, calls: make(chan struct{}, maxControlCalls)}
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
	r := &usageReporter{retryGrace: 20 * time.Second}
	for t.ctx.Err() == nil {
		g.reportUsage(t.ctx, r, func() error { return g.controlLease.Check(t.epoch, orderLeaseMargin) })
		select {
		case <-t.ctx.Done():
		case <-g.clock.After(usageInterval):
		}
	}
}

// scheduleLoads sends orders for the weight loads that are due.
func (g *Gateway) scheduleLoads(t *term) {
	c := g.catalog.Load()
	if c == nil || !t.versionsListed.Load() {
		return
	}
	latest := g.versions.snapshot()
	now := g.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, service := range c.Services {
		if len(service.Models) == 0 {
			continue
		}
		planner := t.loadPlanners[service.Name]
		if planner == nil {
			planner = fleet.NewLoadPlanner()
			t.loadPlanners[service.Name] = planner
		}
		for _, l := range planner.Next(g.readyEngines(service.Name), service.Models, latest, now) {
			go g.sendLoadOrder(t, planner, l)
		}
		for l, sent := range planner.Pending() {
			g.pollLoad(t, planner, l, sent, now)
		}
	}
	maps.DeleteFunc(t.lastPolled, func(_ fleet.Load, at time.Time) bool { return now.Sub(at) > lastPolledTTL })
}

// readyEngines returns the ready engines of a service.
func (g *Gateway) readyEngines(service string) []fleet.Engine {
	var list []fleet.Engine
	for _, e := range g.roster.Entries(service) {
		if e.Ready {
			list = append(list, fleet.Engine{ID: e.ID, Started: e.Started, Models: e.Models})
		}
	}
	return list
}

// maxControlCalls bounds the orders and reports in flight. Each takes a connection, and
// a deployment may have more engines than a process has file descriptors.
const maxControlCalls = 128

// sendLoadOrder orders an engine to load a weight version and records the outcome.
func (g *Gateway) sendLoadOrder(t *term, planner *fleet.LoadPlanner, l fleet.Load) {
	t.calls <- struct{}{}
	defer func() { <-t.calls }()
	e, known := g.roster.Entry(l.Engine)
	if !known || g.controlLease.Check(t.epoch, 0) != nil {
		g.recordRejected(t, planner, l, fleet.UnknownOrders)
		return
	}
	to := e.Target()
	accepted := l.Accepted
	if accepted == fleet.UnknownOrders {
		report, err := g.engines.Report(t.ctx, to)
		if err != nil {
			g.recordRejected(t, planner, l, fleet.UnknownOrders)
			return
		}
		accepted = report.Accepted
	}
	// Waiting and the report take time, in which the lease may have expired. The report
	// may also say that the engine leaves.
	holder, err := g.holder()
	now, known := g.roster.Entry(l.Engine)
	if err != nil || holder.Epoch != t.epoch || !known || !now.Ready || now.Started != e.Started {
		g.recordRejected(t, planner, l, accepted)
		return
	}
	done, err := g.engines.Order(t.ctx, to, holder, platform.SwapOrder{Model: l.Model, Version: l.Version, Mode: platform.SwapRetain, Accepted: accepted})
	g.log.Info("order to load weights sent", zap.String("upstream", l.Engine), zap.String("model", l.Model), zap.Int64("version", l.Version),
		zap.Int64("accepted", accepted), zap.Int64("epoch", holder.Epoch), zap.Bool("done", done), telemetry.Error(err))
	switch {
	case err == nil && done:
		g.recordLoaded(l.Engine, l.Model, l.Version)
	case err == nil:
		g.sendNotice(LoadNotice{ID: e.ID, Started: e.Started, Model: l.Model, Version: l.Version, Loading: true})
		t.mu.Lock()
		planner.Accepted(l, accepted)
		t.mu.Unlock()
	default:
		g.refreshReport(t, planner, l, to, true)
	}
}

// recordRejected records that an engine has not accepted an order or that the order
// had no effect; accepted is the number of orders that the engine has accepted.
func (g *Gateway) recordRejected(t *term, planner *fleet.LoadPlanner, l fleet.Load, accepted int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	planner.Rejected(l, accepted, g.clock.Now())
}

const (
	// expectedLoadTime is the approximate duration of a load. The engine's report is
	// not requested before it has passed.
	expectedLoadTime = 900 * time.Millisecond
	// reportPollInterval is the minimum time between two requests for the report of an
	// engine.
	reportPollInterval = 300 * time.Millisecond
	// lastPolledTTL is how long the time of the last poll for a load is kept. Loads
	// whose outcome is not known yet are polled more often.
	lastPolledTTL = 10 * time.Second
)

// pollLoad requests the engine's report to see whether its load is done. The caller
// holds t.mu.
func (g *Gateway) pollLoad(t *term, planner *fleet.LoadPlanner, l fleet.Load, sent, now time.Time) {
	if now.Sub(sent) < expectedLoadTime+controlInterval || now.Sub(t.lastPolled[l]) < reportPollInterval {
		return
	}
	e, known := g.roster.Entry(l.Engine)
	if !known {
		return
	}
	select {
	case t.calls <- struct{}{}:
	default:
		return // polled again when fewer calls are in flight
	}
	t.lastPolled[l] = now
	go func() {
		defer func() { <-t.calls }()
		g.refreshReport(t, planner, l, e.Target(), false)
	}()
}

// refreshReport requests an engine's report and applies it. orderFailed means that
// the order returned an error, so the engine has probably not accepted it.
func (g *Gateway) refreshReport(t *term, planner *fleet.LoadPlanner, l fleet.Load, to upstream.Target, orderFailed bool) {
	e, _ := g.roster.Entry(to.ID)
	report, err := g.engines.Report(t.ctx, to)
	if err != nil {
		if orderFailed {
			g.recordRejected(t, planner, l, fleet.UnknownOrders)
		}
		return
	}
	for model, version := range report.Models {
		if version > e.Models[model] {
			g.recordLoaded(to.ID, model, version)
		}
	}
	if orderFailed || (!report.Busy && report.Models[l.Model] < l.Version) {
		g.recordRejected(t, planner, l, report.Accepted)
	}
}

// recordLoaded records that an engine serves a version and notifies the instances
// that run batches. The engine's registration shows the version only a second or two
// later.
func (g *Gateway) recordLoaded(id, model string, version int64) {
	g.roster.SetVersion(id, model, version)
	if e, known := g.roster.Entry(id); known {
		g.sendNotice(LoadNotice{ID: id, Started: e.Started, Model: model, Version: version})
	}
}

// sendNotice applies a load notice here and sends it to the instances that run batches.
func (g *Gateway) sendNotice(notice LoadNotice) {
	g.applyNotice(notice)
	for _, peer := range g.noticePeers() {
		if peer == g.settings.PeerListen {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
			defer cancel()
			err := g.dialer.Call(ctx, peer, "Weights.Loaded", notice, &struct{}{})
			g.counters.Add("news", err)
		}()
	}
}

const (
	// recipientWindow is how long after its last batch an instance receives load
	// notices. Its trainer usually submits the next step seconds later.
	recipientWindow = time.Minute
	// recipientsTTL is how long the list of these instances is reused.
	recipientsTTL = time.Second
)

// noticePeers returns the addresses of the instances that get load notices.
func (g *Gateway) noticePeers() []string {
	now := g.clock.Now()
	g.noticeRecipients.mu.Lock()
	defer g.noticeRecipients.mu.Unlock()
	if now.Sub(g.noticeRecipients.listedAt) < recipientsTTL {
		return g.noticeRecipients.peers
	}
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	heads, err := g.feed.List(ctx, batch.KindHead)
	var owners []string
	if err == nil {
		owners, err = batch.RecentOwners(heads.Objects, g.wall.Now().Add(-recipientWindow))
	}
	if err != nil {
		g.log.Info("recent batch owners could not be listed; sending load notices to the last known ones", telemetry.Error(err))
	}
	peers := selectRecipients(owners, err, g.noticeRecipients.peers, g.membership.callerPeers())
	g.noticeRecipients.peers, g.noticeRecipients.listedAt = peers, now
	return peers
}

// maxBroadcastPeers is the number of instances to which notices are sent if none of them
// is known to run batches.
const maxBroadcastPeers = 16

// selectRecipients returns the addresses that get load notices: the recent owners of
// batches, or the last known ones if listing the owners failed. While no owner is known,
// every instance that serves callers gets them in a small deployment, and none in a large
// one: instances read the versions from the registrations a second or two later.
//
// Load pattern: thousands of engines load in each minute, while the list of owners times
// out under load. A notice of each load to each of 300 instances would be the larger load.
func selectRecipients(owners []string, listErr error, last, callers []string) []string {
	switch {
	case listErr == nil && len(owners) > 0:
		return owners
	case listErr != nil && len(last) > 0:
		return last
	case len(callers) <= maxBroadcastPeers:
		return callers
	}
	return nil
}

// noticeRecipients caches the addresses of the instances that receive load notices.
type noticeRecipients struct {
	mu       sync.Mutex // guards all below
	peers    []string
	listedAt time.Time
}

// noticeTimeout bounds the delivery of a load notice. An instance that does not receive
// it reads the version from the engine's registration.
const noticeTimeout = 300 * time.Millisecond

// LoadNotice is the notification that an engine loads or serves a weight version.
type LoadNotice struct {
	ID      string
	Started int64 // identifies the engine's incarnation
	Model   string
	Version int64
	Loading bool // the engine has accepted the order to load the version
}

// weightsService serves load notices from the instance that holds the control role.
type weightsService struct{ gateway *Gateway }

// Loaded applies a load notice.
func (w *weightsService) Loaded(n LoadNotice, _ *struct{}) error {
	w.gateway.applyNotice(n)
	return nil
}

// applyNotice records that an engine loads or serves a weight version, unless the notice
// is about an unknown engine, another incarnation or an older version. An engine that
// loads refuses all new requests for the model, so it gets none meanwhile.
func (g *Gateway) applyNotice(n LoadNotice) {
	e, known := g.roster.Entry(n.ID)
	switch {
	case !known || e.Started != n.Started:
	case n.Loading && e.Models[n.Model] < n.Version:
		g.roster.BlockModel(n.ID, n.Model, g.clock.Now().Add(expectedLoadTime))
	case !n.Loading && e.Models[n.Model] <= n.Version:
		g.roster.SetVersion(n.ID, n.Model, n.Version)
		g.roster.BlockModel(n.ID, n.Model, time.Time{})
		g.runner.Signal()
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
