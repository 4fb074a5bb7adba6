package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/fleet"
	"github.com/pomelocross/pomelocross/platform"
	"github.com/pomelocross/pomelocross/telemetry"
	"github.com/pomelocross/pomelocross/upstream"
)

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
		engines := g.readyEngines(service.Name)
		if planner.HasReports(engines, now) {
			for _, l := range planner.Next(engines, service.Models, latest, now) {
				go g.sendLoadOrder(t, planner, l)
			}
		}
		for _, id := range planner.Polls(now) {
			go g.pollEngine(t, planner, id)
		}
	}
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
		g.recordRejected(t, planner, l, g.refreshReport(t, planner, to))
	}
}

// recordRejected records that an engine has not accepted an order or that the order
// had no effect; accepted is the number of orders that the engine has accepted.
func (g *Gateway) recordRejected(t *term, planner *fleet.LoadPlanner, l fleet.Load, accepted int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	planner.Rejected(l, accepted, g.clock.Now())
}

// expectedLoadTime is the approximate duration of a load, for which the engine gets no
// requests for the model.
const expectedLoadTime = 900 * time.Millisecond

// pollEngine requests an engine's report and applies it.
func (g *Gateway) pollEngine(t *term, planner *fleet.LoadPlanner, id string) {
	t.calls <- struct{}{}
	defer func() { <-t.calls }()
	e, known := g.roster.Entry(id)
	if !known {
		return
	}
	g.refreshReport(t, planner, e.Target())
}

// refreshReport requests an engine's report and applies it. It returns the number of
// orders that the engine has accepted, or UnknownOrders if it was not reached.
func (g *Gateway) refreshReport(t *term, planner *fleet.LoadPlanner, to upstream.Target) int64 {
	e, _ := g.roster.Entry(to.ID)
	report, err := g.engines.Report(t.ctx, to)
	if err != nil {
		t.mu.Lock()
		defer t.mu.Unlock()
		planner.Unreachable(to.ID)
		return fleet.UnknownOrders
	}
	t.mu.Lock()
	finished, done := planner.Reported(to.ID, fleet.EngineReport{Busy: report.Busy, Accepted: report.Accepted, Models: report.Models}, g.clock.Now())
	t.mu.Unlock()
	for model, version := range report.Models {
		if version > e.Models[model] {
			g.recordLoaded(to.ID, model, version)
		}
	}
	if done {
		g.log.Info("engine has loaded weights", zap.String("upstream", to.ID), zap.String("model", finished.Model), zap.Int64("version", finished.Version),
			zap.Duration("took", finished.Took), zap.Int("concurrent", finished.Concurrent), zap.Int("limit", finished.Limit))
		select {
		case t.reported <- struct{}{}:
		default:
		}
	}
	return report.Accepted
}
