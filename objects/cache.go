package objects

import (
	"context"
	"sync"
	"time"

	"github.com/samber/oops"
)

// maxCachedChanges is the number of changes that a Cache keeps per kind.
const maxCachedChanges = 1024

// Cache follows kinds of a store for several readers and watches each kind only once.
// Its versions are those of the store, so a reader can switch to the store at any time.
// Readers see changes in the order of the store and never see an older state than
// before.
type Cache struct {
	store Store
	now   func() time.Time

	mu    sync.Mutex // guards kinds and their contents
	kinds map[string]*cachedKind
}

// cachedKind is the cached state of one kind.
type cachedKind struct {
	objects     map[string]Object
	contents    map[string]any // by name; empty without CacheKind.Content
	changes     []Object
	changesFrom Version // changes holds all changes after this version
	version     Version
	listed      bool
	asOf        time.Time     // the state was that of the store then
	maxAge      time.Duration // age from which reads are refused
	updated     chan struct{} // closed and replaced after each list or watch
}

// NewCache returns a Cache that follows no kinds.
func NewCache(store Store, now func() time.Time) *Cache {
	return &Cache{store: store, now: now, kinds: map[string]*cachedKind{}}
}

// CacheKind configures how a Cache follows one kind.
type CacheKind struct {
	Kind  string
	Wait  time.Duration // how long one watch waits for a change
	Pause time.Duration // between two watches
	// MaxAge is the age of the state from which reads of the kind return ErrRefused. It
	// must be longer than Wait and Pause together.
	MaxAge time.Duration
	// Content returns what readers need of an object, or nil if that cannot be decoded,
	// and Same whether two contents are equal. Watch does not return changes that leave the content of an object the same.
	// Without Content, every change is relevant.
	Content func(Object) any
	Same    func(before, after any) bool
}

// Follow follows a kind until ctx ends. It calls onCall with the result of each call to
// the store, like FollowOptions.OnCall.
func (c *Cache) Follow(ctx context.Context, k CacheKind, onCall func(time.Time, error)) {
	kind := &cachedKind{objects: map[string]Object{}, contents: map[string]any{}, updated: make(chan struct{}), maxAge: k.MaxAge}
	c.mu.Lock()
	c.kinds[k.Kind] = kind
	c.mu.Unlock()
	defer c.remove(k.Kind, kind)
	FollowWith(ctx, c.store, k.Kind, FollowOptions{
		Wait: k.Wait, MaxPause: maxCacheRetryDelay, Pause: func() time.Duration { return k.Pause },
		OnCall: onCall, Now: c.now,
		OnCurrent:  func(asOf time.Time) { c.setCurrent(kind, asOf) },
		OnProgress: func(v Version) { c.advance(kind, v) },
	}, func(o Object) { c.apply(kind, &k, o) })
}

// remove drops the state of a Follow unless another Follow of the kind has replaced it.
func (c *Cache) remove(name string, kind *cachedKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kinds[name] == kind {
		delete(c.kinds, name)
	}
}

// maxCacheRetryDelay is the maximum delay after failed calls.
const maxCacheRetryDelay = 500 * time.Millisecond

// setCurrent records the time as of which the state of a kind is that of the store.
func (c *Cache) setCurrent(kind *cachedKind, asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kind.asOf = asOf
}

