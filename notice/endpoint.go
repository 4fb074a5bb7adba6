package notice

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/objects"
)

// Caller calls a method of a peer, as link.Dialer does.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Sink is where an endpoint's knowledge goes.
type Sink interface {
	// Check refuses an item that is damaged.
	Check(Item) error
	// News takes an item that is newer than all before it.
	Deliver(Item)
	// Membership takes a view that differs from the last.
	Membership(*domain.View)
}

// Timing paces an endpoint.
type Timing struct {
	Round       time.Duration // between exchanges with peers
	CallTimeout time.Duration // of one exchange
	Wait        time.Duration // of one watch
	Stale       time.Duration // age of the platform's word at which to search for it
	MinPause    time.Duration // first pause after a failed watch
	MaxPause    time.Duration // longest pause of an instance that is to watch
	// MaxIdlePause is the longest pause of an instance that only watches because
	// it does not hear the platform otherwise.
	MaxIdlePause time.Duration
}

// DefaultTiming keeps the age of the platform's word under Stale while the
// platform answers.
func DefaultTiming() Timing {
	return Timing{
		Round: time.Second, CallTimeout: time.Second, Wait: 2 * time.Second,
		Stale: 5 * time.Second, MinPause: 200 * time.Millisecond, MaxPause: 2 * time.Second, MaxIdlePause: 10 * time.Second,
	}
}

// Options configures an endpoint.
type Options struct {
	Self   objects.Member
	Caller Caller
	Store  objects.Store
	// Kinds are the kinds to watch; Decode turns their objects into items.
	Kinds  []string
	Decode func(objects.Object) (Item, bool)
	Sink   Sink
	Clock  clockwork.Clock
	Timing Timing
	Limits domain.Limits
	// Seeds are peer addresses to ask while no instance list is known.
	Seeds []string
	// AlwaysWatch makes the instance watch whatever its place, and tell no one but
	// in rounds.
	AlwaysWatch bool
}

// Endpoint is one instance's part in spreading news.
type Endpoint struct {
	Options
	run context.Context // ends with Run; pushes begun by answers use it

	mu        sync.Mutex // guards all below; never held during a call
	book      *Book
	fresh     Freshness
	tracker   *domain.Tracker
	view      *domain.View
	listed    bool // an instance list has been read
	lastNonce uint64
	given     map[string]issued   // by peer name
	received  map[string]uint64   // newest nonce of each peer
	pushing   map[string]*pushing // pushes under way, by peer name
	failing   bool                // the last call to the platform failed
	kindHeard map[string]time.Time
	wake      chan struct{} // closed and replaced when the watching role may change
}

// NewEndpoint returns an endpoint that knows nothing yet.
func NewEndpoint(o Options) *Endpoint {
	now := o.Clock.Now()
	tracker := domain.NewTracker(o.Self, o.Limits)
	return &Endpoint{
		Options: o, run: context.Background(), book: NewBook(), tracker: tracker, view: tracker.View(now),
		given: map[string]issued{}, received: map[string]uint64{}, pushing: map[string]*pushing{},
		kindHeard: map[string]time.Time{}, wake: make(chan struct{}),
	}
}

// Run watches and exchanges until ctx ends.
func (e *Endpoint) Run(ctx context.Context) {
	e.mu.Lock()
	e.run = ctx
	e.mu.Unlock()
	var loops sync.WaitGroup
	for _, kind := range e.Kinds {
		loops.Go(func() { e.follow(ctx, kind) })
	}
	loops.Go(func() { e.exchangeRounds(ctx) })
	loops.Wait()
}

// Exchange answers a peer's message. It is called by the link's server.
func (e *Endpoint) Exchange(m Message, reply *Message) error {
	e.take(m.Items, m.From.Domain != e.Self.Domain)
	now := e.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.absorb(m, e.echoed(m), now)
	*reply = e.newMessage(m.From.Name, now)
	reply.Items = e.book.Beyond(m.Known)
	if m.WantMembers && e.listed {
		reply.Members = e.view.Members()
	}
	return nil
}

// exchange tells a peer what is known here, and hears what is known there. When
// it returns nil both know the same, which is the acknowledgement of all news.
func (e *Endpoint) exchange(ctx context.Context, peer objects.Member) error {
	reply, err := e.ask(ctx, peer, nil)
	if err != nil {
		return err
	}
	lacking, older := e.compare(reply)
	if len(lacking) == 0 && !older {
		return nil
	}
	_, err = e.ask(ctx, peer, lacking)
	return err
}

// compare returns what the sender of a reply lacks, and whether its word of the
// platform is much older than this instance's. A peer that cannot call others
// only believes a message that echoes a nonce it has just given.
func (e *Endpoint) compare(reply Message) (lacking []Item, older bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	age := e.fresh.HeardAge(e.Clock.Now())
	older = age >= 0 && (reply.Heard < 0 || reply.Heard > age+e.Timing.Stale/2)
	return e.book.Beyond(reply.Known), older
}

func (e *Endpoint) ask(ctx context.Context, peer objects.Member, items []Item) (Message, error) {
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
	e.take(reply.Items, reply.From.Domain != e.Self.Domain)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.absorb(reply, sent, e.Clock.Now())
	return reply, nil
}

// take keeps items that are newer and whole, and passes them on.
func (e *Endpoint) take(items []Item, outside bool) {
	fresh := false
	for _, item := range items {
		if !e.wants(item) || e.Sink.Check(item) != nil {
			continue
		}
		if e.keep(item) {
			fresh = true
			e.Sink.Deliver(item)
		}
	}
	if fresh {
		e.spread(outside)
	}
}

func (e *Endpoint) wants(item Item) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.book.Newer(item)
}

func (e *Endpoint) keep(item Item) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.book.Take(item)
}

// Restore takes items of an earlier run. They are checked like any others and
// say nothing of how fresh they are.
func (e *Endpoint) Restore(items []Item) { e.take(items, false) }

// Members takes a reading of the instance list.
func (e *Endpoint) Members(members []objects.Member) {
	e.mu.Lock()
	e.listed = true
	e.tracker.UpdateList(members, e.Clock.Now())
	e.mu.Unlock()
	e.refresh()
}

// Leave tells peers from now on that the instance is leaving.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	e.tracker.Leave()
	e.mu.Unlock()
	e.refresh()
	e.spread(true)
}

// refresh publishes a new view when membership changed.
func (e *Endpoint) refresh() {
	now := e.Clock.Now()
	e.mu.Lock()
	if !e.tracker.Refresh(now) {
		e.mu.Unlock()
		return
	}
	view := e.tracker.View(now)
	e.view = view
	e.forget()
	close(e.wake)
	e.wake = make(chan struct{})
	e.mu.Unlock()
	e.Sink.Membership(view)
}

// forget drops what is kept for peers that are no longer known. The caller holds mu.
func (e *Endpoint) forget() {
	for name := range e.given {
		if _, ok := e.view.Entry(name); !ok {
			delete(e.given, name)
			delete(e.received, name)
		}
	}
}

// Items returns all that is known.
func (e *Endpoint) Items() []Item {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.book.Items()
}

// Trusted returns up to when nothing unknown can have been accepted, for a
// deployment with the declared domains.
func (e *Endpoint) CompleteUntil(declared []string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fresh.Trusted(declared)
}

// Watching reports whether the instance is to watch the platform by its place.
func (e *Endpoint) Watching() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.AlwaysWatch || watches(e.view)
}

// HeardAge returns the age of the platform's word, or -1 when it was never heard.
func (e *Endpoint) SyncAge() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fresh.HeardAge(e.Clock.Now())
}
