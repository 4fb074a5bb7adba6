package gateway

import (
	"context"
	"errors"
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

// weights holds the newest version of each model that trainers have named.
type weights struct {
	mu    sync.Mutex // guards named
	named map[string]int64
}

func newWeights() *weights { return &weights{named: map[string]int64{}} }

func (w *weights) name(model string, version int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version <= w.named[model] {
		return false
	}
	w.named[model] = version
	return true
}

func (w *weights) newest() map[string]int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	newest := make(map[string]int64, len(w.named))
	for m, v := range w.named {
		newest[m] = v
	}
	return newest
}

// seekControl seeks and keeps the control role.
func (g *Gateway) seekControl(ctx context.Context) {
	g.keeper.Run(ctx, func(err error) { g.counters.Add("lease", err) })
}

// orderSpare is how much of the lease must be left when an order is sent: it
// covers the way to the engine.
const orderSpare = 400 * time.Millisecond

var errNotHolder = errors.New("the control role is not held")

// holder returns what an order is signed with.
func (g *Gateway) holder() (platform.Holder, error) {
	grant, held := g.keeper.Grant(orderSpare)
	if !held || g.draining.Load() {
		return platform.Holder{}, errNotHolder
	}
	return platform.Holder{Name: g.settings.Name, Epoch: grant.Epoch}, nil
}

// controlInterval is how often the holder decides.
const controlInterval = 100 * time.Millisecond

// holdControl does the duties of the control role while it is held.
func (g *Gateway) holdControl(ctx context.Context) {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	var term *term
	for {
		select {
		case <-ctx.Done():
			term.end()
			return
		case <-ticker.C:
		}
		holder, err := g.holder()
		switch {
		case err != nil && term != nil:
			g.log.Info("control role is no longer held", zap.Int64("epoch", term.epoch))
			term.end()
			term = nil
		case err == nil && (term == nil || term.epoch != holder.Epoch):
			term.end()
			term = g.begin(ctx, holder.Epoch)
		}
		if term != nil {
			g.decide(term)
		}
	}
}

// term is one holding of the control role.
type term struct {
	epoch   int64
	ctx     context.Context
	cancel  context.CancelFunc
	listed  atomic.Bool                   // the named versions were listed in this term
	waves   map[string]*fleet.LoadPlanner // by service
	checked map[fleet.Load]time.Time
	mu      sync.Mutex // guards waves' decisions against answers to orders
}

func (t *term) end() {
	if t != nil {
		t.cancel()
	}
}

func (g *Gateway) begin(ctx context.Context, epoch int64) *term {
	g.log.Info("control role is held", zap.Int64("epoch", epoch))
	t := &term{epoch: epoch, waves: map[string]*fleet.LoadPlanner{}, checked: map[fleet.Load]time.Time{}}
	t.ctx, t.cancel = context.WithCancel(ctx)
	go g.follow(t.ctx, platform.KindVersions, versionsWait, func() time.Duration { return versionsPause }, func() { t.listed.Store(true) }, g.takeVersion)
	go g.reportLoop(t)

	return t
}

const (
	versionsWait  = 3 * time.Second
	versionsPause = 200 * time.Millisecond
	// usageInterval is how often windows are looked for that are over.
	usageInterval = 500 * time.Millisecond
)

func (g *Gateway) takeVersion(o objects.Object) {
	if o.Deleted {
		return
	}
	model, version, err := platform.DecodeWeights(o)
	if err != nil {
		g.warn("read a named version", err)
		return
	}
	if g.weights.name(model, version) {
		g.log.Info("weight version named", zap.String("model", model), zap.Int64("version", version), zap.Int64("revision", int64(o.Version)))
	}
}

func (g *Gateway) reportLoop(t *term) {
	r := &reporter{patience: 20 * time.Second}
	for t.ctx.Err() == nil {
		g.reportUsage(t.ctx, r, func() error { return g.keeper.Check(t.epoch, orderSpare) })
		select {
		case <-t.ctx.Done():
		case <-g.clock.After(usageInterval):
		}
	}
}

// decide orders the loads of weights that are due.
func (g *Gateway) decide(t *term) {
	c := g.catalog.Load()
	if c == nil || !t.listed.Load() {
		return
	}
	named := g.weights.newest()
	now := g.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, service := range c.Services {
		if len(service.Models) == 0 {
			continue
		}
		w := t.waves[service.Name]
		if w == nil {
			w = fleet.NewLoadPlanner()
			t.waves[service.Name] = w
		}
		for _, l := range w.Next(g.waveEngines(service.Name), service.Models, named, now) {
			go g.order(t, w, l)
		}
		for l, sent := range w.Pending() {
			g.recheck(t, w, l, sent, now)
		}
	}
}

func (g *Gateway) waveEngines(service string) []fleet.Engine {
	var list []fleet.Engine
	for _, e := range g.roster.Entries(service) {
		if e.Ready {
			list = append(list, fleet.Engine{ID: e.ID, Started: e.Started, Models: e.Models})
		}
	}
	return list
}

