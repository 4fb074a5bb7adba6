// Package gateway assembles one gateway instance: its listeners, the objects it
// watches in the platform's store, the batches it runs, and the control role,
// which one instance of the deployment holds at a time.
package gateway

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/batch"
	"github.com/pomelocross/pomelocross/boottime"
	"github.com/pomelocross/pomelocross/catalog"
	"github.com/pomelocross/pomelocross/cost"
	"github.com/pomelocross/pomelocross/forward"
	"github.com/pomelocross/pomelocross/intake"
	"github.com/pomelocross/pomelocross/lease"
	"github.com/pomelocross/pomelocross/link"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/placement"
	"github.com/pomelocross/pomelocross/platform"
	"github.com/pomelocross/pomelocross/roster"
	"github.com/pomelocross/pomelocross/sendlimit"
	"github.com/pomelocross/pomelocross/telemetry"
	"github.com/pomelocross/pomelocross/upstream"
)

// Gateway is one instance.
type Gateway struct {
	settings        *Settings                // as read at the start
	currentSettings atomic.Pointer[Settings] // as last reloaded; read only for reloadable settings
	log             *zap.Logger
	clock           boottime.Clock
	wall            *boottime.Wall
	counters        *counters
	metrics         http.Handler

	directStore  *platform.Store
	store        *objects.Relay // uses directStore, or another instance while the store is unreachable
	cloud        *platform.Cloud
	engines      *platform.Engines
	roster       *roster.Roster
	costs        *cost.Book
	buffers      *upstream.Buffers // of the responses of upstreams
	intake       *intake.Guard     // of what callers send and have not read
	forward      *forward.Forwarder
	runner       *batch.Runner
	batches      *batch.Service
	meter        *meter
	usageReports usageReports
	controlLease *lease.Keeper
	dialer       *link.Dialer
	peerServer   *link.Server
	membership   *membership
	feed         *feed
	quarantine   *quarantineKeeper
	limits       *sendlimit.Book
	cold         *sendlimit.Book
	room         *roomKeeper
	limitGrants  *sendlimit.Grants // used while this instance holds the control role
	coldGrants   *sendlimit.Grants // likewise, for cold upstreams
	// background is the context of all background tasks; stopBackground cancels it.
	background     context.Context
	stopBackground context.CancelFunc

	catalog          atomic.Pointer[catalog.Catalog]
	formerBatchHosts batchHosts   // of earlier configurations
	confirmation     confirmation // of catalog
	upstreamsListed  atomic.Bool  // set once the upstreams have been listed
	limitsAsked      atomic.Bool  // set once other instances were asked for the limits of upstreams
	// evacuationsListed is set once the evacuated failure domains have been listed, or at
	// the start if there are none on this platform.
	evacuationsListed atomic.Bool
	outage            outage
	usageOutage       outage // of writes of usage counts
	versions          *versionTable
	noticeRecipients  noticeRecipients
	draining          atomic.Bool              // the readiness check fails
	closing           atomic.Bool              // new requests are rejected because connections are being closed
	stopping          atomic.Pointer[stopPlan] // nil until the instance stops
	// requests is the context of all requests of callers; cutRequests cancels it.
	requests    context.Context
	cutRequests context.CancelCauseFunc
}

