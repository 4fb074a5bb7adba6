package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/pomelocross/pomelocross/batch"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/platform"
	"github.com/pomelocross/pomelocross/roster"
)

// Of what the feed carries, a source watches the store this often.
const (
	// Registrations of upstreams change all the time; the store's silence shows by
	// these watches too.
	sourceServersWait  = 500 * time.Millisecond
	sourceServersPause = 600 * time.Millisecond
	sourceConfigWait   = time.Second
	// A batch's end must reach its engines within seconds.
	sourceHeadsWait  = 800 * time.Millisecond
	sourceHeadsPause = 600 * time.Millisecond
	// Instances come and go seldom; a stale list costs a timeout at most.
	sourceCrewWait  = 3 * time.Second
	sourceCrewPause = time.Second
	// sourceStale is the age of the store's last word on a kind from which a source
	// answers nothing: its readers then ask the store themselves, within the time in
	// which a configuration must be in force.
	sourceStale = 1400 * time.Millisecond
	// sourceHeadsStale is that of batches: a source that has lost the store must not
	// keep a batch's end from its owner for the time in which runs must stop.
	sourceHeadsStale = sourceHeadsWait + sourceHeadsPause + 200*time.Millisecond
	// sourceCrewStale is that of the instances.
	sourceCrewStale = 2 * (sourceCrewWait + sourceCrewPause)
)

// fed is what the feed carries: all that all instances follow.
var fed = []objects.CacheKind{
	{Kind: platform.KindServers, Wait: sourceServersWait, Pause: sourceServersPause, MaxAge: sourceStale, Unchanged: sameServer},
	{Kind: platform.KindConfig, Wait: sourceConfigWait, MaxAge: sourceStale},
	{Kind: batch.KindHead, Wait: sourceHeadsWait, Pause: sourceHeadsPause, MaxAge: sourceHeadsStale},
	{Kind: kindInstances, Wait: sourceCrewWait, Pause: sourceCrewPause, MaxAge: sourceCrewStale},
}

func carried(kind string) bool {
	return slices.ContainsFunc(fed, func(k objects.CacheKind) bool { return k.Kind == kind })
}

const (
	// firstShunned is how long a source that failed is not asked; it doubles with
	// each failure in a row up to mostShunned.
	firstShunned = 3 * time.Second
	mostShunned  = 24 * time.Second
	// mostSources bounds the sources that one question is put to before the store.
	mostSources = 2
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
	shunned map[string]shunning  // by address of a source
	direct  map[string]time.Time // when a kind was last watched at the store
}

// shunning is how long a source is left alone.
type shunning struct {
	until    time.Time
	failures int // in a row
}

func newFeed(g *Gateway) *feed {
	return &feed{
		Store: g.store, gateway: g, cache: objects.NewCache(g.store, g.clock.Now),
		shunned: map[string]shunning{}, direct: map[string]time.Time{},
	}
}

