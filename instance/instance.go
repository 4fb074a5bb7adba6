// Package instance wires one entry instance: its control goroutine, its
// listeners and its roles.
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

// eventBuffer bounds events that wait for the control goroutine.
const eventBuffer = 256

// Instance is one entry instance.
type Instance struct {
	settings *settings.Settings
	log      *zap.Logger
	clock    clockwork.Clock
	counters *counters
	platform *objects.Client
	client   *upstream.Client
	runner   *attempt.Runner
	usage    *usageKeeper
	loads    *probe.LoadTable
	dialer   *link.Dialer
	peers    *link.Server
	sessions *sessions
	notices  *notice.Endpoint
	disk     *notice.Disk // nil without --data-dir
	diskMu   sync.Mutex   // held while the disk is written, so that a newer state is not overwritten
	metrics  http.Handler

	view   atomic.Pointer[View]
	events chan event
	queues *queues
	limits *limit.Limiter

	upstreamRole *lease.Keeper
	billingRole  *lease.Keeper
	slotService  *SlotService
	commander    *commander

	homesMu   sync.Mutex // guards homes and sightings
	homes     map[string]*rollout.Home
	sightings map[string]sighting // of homes elsewhere that failed, by run
	opening   singleflight.Group

	coordinator *idempotency.Coordinator
	traffic     *trafficCounters
	inFlight    *inFlight
	draining    atomic.Bool   // readiness fails; requests are still taken
	refusing    atomic.Bool   // requests are refused
	aborted     chan struct{} // closed by Abort
	abort       sync.Once
}

// New builds an instance; nothing runs before Run.
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
	store := objects.NewClientWithOptions(s.Platform, objects.Options{Counter: counters, Budget: budget(s)})
	timing := lease.DefaultTiming()
	timing.Term, timing.Renew = s.LeaseTerm, s.LeaseTerm/3
	i := &Instance{
		settings: s, log: t.Log, clock: clock, counters: counters, metrics: t.Metrics,
		platform: store, client: upstream.NewClient(),
		dialer: link.NewDialer(identity), peers: link.NewServer(identity), sessions: newSessions(),
		events:       make(chan event, eventBuffer),
		limits:       limit.New(clock),
		queues:       newQueues(clock, slots.TimingFor(s.LeaseTerm)),
		upstreamRole: lease.NewKeeper("upstreams-"+s.Domain, s.Name, store, clock, timing),
		billingRole:  lease.NewKeeper("billing", s.Name, store, clock, timing),
		homes:        map[string]*rollout.Home{}, sightings: map[string]sighting{},
		traffic: traffic, inFlight: newInFlight(), aborted: make(chan struct{}),
	}
	i.coordinator = idempotency.New(i.dialer, clock, keySettle*s.MembersInterval, idempotency.DefaultLimits())
	i.runner = &attempt.Runner{
		Client: i.client, Queue: i.queues.of, Budgets: attempt.NewBudgets(clock),
		Alternative: i.hasAlternative, Observe: i.traffic.attempt,
	}
	for _, role := range []*lease.Keeper{i.upstreamRole, i.billingRole} {
		role.SetStandby(func() bool { return i.isStandby(role.Role()) })
	}
	i.commander = newCommander(i)
	i.usage = newUsageKeeper(i)
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

// Run serves until ctx ends, then drains and returns.
func (i *Instance) Run(ctx context.Context) error {
	servers, err := i.listen()
	if err != nil {
		return err
	}
	control, stopControl := context.WithCancel(context.Background())
	var background sync.WaitGroup
	for _, loop := range []func(context.Context){i.control, i.runNotices, i.watchIsolation, i.pollMembers, i.pollLoads, i.shareSlots, i.holdUpstreams, i.holdBilling, i.followMembers, i.usage.replicator.Run} {
		background.Go(func() { loop(control) })
	}
	i.log.Info("serving", zap.String("domain", i.settings.Domain), zap.String("listen", i.settings.Listen),
		zap.String("admin", i.settings.AdminListen), zap.String("peer", i.settings.PeerListen))
	<-ctx.Done()
	err = i.drain(servers)
	stopControl()
	background.Wait()
	i.release()
	i.peers.Close()
	i.dialer.Close()
	i.log.Info("stopped")
	return err
}

type servers struct{ traffic, admin *http.Server }

// listen opens the listeners. Addresses with port 0 are replaced by the real
// ones.
func (i *Instance) listen() (*servers, error) {
	traffic, err := open("--listen", &i.settings.Listen)
	if err != nil {
		return nil, err
	}
	admin, err := open("--admin-listen", &i.settings.AdminListen)
	if err != nil {
		return nil, err
	}
	peers, err := open("--peer-listen", &i.settings.PeerListen)
	if err != nil {
		return nil, err
	}
	s := &servers{traffic: newServer(i.counted(i.trafficHandler())), admin: newServer(i.adminHandler())}
	i.view.Store(&View{Domain: domain.NewView(i.self(), nil), Upstream: upstream.NewTable(nil, nil)})
	i.notices = i.newNotices()
	go s.traffic.Serve(traffic)
	go s.admin.Serve(admin)
	go i.peers.Serve(peers)
	return s, nil
}

func open(flag string, address *string) (net.Listener, error) {
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
)

func newServer(handler http.Handler) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, Protocols: protocols}
}
