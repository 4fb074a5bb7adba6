package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/batch"
	"github.com/pomelocross/pomelocross/room"
	"github.com/pomelocross/pomelocross/roster"
	"github.com/pomelocross/pomelocross/telemetry"
)

// roomKeeper exchanges reports on room with the other owners of batches.
type roomKeeper struct {
	gateway *Gateway
	wake    chan struct{} // signals that a place was left to others

	mu      sync.Mutex // guards all below
	inbox   *room.Inbox
	sending map[string]bool // addresses to which a report is on its way
}

// newRoomKeeper returns a roomKeeper without reports.
func newRoomKeeper(g *Gateway) *roomKeeper {
	return &roomKeeper{gateway: g, wake: make(chan struct{}, 1), inbox: room.NewInbox(), sending: map[string]bool{}}
}

// sharing returns the connection of the runner to the other owners, or nil if room is not
// shared.
func (k *roomKeeper) sharing() *batch.RoomSharing {
	if !k.gateway.settings.ShareRoom {
		return nil
	}
	return &batch.RoomSharing{Others: k.others, ReportAge: k.age, Yielded: k.signal}
}

func (k *roomKeeper) others(now time.Time) []room.Waiting {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.inbox.Waiting(now)
}

func (k *roomKeeper) age(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.inbox.Age(now)
}

func (k *roomKeeper) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// roomService receives the reports of other owners.
type roomService struct{ keeper *roomKeeper }

// Report records the report of another owner.
func (s *roomService) Report(report room.Report, _ *struct{}) error { return s.keeper.receive(report) }

// receive records the report of another owner.
func (k *roomKeeper) receive(report room.Report) error {
	g := k.gateway
	if !g.settings.ShareRoom || report.From == g.settings.Name {
		return nil
	}
	if err := report.Check(); err != nil {
		g.counters.Add("room_received", err)
		return err
	}
	now := g.clock.Now()
	k.mu.Lock()
	known := k.inbox.Knows(report.From, now)
	at, current := k.inbox.Apply(report, now)
	k.mu.Unlock()
	if !current {
		return nil
	}
	if !known {
		g.log.Info("another owner of batches reports its use of upstreams", zap.String("owner", report.From), zap.String("peer", report.Peer), zap.Int("upstreams", len(report.Upstreams)))
	}
	g.counters.Add("room_received", nil)
	g.roster.SetReported(report.From, decodeUsage(report.Upstreams), at)
	if g.runner.Open() > 0 {
		g.runner.Signal()
	}
	return nil
}

// decodeUsage returns reported usage as the roster takes it.
func decodeUsage(list []room.Usage) []roster.Usage {
	usages := make([]roster.Usage, 0, len(list))
	for _, u := range list {
		usages = append(usages, roster.Usage{Key: u.Upstream, Requests: u.Requests})
	}
	return usages
}

// encodeUsage is the inverse of decodeUsage.
func encodeUsage(list []roster.Usage) []room.Usage {
	usages := make([]room.Usage, 0, len(list))
	for _, u := range list {
		usages = append(usages, room.Usage{Upstream: u.Key, Requests: u.Requests})
	}
	return usages
}

const (
	// roomCheckInterval is how often it is checked whether a report is due.
	roomCheckInterval = 50 * time.Millisecond
	// roomIdleInterval is the same on an instance that runs no batches.
	roomIdleInterval = 250 * time.Millisecond
	// roomReportTimeout bounds the delivery of a report. The next one replaces it.
	roomReportTimeout = 300 * time.Millisecond
)

// run reports to the other owners while batches run on this instance, until ctx ends.
func (k *roomKeeper) run(ctx context.Context) {
	if !k.gateway.settings.ShareRoom {
		return
	}
	reporter := roomReporter{keeper: k}
	for ctx.Err() == nil {
		pause := roomIdleInterval
		if k.gateway.runner.Open() > 0 {
			pause = roomCheckInterval
			reporter.reportIfDue(ctx)
		}
		select {
		case <-ctx.Done():
		case <-k.wake:
			reporter.yielding = true
		case <-k.gateway.clock.After(pause):
		}
	}
}

// roomReporter makes the reports of this instance. It is used by one goroutine.
type roomReporter struct {
	keeper   *roomKeeper
	pacer    room.Pacer
	sequence int64 // of the last report
	requests int   // in the last report
	yielding bool  // a place was left to others since the last report
}

// reportIfDue sends a report to the other owners if one is due.
func (r *roomReporter) reportIfDue(ctx context.Context) {
	g := r.keeper.gateway
	now := g.clock.Now()
	peers := r.keeper.peers(now)
	if len(peers) == 0 {
		return
	}
	report := room.Report{
		From: g.settings.Name, Peer: g.settings.PeerListen, Incarnation: g.membership.self.Incarnation, Sequence: r.sequence + 1,
		Sent: sinceBoot(now), Upstreams: encodeUsage(g.roster.OwnUsage()), Waiting: g.runner.Waiting(),
	}
	requests := report.Requests()
	short := len(report.Waiting) > 0 || len(r.keeper.others(now)) > 0
	if !r.pacer.Due(room.Situation{Short: short, Yielding: r.yielding, Changed: requests - r.requests}, now) {
		return
	}
	report.Limit()
	r.pacer.Sent(report.Size(), len(peers), now)
	r.keeper.send(ctx, report, peers)
	r.sequence, r.requests, r.yielding = r.sequence+1, requests, false
}

// sinceBoot returns the time since boot at a time of the boot clock.
func sinceBoot(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }

// peers returns the addresses of the other owners, sorted.
func (k *roomKeeper) peers(now time.Time) []string {
	peers := k.gateway.runner.OtherOwners()
	k.mu.Lock()
	peers = append(peers, k.inbox.Peers(now)...)
	k.mu.Unlock()
	slices.Sort(peers)
	return slices.Compact(peers)
}

// send sends a report to peers. A peer to which an earlier report is still on its way is left
// out.
func (k *roomKeeper) send(ctx context.Context, report room.Report, peers []string) {
	for _, peer := range peers {
		if !k.begin(peer) {
			continue
		}
		go func() {
			defer k.end(peer)
			ctx, cancel := context.WithTimeout(ctx, roomReportTimeout)
			defer cancel()
			err := k.gateway.dialer.Call(ctx, peer, "Room.Report", report, &struct{}{})
			k.gateway.counters.Add("room", err)
			if err != nil {
				k.gateway.log.Debug("report on room was not delivered", zap.String("peer", peer), telemetry.Error(err))
			}
		}()
	}
}

func (k *roomKeeper) begin(peer string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.sending[peer] {
		return false
	}
	k.sending[peer] = true
	return true
}

func (k *roomKeeper) end(peer string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.sending, peer)
}
