package notice

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/objects"
)

// Caller calls an RPC method of a peer. link.Dialer implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Sink receives the items and membership views of an endpoint.
type Sink interface {
	// Check returns an error if the value of an item is invalid.
	Check(Item) error
	// Deliver receives an item that has passed Check and is newer than every item
	// of the same kind and name before it.
	Deliver(Item)
	// Membership receives a view that differs from the previous one.
	Membership(*domain.View)
}

// Timing holds the intervals and timeouts of an endpoint.
type Timing struct {
	Round        time.Duration // mean interval between rounds of exchanges with peers
	CallTimeout  time.Duration // timeout of one call to a peer
	WatchTimeout time.Duration // how long one watch call waits for a change
	StaleAfter   time.Duration // time since the last sync with the platform after which an instance is stale
	MinBackoff   time.Duration // delay after the first failed call to the platform
	MaxBackoff   time.Duration // longest delay between attempts of a watcher
	// MaxIdleBackoff is the longest delay between attempts of an instance that is
	// not a watcher and watches only because its data is stale.
	MaxIdleBackoff time.Duration
}

// DefaultTiming returns the production timing. With it the time since the last
// sync stays below StaleAfter as long as the platform responds.
func DefaultTiming() Timing {
	return Timing{
		Round: time.Second, CallTimeout: time.Second, WatchTimeout: 2 * time.Second,
		StaleAfter: 5 * time.Second, MinBackoff: 200 * time.Millisecond, MaxBackoff: 2 * time.Second, MaxIdleBackoff: 10 * time.Second,
	}
}

// Options configures an endpoint.
type Options struct {
	Self   objects.Member
	Caller Caller
	Store  objects.Store
	// Kinds are the kinds of objects to watch. Decode converts such an object to
	// an item and reports whether it could.
	Kinds  []string
	Decode func(objects.Object) (Item, bool)
	Sink   Sink
	Clock  clockwork.Clock
	Timing Timing
	Limits domain.Limits
	// Seeds are peer addresses (IP:port) to contact until an instance list is known.
	Seeds []string
	// AlwaysWatch makes the instance watch the platform regardless of its rank and
	// disables pushes: items are exchanged only in rounds.
	AlwaysWatch bool
}

// Endpoint watches the platform and exchanges items, sync times and liveness with
// the endpoints of other instances. It is safe for concurrent use.
type Endpoint struct {
	Options
	runCtx context.Context // context of Run; also used by pushes that incoming calls start

	mu              sync.Mutex // guards the fields below; never held during a call
	items           *ItemSet
	freshness       Freshness
	tracker         *domain.Tracker
	view            *domain.View
	haveMembers     bool // an instance list has been received
	lastNonce       uint64
	issuedNonces    map[string]issuedNonce // newest nonce issued, by peer name
	receivedNonces  map[string]uint64      // newest nonce received, by peer name
	pushes          map[string]*pushState  // running pushes, by peer name
	platformFailing bool                   // whether the last call to the platform failed
	kindSyncedAt    map[string]time.Time   // start of the last successful call, by kind
	viewChanged     chan struct{}          // closed and replaced when the view changes, which may change the watcher role
}

// NewEndpoint returns an endpoint without items or peers.
func NewEndpoint(o Options) *Endpoint {
	now := o.Clock.Now()
	tracker := domain.NewTracker(o.Self, o.Limits)
	return &Endpoint{
		Options: o, runCtx: context.Background(), items: NewItemSet(), tracker: tracker, view: tracker.View(now),
		issuedNonces: map[string]issuedNonce{}, receivedNonces: map[string]uint64{}, pushes: map[string]*pushState{},
		kindSyncedAt: map[string]time.Time{}, viewChanged: make(chan struct{}),
	}
}

// Run watches the platform and exchanges messages with peers until ctx is done.
func (e *Endpoint) Run(ctx context.Context) {
	e.mu.Lock()
	e.runCtx = ctx
	e.mu.Unlock()
	var loops sync.WaitGroup
	for _, kind := range e.Kinds {
		loops.Go(func() { e.watchKind(ctx, kind) })
	}
	loops.Go(func() { e.runRounds(ctx) })
	loops.Wait()
}

// Exchange applies the message of a peer and fills in the reply. It serves the
// RPC method Method.
func (e *Endpoint) Exchange(m Message, reply *Message) error {
	e.addItems(m.Items, m.From.Domain != e.Self.Domain)
	now := e.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyMessage(m, e.echoIssuedAt(m), now)
	*reply = e.newMessage(m.From.Name, now)
	reply.Items = e.items.NewerThan(m.Known)
	if m.WantMembers && e.haveMembers {
		reply.Members = e.view.Members()
	}
	return nil
}

