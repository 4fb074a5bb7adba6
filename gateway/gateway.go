// Package gateway wires one instance on a platform: its listeners, what it
// follows in the platform's store, the batches it runs and the control role that
// it may hold.
package gateway

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/batch"
	"github.com/pomelocross/pomelocross/boottime"
	"github.com/pomelocross/pomelocross/catalog"
	"github.com/pomelocross/pomelocross/forward"
	"github.com/pomelocross/pomelocross/lease"
	"github.com/pomelocross/pomelocross/link"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/platform"
	"github.com/pomelocross/pomelocross/roster"
	"github.com/pomelocross/pomelocross/telemetry"
	"github.com/pomelocross/pomelocross/upstream"
)

// Gateway is one instance.
type Gateway struct {
	settings *Settings                // of the start
	live     atomic.Pointer[Settings] // of now, where a change is taken over
	log      *zap.Logger
	clock    boottime.Clock
	wall     *boottime.Wall
	counters *counters
	metrics  http.Handler

	direct  *platform.Store
	store   *objects.Relay // over direct
	cloud   *platform.Cloud
	engines *platform.Engines
	roster  *roster.Roster
	forward *forward.Forwarder
	runner  *batch.Runner
	batches *batch.Service
	meter   *meter
	keeper  *lease.Keeper
	dialer  *link.Dialer
	peers   *link.Server
	crew    *crew
	feed    *feed
	// background lives as long as the instance runs.
	background context.Context
	end        context.CancelFunc

	catalog  atomic.Pointer[catalog.Catalog]
	listed   atomic.Bool // upstreams were listed since the start
	outage   outage
	weights  *weights
	readers  newsReaders
	draining atomic.Bool // readiness fails
	closing  atomic.Bool // requests are refused, since connections are closed
}

// New builds an instance; nothing runs before Run.
func New(s *Settings, t *telemetry.Telemetry) (*Gateway, error) {
	identity, err := link.NewIdentity(s.Deployment, s.Secret)
	if err != nil {
		return nil, err
	}
	counters, err := newCounters(t.Meter)
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		settings: s, log: t.Log, clock: boottime.New(), wall: boottime.NewWall(), counters: counters, metrics: t.Metrics,
		direct: platform.NewStore(s.Store, counters), cloud: platform.NewCloud(s.Cloud, counters),
		engines: platform.NewEngines(upstream.NewClient(), counters), roster: roster.New(),
		dialer: link.NewDialer(identity), peers: link.NewServer(identity), weights: newWeights(),
	}
	g.live.Store(s)
	g.crew = newCrew(s)
	g.background, g.end = context.WithCancel(context.Background())
	g.store = objects.NewRelay(g.direct, g.relay, g.wayChanged)
	g.feed = newFeed(g)
	g.meter = newMeter(s.UsageWindow)
	g.forward = &forward.Forwarder{
		Domain: s.Domain, Roster: g.roster, Upstreams: g.engines, Clock: g.clock, Log: t.Log,
		OnRun: g.began, OnAttempt: counters.sent,
	}
	incarnation := uuid.NewString()
	g.runner = batch.NewRunner(batch.Options{
		Name: s.Name, Peer: s.PeerListen, Domain: s.Domain, Store: batch.NewStore(g.store, incarnation),
		Roster: g.roster, Engines: g.engines, Catalog: g.catalog.Load, Clock: g.clock, Wall: g.wall.Now, Log: t.Log, Record: counters.ran,
		Retention: s.Keep, RetentionBytes: keepBytes(s.MemoryMB),
	})
	g.batches = batch.NewService(g.runner, g.feed, &peerCalls{g}, g.limitsOf)
	g.keeper = lease.NewKeeper("control", s.Name, g.store, g.clock, leaseTiming(s.LeaseBound))
	g.keeper.SetStandby(func() bool { return !g.crew.seeks() })
	return g, errors.Join(g.peers.Register("Batches", &batchCalls{g}), g.peers.Register("Store", &storeCalls{g}),
		g.peers.Register("Weights", &weightCalls{g}), g.peers.Register("Feed", &feedCalls{g}))
}

// leaseTiming derives a lease's timing from the time within which the role must
// not go to and fro: a candidate that waits it out cannot be one of such a pair.
func leaseTiming(bound time.Duration) lease.Timing {
	return lease.Timing{Term: bound * 2 / 3, Renew: bound / 4, Margin: bound / 2, Poll: bound / 3}
}

// keptPart of the memory holds results of ended batches.
const keptPart = 8

// keepBytes returns the bytes for results of ended batches.
func keepBytes(memoryMB int) int {
	const usual = 64 // MB, where memory is not bounded
	if memoryMB == 0 {
		memoryMB = usual * keptPart
	}
	return memoryMB << 20 / keptPart
}

