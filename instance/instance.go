// Package instance assembles an entry instance: the control goroutine that
// publishes its view, the traffic, admin and peer listeners, and the leased roles
// for upstream control and billing.
package instance

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/oops"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/pomelocross/pomelocross/attempt"
	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/idempotency"
	"github.com/pomelocross/pomelocross/intake"
	"github.com/pomelocross/pomelocross/internal/httpdrain"
	"github.com/pomelocross/pomelocross/lease"
	"github.com/pomelocross/pomelocross/limit"
	"github.com/pomelocross/pomelocross/link"
	"github.com/pomelocross/pomelocross/notice"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/probe"
	"github.com/pomelocross/pomelocross/rollout"
	"github.com/pomelocross/pomelocross/settings"
	"github.com/pomelocross/pomelocross/slots"
	"github.com/pomelocross/pomelocross/telemetry"
	"github.com/pomelocross/pomelocross/upstream"
)

// eventBuffer is the number of events that may wait for the control goroutine.
const eventBuffer = 256

// Instance is an entry instance. It accepts requests from callers and forwards them
// to upstreams.
type Instance struct {
	settings   *settings.Settings
	log        *zap.Logger
	clock      clockwork.Clock
	counters   *counters
	platform   *objects.Client
	client     *upstream.Client
	runner     *attempt.Runner
	usage      *usageTracker
	loads      *probe.LoadTable
	dialer     *link.Dialer
	peerServer *link.Server
	sessions   *sessions
	notices    *notice.Endpoint
	disk       *notice.Disk // nil without --data-dir
	diskMu     sync.Mutex   // held while saving, so that an older state cannot overwrite a newer one
	metrics    http.Handler
	intake     *intake.Guard // of what callers send and have not read

	view   atomic.Pointer[View]
	events chan event
	queues *queueSet
	limits *limit.Limiter

	upstreamRole *lease.Keeper
	billingRole  *lease.Keeper
	slotService  *SlotService
	controller   *upstreamController

	homesMu      sync.Mutex // guards homes and homeFailures
	homes        map[string]*rollout.Home
	homeFailures map[string]homeFailure // failures of homes on other instances, by run
	claims       singleflight.Group

	coordinator *idempotency.Coordinator
	traffic     *trafficCounters
	inFlight    *inFlight
	draining    atomic.Bool   // readiness fails; requests are still accepted
	rejecting   atomic.Bool   // requests are rejected
	aborted     chan struct{} // closed by Abort
	abortOnce   sync.Once
}

// New creates an instance. It starts no goroutine and opens no listener; Run does.
func New(s *settings.Settings, t *telemetry.Telemetry, clock clockwork.Clock) (*Instance, error) {
	identity, err := link.NewIdentity(s.Deployment, s.Secret)
	if err != nil {
		return nil, err
	}
	counters, err := newCounters(t.Meter)
	if err != nil {
		return nil, err
	}
	traffic, err := newTrafficCounters(t.Meter)
	if err != nil {
		return nil, err
	}
	guard, err := intake.NewGuard(intake.Settings{
		MemoryMB: s.MemoryMB, IntakeMB: s.IntakeMB, MaxFiles: s.MaxFiles, MaxConnections: s.MaxConnections,
		AddressConnections: s.AddressConns, StallTime: s.StallTime,
	}, t.Log, t.Meter, clock.Now)
	if err != nil {
		return nil, err
	}
	platform := objects.NewClientWithOptions(s.Platform, objects.Options{Counter: counters, Budget: platformBudget(s)})
	leaseTiming := lease.DefaultTiming()
	leaseTiming.Term, leaseTiming.Renew = s.LeaseTerm, s.LeaseTerm/3
	i := &Instance{
		settings: s, log: t.Log, clock: clock, counters: counters, metrics: t.Metrics, intake: guard,
		platform: platform, client: upstream.NewClient(),
		dialer: link.NewDialer(identity), peerServer: link.NewServer(identity), sessions: newSessions(),
		events:       make(chan event, eventBuffer),
		limits:       limit.New(clock),
		queues:       newQueues(clock, slots.TimingFor(s.LeaseTerm)),
		upstreamRole: lease.NewKeeper("upstreams-"+s.Domain, s.Name, platform, clock, leaseTiming),
		billingRole:  lease.NewKeeper("billing", s.Name, platform, clock, leaseTiming),
		homes:        map[string]*rollout.Home{}, homeFailures: map[string]homeFailure{},
		traffic: traffic, inFlight: newInFlight(), aborted: make(chan struct{}),
	}
	i.coordinator = idempotency.New(i.dialer, clock, keySettleReads*s.MembersInterval, idempotency.DefaultLimits())
	i.runner = &attempt.Runner{
		Client: i.client, Queue: i.queues.get, Budgets: attempt.NewBudgets(clock),
		Alternative: i.hasAlternative, Observe: i.traffic.countAttempt,
	}
	for _, role := range []*lease.Keeper{i.upstreamRole, i.billingRole} {
		role.SetPollFactor(func() int {
			if i.isStandby(role.Role()) {
				return lease.StandbyFactor
			}
			return 1
		})
	}
	i.controller = newUpstreamController(i)
	i.usage = newUsageTracker(i)
	i.slotService = &SlotService{instance: i}
	if err := i.observeQueues(t.Meter); err != nil {
		return nil, oops.In("instance").Wrap(err)
	}
	i.loads = probe.NewLoadTable()
	if s.DataDir != "" {
		if i.disk, err = notice.NewDisk(s.DataDir); err != nil {
			return nil, err
		}
	}
	if err := i.observe(t.Meter); err != nil {
		return nil, err
	}
	return i, i.registerPeerServices()
}

