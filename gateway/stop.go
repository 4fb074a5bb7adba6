package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/telemetry"
)

const (
	// stopReserveDivisor is the divisor of the grace period that gives the part at its end in
	// which no request runs any more. Requests may only be cut in the last sixth of the period.
	stopReserveDivisor = 10
	// maxStopReserve bounds that part. It has room for one write of usage counts, which takes some
	// ten milliseconds.
	maxStopReserve = time.Second
)

// errStopping is the error of calls that an instance rejects because it is stopping.
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

// stop shuts the instance down: it fails the readiness check, hands batches over to
// other instances, accepts requests until the load balancer sends no more, and then
// waits for the running requests until shortly before the end of the grace period.
func (g *Gateway) stop(server *http.Server) {
	settings := g.currentSettings.Load()
	plan := newStopPlan(g.clock.Now(), settings.Grace)
	g.log.Info("stopping", zap.Int("batches", g.runner.Open()), zap.Duration("accepts", settings.DrainGrace), zap.Duration("cut", plan.cut))
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
	}
	handovers.Wait()
	writeCtx, cancelWrites := context.WithTimeout(context.Background(), plan.reserve/2)
	defer cancelWrites()
	g.publishTally(writeCtx) // ctx may have ended with the requests
}