// limitsOf returns the limits of batches of a route.
func (g *Gateway) limitsOf(route string) batch.Limits {
	limits := batch.Limits{Due: 10 * time.Second, MaxAge: time.Minute} // of a route that is gone
	c := g.catalog.Load()
	if c == nil {
		return limits
	}
	r, ok := c.Route(route)
	if !ok {
		return limits
	}
	// An age is taken by clocks of two machines, which may differ by seconds.
	const slack = 10 * time.Second
	return batch.Limits{Due: cmp.Or(r.Due, limits.Due), MaxAge: cmp.Or(r.MaxAge, limits.MaxAge) + slack}
}

func (g *Gateway) began(team string, at time.Time) { g.meter.count(team, g.wall.At(at)) }

// Run serves until ctx ends, then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	front, err := g.listen()
	if err != nil {
		return err
	}
	var background sync.WaitGroup
	for _, loop := range g.loops() {
		background.Go(func() { loop(g.background) })
	}
	g.log.Info("started", zap.String("domain", g.settings.Domain), zap.String("listen", g.settings.Listen),
		zap.String("peer", g.settings.PeerListen), zap.String("control", g.settings.Control))
	<-ctx.Done()
	g.stop(front)
	g.end()
	background.Wait()
	g.peers.Close()
	g.dialer.Close()
	g.log.Info("stopped")
	return nil
}

func (g *Gateway) loops() []func(context.Context) {
	return []func(context.Context){
		g.wall.Run, g.followCatalog, g.followServers, g.pollCrew, g.followRetirements,
		g.runner.Run, g.runner.Checkpoint, g.batches.Resume, g.batches.WatchHeads, g.batches.Sweep, g.publishTallies, g.seekControl, g.holdControl,
	}
}

// listen opens the listeners that the settings name.
func (g *Gateway) listen() (*http.Server, error) {
	peers, err := open("--peer-listen", g.settings.PeerListen)
	if err != nil {
		return nil, err
	}
	go g.peers.Serve(peers)
	admin := http.NewServeMux()
	admin.Handle("GET /metrics", g.metrics)
	if err := g.serve("--admin-listen", g.settings.AdminListen, &http.Server{Handler: admin}); err != nil {
		return nil, err
	}
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.PathReady, g.serveReady)
	if err := g.serve("--ready-listen", g.settings.ReadyListen, &http.Server{Handler: ready}); err != nil {
		return nil, err
	}
	front := g.frontServer()
	return front, g.serve("--listen", g.settings.Listen, front)
}

func (g *Gateway) serve(flag, address string, server *http.Server) error {
	if address == "" {
		return nil
	}
	listener, err := open(flag, address)
	if err != nil {
		return err
	}
	go func() {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			g.log.Error("listener ended", zap.String("flag", flag), telemetry.Error(err))
		}
	}()
	return nil
}

func open(flag, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, oops.In("gateway").With("step", "listen", "flag", flag).Wrapf(err, "%s", flag)
	}
	return listener, nil
}

// ready reports whether the balancer may send callers here.
func (g *Gateway) ready() bool {
	return !g.draining.Load() && g.catalog.Load() != nil && g.listed.Load()
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// lastPart of the grace is kept for what must be written at the end of a stop.
const lastPart = 1500 * time.Millisecond

// stop hands batches over, keeps serving until the balancer sends nobody, then
// finishes what runs.
func (g *Gateway) stop(front *http.Server) {
	g.log.Info("stopping", zap.Int("batches", g.runner.Open()))
	g.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), g.live.Load().Grace-lastPart)
	defer cancel()
	var parts sync.WaitGroup
	parts.Go(func() { g.leaveCrew(ctx) })
	parts.Go(func() { g.batches.Handover(ctx) })
	parts.Go(func() { g.releaseControl(ctx) })
	g.clock.Sleep(g.live.Load().DrainGrace)
	// Before connections are closed: the server may close one whose next request it
	// has just read as idle, and that request must not reach an upstream any more.
	g.closing.Store(true)
	front.SetKeepAlivesEnabled(false)
	if err := front.Shutdown(ctx); err != nil {
		g.log.Warn("requests were still running at the end of the grace", telemetry.Error(err))
	}
	parts.Wait()
	g.publishNow(ctx)
}

// outage remembers when the store last failed, which explains absences.
type outage struct{ at atomic.Int64 }

// note takes in what came of a call on the store.
func (o *outage) note(now time.Time, err error) {
	if err != nil {
		o.at.Store(now.UnixNano())
	}
}

// recent reports whether the store failed within d before now.
func (o *outage) recent(now time.Time, d time.Duration) bool {
	at := o.at.Load()
	return at != 0 && now.Sub(time.Unix(0, at)) < d
}
