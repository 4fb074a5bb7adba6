package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/catalog"
	"github.com/pomelocross/pomelocross/forward"
	"github.com/pomelocross/pomelocross/telemetry"
)

const (
	// stopReserveDivisor is the divisor of the grace period that gives the part at its end in
	// which no request runs any more. Requests may only be cut in the last sixth of the period.
	stopReserveDivisor = 10
	// maxStopReserve bounds that part. It has room for the responses to the requests that are
	// cut and for one write of usage counts, which take some ten milliseconds each.
	maxStopReserve = time.Second
	// cutAllowedArrival is the time from the begin of a stop within which a request has to
	// arrive to be cut at the end of the grace period.
	cutAllowedArrival = 3 * time.Second
)

// errStopping is the error of calls that an instance rejects because it is stopping, and the
// cause for which the requests are cancelled that still run at the end of the grace period.
var errStopping = errors.New("this instance is stopping")

// stopPlan is the timing of a planned stop.
type stopPlan struct {
	began   time.Time
	cut     time.Duration // time from began at which requests that still run are cut
	reserve time.Duration // time from the cut until the process has to end
}

// newStopPlan returns the plan of a stop with a grace period.
func newStopPlan(began time.Time, grace time.Duration) stopPlan {
	reserve := min(maxStopReserve, grace/stopReserveDivisor)
	return stopPlan{began: began, cut: grace - reserve, reserve: reserve}
}

// admits reports whether a request that arrives at a time may still be passed on. limit is the
// longest time that it can take; 0 if there is none.
//
// Load pattern: an instance that stops still gets requests, and other instances can serve them.
// What may not be repeated is passed on only if it ends before the instance does. What may be
// repeated is passed on as long as it may be cut, since few requests take as long as allowed.
func (p stopPlan) admits(at time.Time, limit time.Duration, repeatable bool) bool {
	elapsed := at.Sub(p.began)
	if limit > 0 && elapsed+limit <= p.cut {
		return true
	}
	return repeatable && elapsed <= cutAllowedArrival
}

// longestRun returns the longest time that a request can take; 0 if there is no limit. A stream
// that has begun is limited by its budget only.
func longestRun(route catalog.Route, budget time.Duration) time.Duration {
	if route.Kind == catalog.KindStream {
		return budget
	}
	return forward.Timeout(route, budget)
}

// admitsWhileStopping reports whether a request on a route may be passed on. That is always so
// unless the instance stops.
func (g *Gateway) admitsWhileStopping(route catalog.Route, budget time.Duration) bool {
	plan := g.stopping.Load()
	return plan == nil || plan.admits(g.clock.Now(), longestRun(route, budget), route.Repeatable())
}

// isCut reports whether a request was cancelled because the instance stops, and not by its
// caller.
func isCut(r *http.Request) bool { return errors.Is(context.Cause(r.Context()), errStopping) }

// stop shuts the instance down: it fails the readiness check, hands batches over to
// other instances, accepts requests until the load balancer sends no more, and then
// waits for the running requests. Those that still run shortly before the end of the grace
// period are answered as given up.
func (g *Gateway) stop(server *http.Server) {
	settings := g.currentSettings.Load()
	plan := newStopPlan(g.clock.Now(), settings.Grace)
	g.log.Info("stopping", zap.Int("batches", g.runner.Open()), zap.Duration("accepts", settings.DrainGrace), zap.Duration("cut", plan.cut))
	g.stopping.Store(&plan)
	g.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), plan.cut)
	defer cancel()
	var handovers sync.WaitGroup
	handovers.Go(func() { g.unregister(ctx) })
	handovers.Go(func() { g.batches.Handover(ctx) })
	handovers.Go(func() { g.releaseControl(ctx) })
	g.clock.Sleep(min(settings.DrainGrace, plan.cut))
	// This must precede the closing of connections. The server may treat a connection
	// as idle and close it although it has just read the next request from it; that
	// request must not reach an upstream.
	g.closing.Store(true)
	server.SetKeepAlivesEnabled(false)
	if err := server.Shutdown(ctx); err != nil {
		g.log.Warn("requests still run at the end of the grace period; cutting them", telemetry.Error(err))
		g.cutRequests(errStopping)
		answered, cancelAnswers := context.WithTimeout(context.Background(), plan.reserve/2)
		defer cancelAnswers()
		if err := server.Shutdown(answered); err != nil {
			g.log.Warn("requests that were cut could not be answered in time", telemetry.Error(err))
		}
	}
	handovers.Wait()
	writeCtx, cancelWrites := context.WithTimeout(context.Background(), plan.reserve/2)
	defer cancelWrites()
	g.publishTally(writeCtx) // ctx may have ended with the requests
}
