package objects

import (
	"context"
	"sync"
	"time"

	"github.com/samber/oops"
)

// keptEvents bounds the changes of a kind that a Cache remembers.
const keptEvents = 1024

// Cache follows kinds of a store for several readers, so that the store is watched
// once for all of them. Its versions are the store's, so a reader may go on at the
// store itself. Readers see changes in the store's order, never older than what
// they have seen.
type Cache struct {
	store Store
	now   func() time.Time

	mu    sync.Mutex // guards all below
	kinds map[string]*cached
}

// cached is one kind.
type cached struct {
	objects map[string]Object
	events  []Object
	from    Version // changes after this version are in events
	asOf    Version
	listed  bool
	heard   time.Time     // when the store last answered
	stale   time.Duration // age of that from which nothing is answered
	changed chan struct{} // closed and replaced when events come
}

// NewCache returns a Cache that follows nothing yet.
func NewCache(store Store, now func() time.Time) *Cache {
	return &Cache{store: store, now: now, kinds: map[string]*cached{}}
}

// CacheKind says how a kind is followed.
type CacheKind struct {
	Kind  string
	Wait  time.Duration // of one watch
	Pause time.Duration // between two
	// Stale is the age of the store's last word on the kind from which readers get
	// no answer; above Wait and Pause together.
	MaxAge time.Duration
	// Same reports whether a change says nothing new; such changes are not handed on.
	Unchanged func(before, after Object) bool
}

// Follow follows a kind until ctx ends; state is told of each call.
func (c *Cache) Follow(ctx context.Context, k CacheKind, state func(error)) {
	kind := &cached{objects: map[string]Object{}, changed: make(chan struct{}), stale: k.MaxAge}
	c.mu.Lock()
	c.kinds[k.Kind] = kind
	c.mu.Unlock()
	defer c.forget(k.Kind, kind)
	FollowWith(ctx, c.store, k.Kind, FollowOptions{
		Wait: k.Wait, MaxPause: cachePause, Pause: func() time.Duration { return k.Pause },
		OnCall: func(err error) {
			if IsDefinitive(err) {
				c.hear(kind)
			}
			state(err)
		},
		OnProgress: func(v Version) { c.progress(kind, v) },
	}, func(o Object) { c.take(kind, k.Unchanged, o) })
}

// forget drops what a Follow knew, unless another one has followed the kind since.
func (c *Cache) forget(name string, kind *cached) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kinds[name] == kind {
		delete(c.kinds, name)
	}
}

// cachePause bounds the pause after failures.
const cachePause = 500 * time.Millisecond

func (c *Cache) hear(kind *cached) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kind.heard = c.now()
}

func (c *Cache) take(kind *cached, same func(before, after Object) bool, o Object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, known := kind.objects[o.Name]
	if o.Deleted {
		delete(kind.objects, o.Name)
	} else {
		kind.objects[o.Name] = o
	}
	if known && !o.Deleted && same != nil && same(before, o) {
		return
	}
	kind.events = append(kind.events, o)
	if drop := len(kind.events) - keptEvents; drop > 0 {
		kind.from = kind.events[drop-1].Version
		kind.events = append([]Object(nil), kind.events[drop:]...)
	}
}

// progress notes that all changes up to a version were taken.
func (c *Cache) progress(kind *cached, v Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !kind.listed {
		kind.listed, kind.from, kind.events = true, v, nil
	}
	kind.asOf, kind.heard = max(kind.asOf, v), c.now() // readers may come before hear
	close(kind.changed)
	kind.changed = make(chan struct{})
}

// fresh reports whether the store has answered on a kind lately.
func (c *Cache) fresh(kind *cached) bool {
	return kind != nil && kind.listed && c.now().Sub(kind.heard) < kind.stale
}

// List returns what exists of a kind, or ErrRefused while that is not known.
func (c *Cache) List(name string) (List, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kind := c.kinds[name]
	if !c.fresh(kind) {
		return List{}, oops.In("objects").With("step", "cached list", "kind", name).Wrap(ErrRefused)
	}
	l := List{Version: kind.asOf}
	for _, o := range kind.objects {
		l.Objects = append(l.Objects, o)
	}
	return l, nil
}

// Get returns an object as of the store's last word on its kind. It returns
// ErrNotFound for one that may exist by now, ErrRefused while nothing is known.
func (c *Cache) Get(kind, name string) (Object, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.kinds[kind]
	if !c.fresh(known) {
		return Object{}, oops.In("objects").With("step", "cached get", "kind", kind).Wrap(ErrRefused)
	}
	o, ok := known.objects[name]
	if !ok {
		return Object{}, oops.In("objects").With("step", "cached get", "kind", kind, "name", name).Wrap(ErrNotFound)
	}
	return o, nil
}

// Listed waits until a kind was listed for the first time, or ctx ends.
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
		case <-time.After(listedCheck):
		}
	}
}

// listedCheck is how often that is looked for; a list takes some milliseconds.
const listedCheck = 20 * time.Millisecond

// staleCheck is how often a waiting reader looks whether the store still answers.
const staleCheck = 200 * time.Millisecond

// Watch waits for changes of a kind after a version, as Store.Watch does. It
// returns ErrRefused when the store has not answered for a while.
func (c *Cache) Watch(ctx context.Context, name string, after Version, wait time.Duration) (List, error) {
	deadline := c.now().Add(wait)
	for {
		l, changed, err := c.since(name, after)
		if err != nil || len(l.Objects) > 0 || !c.now().Before(deadline) {
			return l, err
		}
		select {
		case <-changed:
		case <-time.After(staleCheck):
		case <-ctx.Done():
			return List{Version: after}, ctx.Err()
		}
	}
}

func (c *Cache) since(name string, after Version) (List, chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kind := c.kinds[name]
	if !c.fresh(kind) {
		return List{}, nil, oops.In("objects").With("step", "cached watch", "kind", name).Wrap(ErrRefused)
	}
	if after < kind.from {
		return List{}, nil, oops.In("objects").With("step", "cached watch", "kind", name).Wrap(ErrGap)
	}
	l := List{Version: max(after, kind.asOf)}
	for _, o := range kind.events {
		if o.Version > after {
			l.Objects = append(l.Objects, o)
		}
	}
	return l, kind.changed, nil
}