// New returns an instance that opens no listeners until Run is called.
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
		directStore: platform.NewStore(s.Store, counters), cloud: platform.NewCloud(s.Cloud, counters),
		engines: platform.NewEngines(upstream.NewClientWithLimit(maxIdleConns(s.MaxFiles)), counters), roster: roster.New(),
		dialer: link.NewDialer(identity), peerServer: link.NewServer(identity), versions: newVersionTable(),
	}
	g.currentSettings.Store(s)
	g.membership = newMembership(s)
	g.background, g.stopBackground = context.WithCancel(context.Background())
	g.requests, g.cutRequests = context.WithCancelCause(context.Background())
	g.store = objects.NewRelay(g.directStore, g.relay, g.storePathChanged)
	g.feed = newFeed(g)
	g.buffers = upstream.NewBuffers(memoryShare(s.MemoryMB))
	if g.intake, err = intake.NewGuard(s.intake(), t.Log, t.Meter, g.clock.Now); err != nil {
		return nil, err
	}
	g.engines.OnLeaving, g.engines.Buffers = g.upstreamLeaves, g.buffers
	g.meter = newMeter(s.UsageWindow)
	g.quarantine = newQuarantineKeeper(g)
	g.room = newRoomKeeper(g)
	incarnation := uuid.NewString()
	g.limits, g.limitGrants = sendlimit.NewBook(s.limitTiming(), s.LimitWindow, incarnation), sendlimit.NewGrants(s.limitTiming())
	g.cold, g.coldGrants = sendlimit.NewColdBook(s.coldTiming(), incarnation), sendlimit.NewColdGrants(s.coldTiming())
	ledger := sendlimit.Ledger{Limits: g.limits, Cold: g.cold}
	g.roster.SetLimits(ledger)
	admitted := &admission{next: g.engines, roster: g.roster, limits: ledger, clock: g.clock, log: t.Log, onCold: g.upstreamIsCold}
	g.roster.SetPlacement(placement.Mode(s.Placement))
	g.costs = cost.NewBook()
	g.forward = &forward.Forwarder{
		Domain: s.Domain, Roster: g.roster, Upstreams: admitted, Buffers: g.buffers, Clock: g.clock, Log: t.Log,
		OnRun: g.countRequest, OnAttempt: counters.recordAttempt, Costs: g.costs, Guard: g.quarantine, Gone: g.upstreamGone,
	}
	g.runner = batch.NewRunner(batch.Options{
		Name: s.Name, Peer: s.PeerListen, Domain: s.Domain, Store: batch.NewStore(g.store, incarnation),
		Roster: g.roster, Engines: admitted, Rewards: g.forward, Costs: g.costs, Catalog: g.catalog.Load, LimitsOf: g.batchLimits, Clock: g.clock, Wall: g.wall.Now, Log: t.Log,
		Record: counters.recordItem, RecordWork: counters.recordWork, RecordReward: counters.recordReward, RecordHeadAge: counters.recordHeadAge, RecordMove: counters.recordMove, EndBound: s.EndBound,
		Retention: s.Keep, RetentionBytes: memoryShare(s.MemoryMB), BodyBytes: memoryShare(s.MemoryMB), Room: g.room.sharing(),
	})
	g.batches = batch.NewService(g.runner, g.feed, &peerClient{g})
	g.controlLease = lease.NewKeeper("control", s.Name, g.store, g.clock, leaseTiming(s.LeaseBound))
	g.controlLease.SetPollFactor(g.membership.pollFactor)
	return g, errors.Join(g.peerServer.Register("Batches", &batchesService{g}), g.peerServer.Register("Store", &storeService{g}),
		g.peerServer.Register("Weights", &weightsService{g}), g.peerServer.Register("Feed", &feedService{g}),
		g.peerServer.Register("Limits", &limitsService{g}), g.peerServer.Register("Cold", &coldService{g}),
		g.peerServer.Register("Room", &roomService{g.room}))
}

// leaseTiming derives the timing of the control lease from bound, the time within
// which the role must not move to another instance and back. A candidate waits for
// Term and Margin, which together exceed bound, before it takes the role over.
func leaseTiming(bound time.Duration) lease.Timing {
	return lease.Timing{Term: bound * 2 / 3, Renew: bound / 4, Margin: bound / 2, Poll: bound / 3}
}

// idleConnsDivisor is the divisor of the limit on file descriptors that gives the idle
// connections to upstreams. A deployment may have more engines than an instance has
// descriptors, and each idle connection takes some 30 KB of memory too.
const idleConnsDivisor = 16

// maxIdleConns returns the number of idle connections to upstreams that an instance
// keeps.
func maxIdleConns(maxFiles int) int {
	const defaultMaxFiles = 4096 // applies when the process has no limit
	return cmp.Or(maxFiles, defaultMaxFiles) / idleConnsDivisor
}

// memoryShareDivisor is the divisor of the memory limit that gives the memory for the results of
// ended batches, and likewise that for the responses of upstreams while they are read.
const memoryShareDivisor = 8

// memoryShare returns such a part of the memory limit in bytes.
func memoryShare(memoryMB int) int {
	const defaultShareMB = 64 // applies when the process has no memory limit
	if memoryMB == 0 {
		memoryMB = defaultShareMB * memoryShareDivisor
	}
	return memoryMB << 20 / memoryShareDivisor
}

// batchLimits returns the limits of a batch by its route. For a route that no longer exists,
// those of the route as accepted hold.
func (g *Gateway) batchLimits(h batch.Head) batch.Limits {
	limits := batch.Limits{Due: 10 * time.Second, MaxAge: time.Minute} // defaults
	r, ok := h.RouteIn(g.catalog.Load())
	switch {
	case ok:
	case h.Accepted != nil:
		r = h.Accepted.Route
	default:
		return limits
	}
	// The age of a batch is measured with the clocks of two machines, which may
	// differ by seconds.
	const clockSkew = 10 * time.Second
	return batch.Limits{Due: cmp.Or(r.Due, limits.Due), MaxAge: cmp.Or(r.MaxAge, limits.MaxAge) + clockSkew}
}

