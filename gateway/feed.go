package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/platform"
	"github.com/pomelocross/pomelocross/roster"
)

const (
	// Of the upstreams' registrations, which change all the time, the source of a
	// domain asks this often; the store's silence shows by it too.
	sourceServersWait  = 500 * time.Millisecond
	sourceServersPause = 600 * time.Millisecond
	sourceConfigWait   = time.Second
	// sourceStale is the age of the store's last word on a kind from which a source
	// answers nothing: its readers then ask the store themselves, within the time in
	// which a configuration must be in force.
	sourceStale = 1400 * time.Millisecond
	// sourceShunned is how long a source that failed is not asked.
	sourceShunned = 3 * time.Second
)

// feed is how an instance follows what all instances follow: through one source
// in each failure domain, so that the calls on the store do not grow with the
// instances, or at the store when no source answers. It implements objects.Store
// for lists and watches.
type feed struct {
	objects.Store // the store itself
	gateway       *Gateway
	cache         *objects.Cache

	mu      sync.Mutex           // guards all below
	serving bool                 // the cache follows
	used    time.Time            // when a reader came last
	shunned map[string]time.Time // by address of a source
}

func newFeed(g *Gateway) *feed {
	return &feed{Store: g.store, gateway: g, cache: objects.NewCache(g.store, g.clock.Now), shunned: map[string]time.Time{}}
}

// source returns the address of the domain's source; empty for this instance.
func (f *feed) source() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.gateway.clock.Now()
	for _, peer := range f.gateway.crew.domain() {
		if peer == f.gateway.settings.PeerListen {
			return ""
		}
		if now.Sub(f.shunned[peer]) > sourceShunned {
			return peer
		}
	}
	return ""
}

func (f *feed) shun(peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shunned[peer] = f.gateway.clock.Now()
}

// sourceIdle is how long a cache without readers is kept up; another instance is
// the domain's source then.
const sourceIdle = 5 * time.Second

// serve has the cache follow the kinds of the feed while it has readers.
func (f *feed) serve() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.used = f.gateway.clock.Now()
	if f.serving {
		return
	}
	f.serving = true
	ctx, cancel := context.WithCancel(f.gateway.background)
	for _, k := range []objects.CacheKind{
		{Kind: platform.KindServers, Wait: sourceServersWait, Pause: sourceServersPause, Stale: sourceStale, Same: sameServer},
		{Kind: platform.KindConfig, Wait: sourceConfigWait, Stale: sourceStale},
	} {
		d := &dependency{gateway: f.gateway, what: k.Kind}
		go f.cache.Follow(ctx, k, d.state)
	}
	go f.endIdle(ctx, cancel)
}

// endIdle ends the following when no reader has come for a while.
func (f *feed) endIdle(ctx context.Context, cancel context.CancelFunc) {
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.gateway.clock.After(sourceIdle / 2):
		}
		f.mu.Lock()
		idle := f.gateway.clock.Now().Sub(f.used) > sourceIdle
		f.serving = !idle
		f.mu.Unlock()
		if idle {
			return
		}
	}
}

// sameServer reports whether a registration was only renewed.
func sameServer(before, after objects.Object) bool {
	a, errA := platform.DecodeServer(before)
	b, errB := platform.DecodeServer(after)
	return errA == nil && errB == nil && roster.Same(a, b)
}

// FeedArgs asks a source.
type FeedArgs struct {
	Kind  string
	After objects.Version // 0 lists
	Wait  time.Duration
}

// FeedReply is a source's answer.
type FeedReply struct {
	List objects.List
	Code objects.RelayCode
}

// feedCalls serves readers of the own domain.
type feedCalls struct{ gateway *Gateway }

// Read answers from the cache.
func (c *feedCalls) Read(args FeedArgs, reply *FeedReply) error {
	f := c.gateway.feed
	f.serve()
	ctx, cancel := context.WithTimeout(context.Background(), args.Wait+time.Second)
	defer cancel()
	list, err := f.local(ctx, args)
	reply.List = list
	switch {
	case errors.Is(err, objects.ErrGap):
		reply.Code = objects.RelayGap
	case err != nil:
		reply.Code = objects.RelayRefused
	}
	return nil
}

func (f *feed) local(ctx context.Context, args FeedArgs) (objects.List, error) {
	if args.After == 0 {
		return f.cache.List(args.Kind)
	}
	return f.cache.Watch(ctx, args.Kind, args.After, args.Wait)
}

// read asks the source of the domain; ok is false when it does not answer.
func (f *feed) read(ctx context.Context, args FeedArgs) (list objects.List, err error, ok bool) {
	peer := f.source()
	if peer == "" && !f.gateway.crew.known() {
		return list, nil, false // who else is here is not known yet
	}
	if peer == "" {
		f.serve()
		list, err = f.local(ctx, args)
		return list, err, !errors.Is(err, objects.ErrRefused)
	}
	ctx, cancel := context.WithTimeout(ctx, args.Wait+askTimeout)
	defer cancel()
	var reply FeedReply
	if err := f.gateway.dialer.Call(ctx, peer, "Feed.Read", args, &reply); err != nil || reply.Code == objects.RelayRefused {
		f.shun(peer)
		return list, err, false
	}
	if reply.Code == objects.RelayGap {
		return list, objects.ErrGap, true
	}
	return reply.List, nil, true
}

// askTimeout bounds a question to the source beyond the wait of a watch.
const askTimeout = 400 * time.Millisecond

// List implements objects.Store.
func (f *feed) List(ctx context.Context, kind string) (objects.List, error) {
	if list, err, ok := f.read(ctx, FeedArgs{Kind: kind}); ok {
		return list, err
	}
	return f.Store.List(ctx, kind)
}

// Watch implements objects.Store. While the source does not answer, the store is
// watched for a short time only, so that the source is soon asked again.
func (f *feed) Watch(ctx context.Context, kind string, after objects.Version, wait time.Duration) (objects.List, error) {
	if list, err, ok := f.read(ctx, FeedArgs{Kind: kind, After: after, Wait: wait}); ok {
		return list, err
	}
	return f.Store.Watch(ctx, kind, after, min(wait, sourceShunned))
}