func (i *Instance) self() objects.Member {
	s := i.settings
	return objects.Member{Name: s.Name, Role: objects.RoleEntry, Domain: s.Domain, Region: s.Region, Address: s.Listen, Peer: s.PeerListen}
}

// Run serves until ctx ends, then drains the instance. It returns an error if a
// listener cannot be opened or if requests were cut off.
func (i *Instance) Run(ctx context.Context) error {
	servers, err := i.listen()
	if err != nil {
		return err
	}
	controlCtx, stopControl := context.WithCancel(context.Background())
	var background sync.WaitGroup
	for _, loop := range []func(context.Context){i.runControl, i.runNotices, i.watchIsolation, i.pollMembers, i.pollLoads, i.runSlotReports, i.runUpstreamRole, i.runBillingRole, i.watchMembers, i.usage.replicator.Run} {
		background.Go(func() { loop(controlCtx) })
	}
	i.log.Info("serving", zap.String("domain", i.settings.Domain), zap.String("listen", i.settings.Listen),
		zap.String("admin", i.settings.AdminListen), zap.String("peer", i.settings.PeerListen))
	<-ctx.Done()
	err = i.drain(servers)
	stopControl()
	background.Wait()
	i.releaseRoles()
	i.peerServer.Close()
	i.dialer.Close()
	i.log.Info("stopped")
	return err
}

type servers struct{ traffic, admin *http.Server }

// listen opens the listeners and starts their servers. It replaces addresses with
// port 0 in the settings by the actual addresses.
func (i *Instance) listen() (*servers, error) {
	traffic, err := listenOn("--listen", &i.settings.Listen)
	if err != nil {
		return nil, err
	}
	admin, err := listenOn("--admin-listen", &i.settings.AdminListen)
	if err != nil {
		return nil, err
	}
	peers, err := listenOn("--peer-listen", &i.settings.PeerListen)
	if err != nil {
		return nil, err
	}
	s := &servers{traffic: newServer(httpdrain.Handler(i.trackInFlight(intake.ClaimBodies(i.trafficHandler(), bodyFactor)))), admin: newServer(i.adminHandler())}
	i.view.Store(&View{Domain: domain.NewView(i.self(), nil), Upstream: upstream.NewTable(nil, nil)})
	i.notices = i.newNotices()
	go s.traffic.Serve(i.intake.Callers(traffic))
	go s.admin.Serve(i.intake.Others(admin))
	go i.peerServer.Serve(i.intake.Peers(peers), func(err error) {
		i.log.Warn("a connection of another instance could not be accepted; retrying", telemetry.Error(err))
	})
	return s, nil
}

func listenOn(flag string, address *string) (net.Listener, error) {
	listener, err := net.Listen("tcp", *address)
	if err != nil {
		return nil, oops.In("instance").With("step", "listen", "flag", flag).Wrapf(err, "%s", flag)
	}
	*address = listener.Addr().String()
	return listener, nil
}

const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	// bodyFactor is the memory that a byte of a body takes while a request is served: the body as
	// read, what is decoded from it, and the space that both leave unused while they grow.
	bodyFactor = 3
)

func newServer(handler http.Handler) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, Protocols: protocols}
	intake.Attach(server)
	return server
}