// countRequest counts a request of a team whose run started, or may have started, at
// the time at of the boot clock.
func (g *Gateway) countRequest(team string, at time.Time) { g.meter.count(team, g.wall.At(at)) }

// Run serves requests until ctx is done, then shuts down gracefully. It returns an
// error only when a listener cannot be opened.
func (g *Gateway) Run(ctx context.Context) error {
	server, err := g.openListeners()
	if err != nil {
		return err
	}
	var background sync.WaitGroup
	for _, loop := range g.backgroundTasks() {
		background.Go(func() { loop(g.background) })
	}
	g.log.Info("started", zap.String("domain", g.settings.Domain), zap.String("listen", g.settings.Listen),
		zap.String("peer", g.settings.PeerListen), zap.String("control", g.settings.Control))
	<-ctx.Done()
	g.stop(server)
	g.stopBackground()
	background.Wait()
	g.peerServer.Close()
	g.dialer.Close()
	g.log.Info("stopped")
	return nil
}

// backgroundTasks returns the functions that run until background ends.
func (g *Gateway) backgroundTasks() []func(context.Context) {
	return []func(context.Context){
		g.wall.Run, g.followCatalog, g.followServers, g.followEvacuations, g.pollMembership, g.followRetirements,
		g.runner.Run, g.runner.Checkpoint, g.batches.Resume, g.batches.WatchHeads, g.batches.Sweep, g.runTallyPublisher, g.quarantine.run, g.room.run, g.runLimitReports, g.runColdReports, g.maintainControlLease, g.runControl,
	}
}

// endpoint is a listening address of the instance and the function that serves it.
type endpoint struct {
	flag     string                          // setting that holds the address, for errors
	address  string                          // empty if the setting disables the endpoint
	bound    func(net.Listener) net.Listener // bounds the connections
	serve    func(net.Listener) error
	listener net.Listener
}

// openListeners opens the configured listeners and starts their servers. It returns
// the server for callers. If a listener cannot be opened, it closes the others, so that
// no readiness check is served by an instance that does not run.
func (g *Gateway) openListeners() (*http.Server, error) {
	admin := http.NewServeMux()
	admin.Handle("GET /metrics", g.metrics)
	admin.HandleFunc("GET "+PathWhere, g.serveWhere)
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.PathReady, g.serveReady)
	callers := g.callerServer()
	endpoints := []*endpoint{
		{flag: "--peer-listen", address: g.settings.PeerListen, bound: g.intake.Peers, serve: func(l net.Listener) error { return g.peerServer.Serve(l, g.peerNotAccepted) }},
		{flag: "--admin-listen", address: g.settings.AdminListen, bound: g.intake.Others, serve: newServer(admin).Serve},
		{flag: "--ready-listen", address: g.settings.ReadyListen, bound: g.intake.Others, serve: newServer(ready).Serve},
		{flag: "--listen", address: g.settings.Listen, bound: g.intake.Callers, serve: callers.Serve},
	}
	endpoints = slices.DeleteFunc(endpoints, func(e *endpoint) bool { return e.address == "" })
	for n, e := range endpoints {
		var err error
		if e.listener, err = listenTCP(e.flag, e.address); err != nil {
			for _, open := range endpoints[:n] {
				err = errors.Join(err, open.listener.Close())
			}
			return nil, err
		}
	}
	for _, e := range endpoints {
		go g.serveEndpoint(e)
	}
	return callers, nil
}

// serveEndpoint serves an endpoint until its server is closed.
func (g *Gateway) serveEndpoint(e *endpoint) {
	if err := e.serve(e.bound(e.listener)); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		g.log.Error("listener stopped unexpectedly", zap.String("flag", e.flag), telemetry.Error(err))
	}
}

// peerNotAccepted logs that a connection of another instance could not be accepted.
func (g *Gateway) peerNotAccepted(err error) { g.warn("accept a connection of an instance", err) }

// listenTCP opens a listener; flag is the setting that holds the address, for errors.
func listenTCP(flag, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, oops.In("gateway").With("step", "listen", "flag", flag).Wrapf(err, "%s", flag)
	}
	return listener, nil
}

// ready reports whether the load balancer may send requests to this instance.
func (g *Gateway) ready() bool {
	return !g.draining.Load() && g.catalog.Load() != nil && g.upstreamsListed.Load() && g.evacuationsListed.Load() && g.quarantine.listed.Load() && g.limitsAsked.Load()
}

// serveReady serves the readiness check: status 200 if ready, else 503.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
