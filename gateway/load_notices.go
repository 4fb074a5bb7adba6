package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pomelocross/pomelocross/batch"
	"github.com/pomelocross/pomelocross/telemetry"
)

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