// exchange synchronizes items, sync times and liveness with a peer in one or two
// calls. A nil error means that the peer has acknowledged all items.
func (e *Endpoint) exchange(ctx context.Context, peer objects.Member) error {
	reply, err := e.call(ctx, peer, nil)
	if err != nil {
		return err
	}
	missing, peerStale := e.compare(reply)
	if len(missing) == 0 && !peerStale {
		return nil
	}
	_, err = e.call(ctx, peer, missing)
	return err
}

// compare returns the items that the sender of reply lacks, and whether its last
// sync with the platform is older than this instance's by more than half of
// StaleAfter. A stale peer needs a second call, since it may be unable to call
// others: it uses the sync time of an incoming message only if that echoes the
// newest nonce that the peer issued, which was in its reply to the first call.
func (e *Endpoint) compare(reply Message) (missing []Item, peerStale bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	age := e.freshness.SyncAge(e.Clock.Now())
	peerStale = age >= 0 && (reply.Heard < 0 || reply.Heard > age+e.Timing.StaleAfter/2)
	return e.items.NewerThan(reply.Known), peerStale
}

func (e *Endpoint) call(ctx context.Context, peer objects.Member, items []Item) (Message, error) {
	ctx, cancel := context.WithTimeout(ctx, e.Timing.CallTimeout)
	defer cancel()
	sent := e.Clock.Now()
	e.mu.Lock()
	m := e.newMessage(peer.Name, sent)
	e.mu.Unlock()
	m.Items = items
	var reply Message
	if err := e.Caller.Call(ctx, peer.Peer, Method, m, &reply); err != nil {
		e.mu.Lock()
		e.tracker.RecordFailure(peer.Name)
		e.mu.Unlock()
		return reply, err
	}
	e.addItems(reply.Items, reply.From.Domain != e.Self.Domain)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyMessage(reply, sent, e.Clock.Now())
	return reply, nil
}

// addItems stores and delivers the items that are newer and valid, and pushes
// them to peers. external says that they came from outside the domain.
func (e *Endpoint) addItems(items []Item, external bool) {
	added := false
	for _, item := range items {
		if !e.isNewer(item) || e.Sink.Check(item) != nil {
			continue
		}
		if e.putItem(item) {
			added = true
			e.Sink.Deliver(item)
		}
	}
	if added {
		e.pushToTargets(external)
	}
}

func (e *Endpoint) isNewer(item Item) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.items.Newer(item)
}

func (e *Endpoint) putItem(item Item) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.items.Put(item)
}

// Restore adds items that this instance saved before a restart. They are checked
// like any others and don't count as a sync with the platform.
func (e *Endpoint) Restore(items []Item) { e.addItems(items, false) }

// Members updates the instance list.
func (e *Endpoint) Members(members []objects.Member) {
	e.mu.Lock()
	e.haveMembers = true
	e.tracker.UpdateList(members, e.Clock.Now())
	e.mu.Unlock()
	e.refreshView()
}

// Leave marks this instance as leaving in all further messages and starts pushes to
// peers.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	e.tracker.Leave()
	e.mu.Unlock()
	e.refreshView()
	e.pushToTargets(true)
}

// refreshView builds and publishes a new view if the membership has changed.
func (e *Endpoint) refreshView() {
	now := e.Clock.Now()
	e.mu.Lock()
	if !e.tracker.Refresh(now) {
		e.mu.Unlock()
		return
	}
	view := e.tracker.View(now)
	e.view = view
	e.pruneNonces()
	close(e.viewChanged)
	e.viewChanged = make(chan struct{})
	e.mu.Unlock()
	e.Sink.Membership(view)
}

// pruneNonces deletes the nonces of peers that are no longer in the view. The
// caller holds mu.
func (e *Endpoint) pruneNonces() {
	for name := range e.issuedNonces {
		if _, ok := e.view.Entry(name); !ok {
			delete(e.issuedNonces, name)
			delete(e.receivedNonces, name)
		}
	}
}

// Items returns all items, sorted by kind and name.
func (e *Endpoint) Items() []Item {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.items.Items()
}

// CompleteUntil returns the latest time up to which this instance has every item
// that the platform has accepted, for a deployment with the declared failure
// domains. It is zero if there is no such time.
func (e *Endpoint) CompleteUntil(declared []string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.freshness.CompleteUntil(declared)
}

// Watching reports whether the instance is a watcher of the platform, by its rank
// in the domain or by AlwaysWatch.
func (e *Endpoint) Watching() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.AlwaysWatch || isWatcher(e.view)
}

// SyncAge returns the time since the items were last known to be in sync with the
// platform, or -1 if they never were.
func (e *Endpoint) SyncAge() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.freshness.SyncAge(e.Clock.Now())
}