// order sends a load to its engine.
func (g *Gateway) order(t *term, w *fleet.LoadPlanner, l fleet.Load) {
	e, known := g.roster.Entry(l.Engine)
	holder, err := g.holder()
	if !known || err != nil || holder.Epoch != t.epoch {
		g.rejected(t, w, l, fleet.UnknownOrders)
		return
	}
	to := upstream.Target{ID: e.ID, Address: e.Address}
	before := l.Accepted
	if before == fleet.UnknownOrders {
		report, err := g.engines.Report(t.ctx, to)
		if err != nil {
			g.rejected(t, w, l, fleet.UnknownOrders)
			return
		}
		before = report.Accepted
	}
	done, err := g.engines.Order(t.ctx, to, holder, platform.SwapOrder{Model: l.Model, Version: l.Version, Mode: platform.SwapRetain, Accepted: before})
	g.log.Info("engine ordered to load weights", zap.String("upstream", l.Engine), zap.String("model", l.Model), zap.Int64("version", l.Version),
		zap.Int64("accepted", before), zap.Int64("epoch", holder.Epoch), zap.Bool("done", done), telemetry.Error(err))
	switch {
	case err == nil && done:
		g.loaded(l.Engine, l.Model, l.Version)
	case err == nil:
		g.roster.BlockModel(l.Engine, l.Model, g.clock.Now().Add(loadTime))
		t.mu.Lock()
		w.Accepted(l, before)
		t.mu.Unlock()
	default:
		g.ask(t, w, l, to, true)
	}
}

func (g *Gateway) rejected(t *term, w *fleet.LoadPlanner, l fleet.Load, accepted int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.Rejected(l, accepted, g.clock.Now())
}

const (
	// loadTime is about how long a load takes; the engine's report is asked for
	// from then on.
	loadTime = 900 * time.Millisecond
	// reportInterval is the pause between such questions.
	reportInterval = 300 * time.Millisecond
)

// recheck asks an engine whether its load is done. The caller holds t.mu.
func (g *Gateway) recheck(t *term, w *fleet.LoadPlanner, l fleet.Load, sent, now time.Time) {
	if now.Sub(sent) < loadTime+controlInterval || now.Sub(t.checked[l]) < reportInterval {
		return
	}
	t.checked[l] = now
	e, known := g.roster.Entry(l.Engine)
	if !known {
		return
	}
	go g.ask(t, w, l, upstream.Target{ID: e.ID, Address: e.Address}, false)
}

// ask takes in what an engine reports of itself; failed tells that its order was
// not accepted as far as known.
func (g *Gateway) ask(t *term, w *fleet.LoadPlanner, l fleet.Load, to upstream.Target, failed bool) {
	e, _ := g.roster.Entry(to.ID)
	report, err := g.engines.Report(t.ctx, to)
	if err != nil {
		if failed {
			g.rejected(t, w, l, fleet.UnknownOrders)
		}
		return
	}
	for model, version := range report.Models {
		if version > e.Models[model] {
			g.loaded(to.ID, model, version)
		}
	}
	if failed || (!report.Busy && report.Models[l.Model] < l.Version) {
		g.rejected(t, w, l, report.Accepted)
	}
}

// loaded takes in that an engine serves a version and tells the instances that
// send items; registrations say so a second or two later.
func (g *Gateway) loaded(id, model string, version int64) {
	g.roster.SetVersion(id, model, version)
	e, known := g.roster.Entry(id)
	if !known {
		return
	}
	news := LoadNews{ID: id, Started: e.Started, Model: model, Version: version}
	for _, peer := range g.newsReaders() {
		if peer == g.settings.PeerListen {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), newsTimeout)
			defer cancel()
			err := g.dialer.Call(ctx, peer, "Weights.Loaded", news, &struct{}{})
			g.counters.Add("news", err)
		}()
	}
}

const (
	// newsFor is how long after its last batch an instance is told of loads: the next
	// step of its trainer comes seconds later.
	newsFor = time.Minute
	// newsListed is how long a list of these instances is used.
	newsListed = time.Second
)

// newsReaders returns the addresses of the instances that have run batches lately, or
// of all that take callers while these are not known.
func (g *Gateway) newsReaders() []string {
	now := g.clock.Now()
	g.readers.mu.Lock()
	defer g.readers.mu.Unlock()
	if now.Sub(g.readers.at) < newsListed {
		return g.readers.peers
	}
	ctx, cancel := context.WithTimeout(context.Background(), newsTimeout)
	defer cancel()
	heads, err := g.feed.List(ctx, batch.KindHead)
	var peers []string
	if err == nil {
		peers, err = batch.RecentOwners(heads.Objects, g.wall.Now().Add(-newsFor))
	}
	if err != nil || len(peers) == 0 {
		g.log.Info("owners of batches are not known; all instances are told of loads", telemetry.Error(err))
		peers = g.crew.fronts()
	}
	g.readers.peers, g.readers.at = peers, now
	return peers
}

// newsReaders are the instances to tell of loads, as of a time.
type newsReaders struct {
	mu    sync.Mutex // guards all below
	peers []string
	at    time.Time
}

// newsTimeout bounds telling another instance; it learns later by itself.
const newsTimeout = 300 * time.Millisecond

// LoadNews tells that an engine serves a weight version.
type LoadNews struct {
	ID      string
	Started int64 // the engine's incarnation
	Model   string
	Version int64
}

// weightCalls serves the holder of the control role.
type weightCalls struct{ gateway *Gateway }

// Loaded takes in that an engine serves a weight version.
func (w *weightCalls) Loaded(n LoadNews, _ *struct{}) error {
	e, known := w.gateway.roster.Entry(n.ID)
	if known && e.Started == n.Started && e.Models[n.Model] < n.Version {
		w.gateway.roster.SetVersion(n.ID, n.Model, n.Version)
		w.gateway.runner.Signal()
	}
	return nil
}

// releaseControl gives the role up when no order of this instance can be on its
// way any more.
func (g *Gateway) releaseControl(ctx context.Context) {
	g.clock.Sleep(orderSpare)
	if err := g.keeper.Release(ctx); err != nil {
		g.warn("release the control role", err)
	}
}
