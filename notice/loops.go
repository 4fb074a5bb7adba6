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
	// pushTries bounds how often news is sent again; rounds carry on after it.
	pushTries    = 6
	pushPause    = 50 * time.Millisecond
	maxPushPause = time.Second
)

// exchangeRounds exchanges messages with a few peers each round.
func (e *Endpoint) exchangeRounds(ctx context.Context) {
	for turn := rand.IntN(1 << 10); ctx.Err() == nil; turn++ {
		e.round(ctx, turn)
		e.refresh()
		e.sleep(ctx, e.Timing.Round/2+rand.N(e.Timing.Round))
	}
}

func (e *Endpoint) round(ctx context.Context, turn int) {
	var asking sync.WaitGroup
	for _, peer := range e.roundPeers(turn) {
		asking.Go(func() { _ = e.exchange(ctx, peer) }) // a failure is counted by ask
	}
	asking.Wait()
}

func (e *Endpoint) roundPeers(turn int) []objects.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.listed {
		var seeds []objects.Member
		for _, address := range e.Seeds {
			seeds = append(seeds, objects.Member{Peer: address})
		}
		return seeds
	}
	return rounds(e.view, turn, e.failing || e.stale())
}

// stale reports whether the platform's word is old. The caller holds mu.
func (e *Endpoint) stale() bool {
	age := e.fresh.HeardAge(e.Clock.Now())
	return age < 0 || age > e.Timing.Stale
}

// spread sends news to those that this instance is to tell.
func (e *Endpoint) spread(outside bool) {
	if e.AlwaysWatch {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tell(audience(e.view, outside))
}

// tell pushes to peers. In place of a peer that does not answer it tells those
// that the peer was to tell. The caller holds mu.
func (e *Endpoint) tell(peers []objects.Member) {
	for _, peer := range peers {
		running := e.pushing[peer.Name]
		if running == nil {
			e.pushing[peer.Name] = &pushing{}
			go e.push(e.run, peer)
			continue
		}
		running.again = true
		if running.failing {
			e.tell(charges(e.view, peer))
		}
	}
}

// pushing is the state of a push to one peer.
type pushing struct {
	again   bool // there is more to tell
	failing bool // the peer did not answer
}

// push exchanges with peer until it knows all that is known here, or gives up.
func (e *Endpoint) push(ctx context.Context, peer objects.Member) {
	pause := pushPause
	for range pushTries {
		if e.exchange(ctx, peer) == nil {
			if e.pushed(peer.Name) {
				return
			}
			continue
		}
		e.unanswered(peer)
		if ctx.Err() != nil || e.viewNow().Liveness(peer.Name) != domain.Alive {
			break
		}
		e.sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, maxPushPause)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pushing, peer.Name)
}

// unanswered takes over from a peer that does not answer.
func (e *Endpoint) unanswered(peer objects.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.pushing[peer.Name].failing {
		e.pushing[peer.Name].failing = true
		e.tell(charges(e.view, peer))
	}
}

// pushed ends a push, unless news came meanwhile.
func (e *Endpoint) pushed(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.pushing[name]
	if state.again {
		*state = pushing{}
		return false
	}
	delete(e.pushing, name)
	return true
}

func (e *Endpoint) viewNow() *domain.View {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view
}

// follow lists a kind and then watches it while this instance is to watch, and
// lists again after a gap.
func (e *Endpoint) follow(ctx context.Context, kind string) {
	pause := e.Timing.MinPause
	var after objects.Version
	listed := false
	for ctx.Err() == nil {
		if !e.awaitWatching(ctx) {
			listed = false
			continue
		}
		started := e.Clock.Now()
		list, err := e.read(ctx, kind, after, listed)
		if err != nil {
			e.missed(ctx)
			listed = listed && !errors.Is(err, objects.ErrGap)
			e.sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, e.maxPause())
			continue
		}
		pause, after, listed = e.Timing.MinPause, list.Version, true
		e.takeObjects(list.Objects)
		e.heard(kind, started)
	}
}

func (e *Endpoint) read(ctx context.Context, kind string, after objects.Version, listed bool) (objects.List, error) {
	if !listed {
		return e.Store.List(ctx, kind)
	}
	return e.Store.Watch(ctx, kind, after, e.Timing.Wait)
}

func (e *Endpoint) takeObjects(objects []objects.Object) {
	var items []Item
	for _, o := range objects {
		if item, ok := e.Decode(o); ok && !o.Deleted {
			items = append(items, item)
		}
	}
	e.take(items, true)
}

// heard notes an answer to a call that was sent at started. The platform's word
// is as old as the oldest of the watched kinds.
func (e *Endpoint) heard(kind string, started time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failing = false
	e.kindHeard[kind] = started
	oldest := started
	for _, k := range e.Kinds {
		if e.kindHeard[k].Before(oldest) {
			oldest = e.kindHeard[k]
		}
	}
	if !oldest.IsZero() {
		e.fresh.Hear(oldest)
	}
}

func (e *Endpoint) missed(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failing = true
	e.fresh.Miss(e.Self.Domain, e.Clock.Now())
}

// maxPause keeps the watchers' evidence of an outage fresh and spares the
// platform the calls of all the others.
func (e *Endpoint) maxPause() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if watches(e.view) {
		return e.Timing.MaxPause
	}
	return e.Timing.MaxIdlePause
}

// awaitWatching reports whether this instance is to watch now. If not, it waits
// until that may have changed.
func (e *Endpoint) awaitWatching(ctx context.Context) bool {
	e.mu.Lock()
	watching, wake := e.AlwaysWatch || watches(e.view) || e.stale(), e.wake
	e.mu.Unlock()
	if watching {
		return true
	}
	timer := e.Clock.NewTimer(e.Timing.Round)
	defer timer.Stop()
	select {
	case <-wake:
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