func (c *Cache) apply(kind *cachedKind, k *CacheKind, o Object) {
	var content any
	if k.Content != nil && !o.Deleted {
		content = k.Content(o)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before, known := kind.contents[o.Name]
	if o.Deleted {
		delete(kind.objects, o.Name)
	} else {
		kind.objects[o.Name] = o
	}
	if content == nil {
		delete(kind.contents, o.Name) // the next content is a change, whatever the last one was
	} else {
		kind.contents[o.Name] = content
		if known && k.Same(before, content) {
			return
		}
	}
	kind.changes = append(kind.changes, o)
	if excess := len(kind.changes) - maxCachedChanges; excess > 0 {
		kind.changesFrom = kind.changes[excess-1].Version
		kind.changes = append([]Object(nil), kind.changes[excess:]...)
	}
}

// advance records that all changes up to version v were applied, and wakes readers.
func (c *Cache) advance(kind *cachedKind, v Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !kind.listed {
		kind.listed, kind.changesFrom, kind.changes = true, v, nil
	}
	kind.version = max(kind.version, v)
	close(kind.updated)
	kind.updated = make(chan struct{})
}

// isFresh reports whether the kind was listed and its state is recent enough.
func (c *Cache) isFresh(kind *cachedKind) bool { return c.freshFor(kind) > 0 }

// freshFor returns how long the state of a kind stays recent enough without a response of
// the store; 0 or less if it is not.
func (c *Cache) freshFor(kind *cachedKind) time.Duration {
	if kind == nil || !kind.listed {
		return 0
	}
	return kind.asOf.Add(kind.maxAge).Sub(c.now())
}

// List returns all objects of a kind, or ErrRefused if the cached state is missing or
// too old.
func (c *Cache) List(name string) (List, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kind := c.kinds[name]
	if !c.isFresh(kind) {
		return List{}, oops.In("objects").With("step", "cached list", "kind", name).Wrap(ErrRefused)
	}
	l := List{Version: kind.version, AsOf: kind.asOf}
	for _, o := range kind.objects {
		l.Objects = append(l.Objects, o)
	}
	return l, nil
}

// Get returns an object as of the store's last response for its kind. ErrNotFound does
// not exclude that the object was created since. It returns ErrRefused if the cached
// state is missing or too old.
func (c *Cache) Get(kind, name string) (Object, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := c.kinds[kind]
	if !c.isFresh(cached) {
		return Object{}, oops.In("objects").With("step", "cached get", "kind", kind).Wrap(ErrRefused)
	}
	o, ok := cached.objects[name]
	if !ok {
		return Object{}, oops.In("objects").With("step", "cached get", "kind", kind, "name", name).Wrap(ErrNotFound)
	}
	return o, nil
}

// WaitListed waits until a kind has been listed for the first time or ctx ends.
func (c *Cache) WaitListed(ctx context.Context, name string) {
	for {
		c.mu.Lock()
		kind := c.kinds[name]
		listed := kind != nil && kind.listed
		c.mu.Unlock()
		if listed {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(listedPollInterval):
		}
	}
}

// listedPollInterval is the polling interval of WaitListed; a list takes a few
// milliseconds.
const listedPollInterval = 20 * time.Millisecond

// stalePollInterval is how often a waiting Watch checks the age of the state at least. The
// clock of the cache may be ahead of the timer after a suspension.
const stalePollInterval = 200 * time.Millisecond

// Watch waits for changes of a kind after a version, like Store.Watch. It returns
// ErrRefused when the store has not responded for MaxAge.
func (c *Cache) Watch(ctx context.Context, name string, after Version, wait time.Duration) (List, error) {
	deadline := c.now().Add(wait)
	for {
		l, changed, fresh, err := c.changesSince(name, after)
		if err != nil || len(l.Objects) > 0 || !c.now().Before(deadline) {
			return l, err
		}
		select {
		case <-changed:
		case <-time.After(min(stalePollInterval, fresh)):
		case <-ctx.Done():
			return List{Version: after}, ctx.Err()
		}
	}
}

// changesSince returns the changes after a version, a channel that is closed when there may
// be more, and how long the state stays fresh without them.
func (c *Cache) changesSince(name string, after Version) (List, chan struct{}, time.Duration, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kind := c.kinds[name]
	if !c.isFresh(kind) {
		return List{}, nil, 0, oops.In("objects").With("step", "cached watch", "kind", name).Wrap(ErrRefused)
	}
	if after < kind.changesFrom {
		return List{}, nil, 0, oops.In("objects").With("step", "cached watch", "kind", name).Wrap(ErrGap)
	}
	l := List{Version: max(after, kind.version), AsOf: kind.asOf}
	for _, o := range kind.changes {
		if o.Version > after {
			l.Objects = append(l.Objects, o)
		}
	}
	return l, kind.updated, c.freshFor(kind), nil
}