// sources returns the addresses of the instances to ask, best first: those of the
// domain, or the first instances of the deployment while it is not known who else
// is here. The list ends with this instance's own, which stands for its own cache.
func (f *feed) sources() []string {
	candidates := f.gateway.live.Load().Peers
	if f.gateway.crew.known() {
		candidates = f.gateway.crew.domain()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.gateway.clock.Now()
	var list []string
	for _, peer := range candidates {
		if now.Before(f.shunned[peer].until) {
			continue
		}
		list = append(list, peer)
		if peer == f.gateway.settings.PeerListen || len(list) == mostSources {
			break
		}
	}
	return list
}

// answered notes whether a source answered.
func (f *feed) answered(peer string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ok {
		delete(f.shunned, peer)
		return
	}
	s := f.shunned[peer]
	s.until = f.gateway.clock.Now().Add(min(mostShunned, firstShunned<<s.failures))
	s.failures = min(s.failures+1, mostShunnings)
	f.shunned[peer] = s
}

// mostShunnings bounds the exponent of the time a source is shunned.
const mostShunnings = 3

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
	for _, k := range fed {
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

// FeedArgs asks a source: for one object, for a list, or for changes.
type FeedArgs struct {
	Kind  string
	Name  string          // of one object; empty for all
	After objects.Version // 0 lists
	Wait  time.Duration
}

// FeedReply is a source's answer.
type FeedReply struct {
	List objects.List // one object if a name was given
	Code objects.RelayCode
}

// feedCalls serves readers of the own domain.
type feedCalls struct{ gateway *Gateway }

// Read answers from the cache.
func (c *feedCalls) Read(args FeedArgs, reply *FeedReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Wait+time.Second)
	defer cancel()
	list, err := c.gateway.feed.local(ctx, args)
	reply.List, reply.Code = list, objects.RelayCodeOf(err)
	return nil
}

// local answers from the own cache, which it has follow.
func (f *feed) local(ctx context.Context, args FeedArgs) (objects.List, error) {
	f.serve()
	first, cancel := context.WithTimeout(ctx, askTimeout)
	f.cache.WaitListed(first, args.Kind)
	cancel()
	switch {
	case args.Name != "":
		o, err := f.cache.Get(args.Kind, args.Name)
		return objects.List{Objects: []objects.Object{o}}, err
	case args.After == 0:
		return f.cache.List(args.Kind)
	}
	return f.cache.Watch(ctx, args.Kind, args.After, args.Wait)
}

// askTimeout bounds a question to the source beyond the wait of a watch.
const askTimeout = 400 * time.Millisecond

// read asks the sources; ok is false when none answers.
func (f *feed) read(ctx context.Context, args FeedArgs) (list objects.List, err error, ok bool) {
	for _, peer := range f.sources() {
		if peer == f.gateway.settings.PeerListen {
			list, err = f.local(ctx, args)
			return list, err, !errors.Is(err, objects.ErrRefused)
		}
		reply, err := f.ask(ctx, peer, args)
		f.answered(peer, err == nil)
		if err == nil {
			return reply.List, reply.Code.Err(), true
		}
		if silent(err) {
			break // the time for a second one is better spent on the store
		}
	}
	return list, nil, false
}

// silent reports whether a source did not answer in time, as one that is cut off.
func silent(err error) bool { return errors.Is(err, context.DeadlineExceeded) }

// ask puts a question to a source. One that does not know is an error.
func (f *feed) ask(ctx context.Context, peer string, args FeedArgs) (FeedReply, error) {
	ctx, cancel := context.WithTimeout(ctx, args.Wait+askTimeout)
	defer cancel()
	var reply FeedReply
	err := f.gateway.dialer.Call(ctx, peer, "Feed.Read", args, &reply)
	if known := reply.Code.Err(); err == nil && !objects.IsDefinitive(known) {
		err = known
	}
	return reply, err
}

// List implements objects.Store.
func (f *feed) List(ctx context.Context, kind string) (objects.List, error) {
	if carried(kind) {
		if list, err, ok := f.read(ctx, FeedArgs{Kind: kind}); ok {
			return list, err
		}
	}
	return f.Store.List(ctx, kind)
}

// GetStale implements objects.StaleReader.
func (f *feed) GetStale(ctx context.Context, kind, name string) (objects.Object, error) {
	if carried(kind) {
		if list, err, ok := f.read(ctx, FeedArgs{Kind: kind, Name: name}); ok && (err != nil || len(list.Objects) == 1) {
			if err != nil {
				return objects.Object{}, err
			}
			return list.Objects[0], nil
		}
	}
	return f.gateway.store.GetStale(ctx, kind, name)
}

// Watch implements objects.Store. While no source answers, the store is watched
// for a short time only, so that the sources are soon asked again, and not more
// often than a source would.
func (f *feed) Watch(ctx context.Context, kind string, after objects.Version, wait time.Duration) (objects.List, error) {
	if !carried(kind) {
		return f.Store.Watch(ctx, kind, after, wait)
	}
	if list, err, ok := f.read(ctx, FeedArgs{Kind: kind, After: after, Wait: wait}); ok {
		return list, err
	}
	f.pace(ctx, kind)
	return f.Store.Watch(ctx, kind, after, min(wait, firstShunned))
}

// pace keeps watches of a kind at the store apart.
func (f *feed) pace(ctx context.Context, kind string) {
	f.mu.Lock()
	now := f.gateway.clock.Now()
	next := f.direct[kind].Add(sourceServersPause)
	f.direct[kind] = now
	f.mu.Unlock()
	if !now.Before(next) {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.gateway.clock.After(next.Sub(now)):
	}
}
