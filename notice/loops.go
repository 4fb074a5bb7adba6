package notice

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/objects"
)

const (
	// maxPushAttempts bounds the exchanges of one push. Items that are still
	// unacknowledged are sent in later rounds.
	maxPushAttempts = 6
	minPushBackoff  = 50 * time.Millisecond
	maxPushBackoff  = time.Second
)

// runRounds exchanges messages with a few peers in each round.
func (e *Endpoint) runRounds(ctx context.Context) {
	for round := rand.IntN(1 << 10); ctx.Err() == nil; round++ {
		e.round(ctx, round)
		e.refreshView()
		e.sleep(ctx, e.Timing.Round/2+rand.N(e.Timing.Round))
	}
}

func (e *Endpoint) round(ctx context.Context, round int) {
	var exchanges sync.WaitGroup
	for _, peer := range e.roundPeers(round) {
		exchanges.Go(func() { _ = e.exchange(ctx, peer) }) // call records failures in the tracker
	}
	exchanges.Wait()
}

func (e *Endpoint) roundPeers(round int) []objects.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.haveMembers {
		var seeds []objects.Member
		for _, address := range e.Seeds {
			seeds = append(seeds, objects.Member{Peer: address})
		}
		return seeds
	}
	return exchangePeers(e.view, round, e.platformFailing || e.stale())
}

// stale reports whether the last sync with the platform is missing or older than
// StaleAfter. The caller holds mu.
func (e *Endpoint) stale() bool {
	age := e.freshness.SyncAge(e.Clock.Now())
	return age < 0 || age > e.Timing.StaleAfter
}

// pushToTargets starts pushes to the peers that this instance forwards items to.
func (e *Endpoint) pushToTargets(external bool) {
	if e.AlwaysWatch {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startPushes(pushTargets(e.view, external))
}

// startPushes starts a push to each peer, or makes a running one repeat. If a peer
// doesn't respond, its children receive the push directly. The caller holds mu.
func (e *Endpoint) startPushes(peers []objects.Member) {
	for _, peer := range peers {
		state := e.pushes[peer.Name]
		if state == nil {
			e.pushes[peer.Name] = &pushState{}
			go e.push(e.runCtx, peer)
			continue
		}
		state.pending = true
		if state.failed {
			e.startPushes(childrenOf(e.view, peer))
		}
	}
}

// pushState is the state of a push to one peer.
type pushState struct {
	pending bool // more items arrived during the push
	failed  bool // a call to the peer failed
}

// push exchanges messages with peer until it has acknowledged all items, or until
// maxPushAttempts is reached, ctx is done or the peer is suspected.
func (e *Endpoint) push(ctx context.Context, peer objects.Member) {
	backoff := minPushBackoff
	for range maxPushAttempts {
		if e.exchange(ctx, peer) == nil {
			if e.finishPush(peer.Name) {
				return
			}
			continue
		}
		e.handlePushFailure(peer)
		if ctx.Err() != nil || e.currentView().Liveness(peer.Name) != domain.Alive {
			break
		}
		e.sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxPushBackoff)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pushes, peer.Name)
}

// handlePushFailure pushes to the children of a peer that doesn't respond.
func (e *Endpoint) handlePushFailure(peer objects.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.pushes[peer.Name].failed {
		e.pushes[peer.Name].failed = true
		e.startPushes(childrenOf(e.view, peer))
	}
}

// finishPush ends the push to a peer and returns true, or returns false if more
// items arrived during it.
func (e *Endpoint) finishPush(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.pushes[name]
	if state.pending {
		*state = pushState{}
		return false
	}
	delete(e.pushes, name)
	return true
}

func (e *Endpoint) currentView() *domain.View {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view
}

// watchKind lists the objects of a kind and then watches it while this instance
// has to watch the platform. It lists again after a gap in the watch.
func (e *Endpoint) watchKind(ctx context.Context, kind string) {
	backoff := e.Timing.MinBackoff
	var after objects.Version
	listed := false
	for ctx.Err() == nil {
		if !e.awaitWatchRole(ctx) {
			listed = false
			continue
		}
		started := e.Clock.Now()
		list, err := e.listOrWatch(ctx, kind, after, listed)
		if err != nil {
			e.recordFailure(ctx)
			listed = listed && !errors.Is(err, objects.ErrGap)
			e.sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, e.maxBackoff())
			continue
		}
		backoff, after, listed = e.Timing.MinBackoff, list.Version, true
		e.addObjects(list.Objects)
		e.recordSync(kind, started)
	}
}

func (e *Endpoint) listOrWatch(ctx context.Context, kind string, after objects.Version, listed bool) (objects.List, error) {
	if !listed {
		return e.Store.List(ctx, kind)
	}
	return e.Store.Watch(ctx, kind, after, e.Timing.WatchTimeout)
}

func (e *Endpoint) addObjects(objects []objects.Object) {
	var items []Item
	for _, o := range objects {
		if item, ok := e.Decode(o); ok && !o.Deleted {
			items = append(items, item)
		}
	}
	e.addItems(items, true)
}

// recordSync records a successful call for a kind that was sent at started. The
// instance is in sync as of the oldest such time among the watched kinds.
func (e *Endpoint) recordSync(kind string, started time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.platformFailing = false
	e.kindSyncedAt[kind] = started
	oldest := started
	for _, k := range e.Kinds {
		if e.kindSyncedAt[k].Before(oldest) {
			oldest = e.kindSyncedAt[k]
		}
	}
	if !oldest.IsZero() {
		e.freshness.RecordSync(oldest)
	}
}

func (e *Endpoint) recordFailure(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.platformFailing = true
	e.freshness.RecordFailure(e.Self.Domain, e.Clock.Now())
}

// maxBackoff returns the longest delay between attempts to reach the platform. It
// is short for watchers, because CompleteUntil needs recent failed calls during an
// outage, and long for the others, to limit the load on the platform.
func (e *Endpoint) maxBackoff() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if isWatcher(e.view) {
		return e.Timing.MaxBackoff
	}
	return e.Timing.MaxIdleBackoff
}

// awaitWatchRole reports whether this instance has to watch the platform now. If
// not, it first waits until the view changes, Round has passed or ctx is done.
func (e *Endpoint) awaitWatchRole(ctx context.Context) bool {
	e.mu.Lock()
	watching, viewChanged := e.AlwaysWatch || isWatcher(e.view) || e.stale(), e.viewChanged
	e.mu.Unlock()
	if watching {
		return true
	}
	timer := e.Clock.NewTimer(e.Timing.Round)
	defer timer.Stop()
	select {
	case <-viewChanged:
	case <-timer.Chan():
	case <-ctx.Done():
	}
	return false
}

func (e *Endpoint) sleep(ctx context.Context, d time.Duration) {
	timer := e.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}
