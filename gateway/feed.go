package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/batch"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/pace"
	"github.com/pomelocross/pomelocross/platform"
	"github.com/pomelocross/pomelocross/roster"
	"github.com/pomelocross/pomelocross/sendlimit"
)

// Timing of a source's watches of the store.
const (
	// The end of a batch must reach its engines within seconds.
	sourceHeadsWait  = 800 * time.Millisecond
	sourceHeadsPause = 600 * time.Millisecond
	// Instances start and stop rarely; a stale list costs no more than a timeout.
	sourceInstancesWait  = 3 * time.Second
	sourceInstancesPause = time.Second
	// sourceAgeMargin is added to the time between two responses of the store for a kind.
	// Above that age, a source refuses queries: it may have lost the store, and its
	// readers query the store themselves.
	sourceAgeMargin = 300 * time.Millisecond
)

// feedKinds returns the kinds of object that the feed serves: those that every instance
// watches. Every watch of the store is billed, so they last as long as the bounds of the
// deployment allow.
func feedKinds(s *Settings) []objects.CacheKind {
	kinds := []objects.CacheKind{
		{Kind: platform.KindServers, Content: registrationContent, Same: sameRegistration},
		{Kind: platform.KindConfig},
		{Kind: kindQuarantine},
		{Kind: batch.KindHead, Wait: sourceHeadsWait, Pause: sourceHeadsPause, MaxAge: sourceHeadsWait + sourceHeadsPause + sourceAgeMargin},
		{Kind: kindInstances, Wait: sourceInstancesWait, Pause: sourceInstancesPause, MaxAge: sourceInstancesWait + sourceInstancesPause + sourceAgeMargin},
	}
	if s.EvacuationBound > 0 {
		kinds = append(kinds, objects.CacheKind{Kind: platform.KindEvacuations})
	}
	paths := s.propagationPaths()
	for n := range kinds {
		if p, bounded := paths[kinds[n].Kind]; bounded {
			kinds[n].Wait, kinds[n].Pause, kinds[n].MaxAge = p.sourceWait, p.sourcePause, p.maxAge
		}
	}
	return kinds
}

// propagationPaths returns the paths of the kinds whose changes must be in force within a
// bound.
func (s *Settings) propagationPaths() map[string]propagation {
	return map[string]propagation{
		platform.KindServers: s.registrationPath(), platform.KindConfig: s.configPath(),
		platform.KindEvacuations: s.evacuationPath(), kindQuarantine: s.quarantinePath(),
	}
}

const (
	// initialBackoff is how long a source is not queried after a failure. It doubles
	// with each consecutive failure up to maxBackoff.
	initialBackoff = 3 * time.Second
	maxBackoff     = 24 * time.Second
	// maxSources bounds the sources that one read tries before it falls back to the
	// store.
	maxSources = 2
)

// feed reads the objects that every instance watches. It reads them from a source, an
// instance of the same failure domain that caches them, so that the number of calls on
// the store does not grow with the number of instances. When no source responds, it
// reads from the store. It implements objects.Store; only lists, watches and stale
// reads use the sources.
type feed struct {
	objects.Store // the store itself
	gateway       *Gateway
	kinds         map[string]objects.CacheKind // by name
	paths         map[string]propagation       // by kind; only kinds with a bound
	cache         *objects.Cache

	mu              sync.Mutex               // guards all below
	lastReads       map[string]time.Time     // by kind that the cache follows: time of the last read
	backoffs        map[string]sourceBackoff // by address of the source
	lastDirectWatch map[string]time.Time     // by kind: time of the last watch at the store
	pacesPeer       string                   // the source with which paces were last exchanged
	paces           pacesExchanged
}

// sourceBackoff is the state of a source that has failed.
type sourceBackoff struct {
	until    time.Time
	failures int // consecutive, up to maxBackoffDoublings
}

func newFeed(g *Gateway) *feed {
	f := &feed{
		Store: g.store, gateway: g, kinds: map[string]objects.CacheKind{}, paths: g.settings.propagationPaths(), cache: objects.NewCache(g.store, g.clock.Now),
		lastReads: map[string]time.Time{}, backoffs: map[string]sourceBackoff{}, lastDirectWatch: map[string]time.Time{},
	}
	for _, k := range feedKinds(g.settings) {
		f.kinds[k.Kind] = k
	}
	return f
}

// serves reports whether the feed serves a kind.
func (f *feed) serves(kind string) bool {
	_, ok := f.kinds[kind]
	return ok
}

// sources returns the addresses of the instances to query, best first: those of the
// failure domain or, while the list of instances is not known, the configured peers.
// It skips sources in backoff. The list ends with this instance's own address if it
// comes to it; that address stands for the local cache.
func (f *feed) sources() []string {
	candidates := f.gateway.currentSettings.Load().Peers
	if f.gateway.membership.listed() {
		candidates = f.gateway.membership.domainPeers()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.gateway.clock.Now()
	var list []string
	for _, peer := range candidates {
		if now.Before(f.backoffs[peer].until) {
			continue
		}
		list = append(list, peer)
		if peer == f.gateway.settings.PeerListen || len(list) == maxSources {
			break
		}
	}
	return list
}

// recordResult records whether a source responded and sets or clears its backoff.
func (f *feed) recordResult(peer string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ok {
		delete(f.backoffs, peer)
		return
	}
	b := f.backoffs[peer]
	b.until = f.gateway.clock.Now().Add(min(maxBackoff, initialBackoff<<b.failures))
	b.failures = min(b.failures+1, maxBackoffDoublings)
	f.backoffs[peer] = b
}

// maxBackoffDoublings bounds the exponent of a source's backoff.
const maxBackoffDoublings = 3

// cacheIdleTimeout is how long the cache keeps following a kind without readers.
// Without readers, another instance has become the source of the domain, or no instance
// of it runs batches.
const cacheIdleTimeout = 5 * time.Second

// ensureFollowing records a read of a kind and starts following it unless the cache
// already does.
func (f *feed) ensureFollowing(kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, following := f.lastReads[kind]
	f.lastReads[kind] = f.gateway.clock.Now()
	if following {
		return
	}
	ctx, cancel := context.WithCancel(f.gateway.background)
	m := &storeMonitor{gateway: f.gateway, kind: kind}
	go f.cache.Follow(ctx, f.kinds[kind], m.observe)
	go f.stopWhenIdle(ctx, cancel, kind)
}

// follows reports whether the cache follows a kind.
func (f *feed) follows(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, following := f.lastReads[kind]
	return following
}

// stopWhenIdle stops following a kind once there was no read for cacheIdleTimeout.
func (f *feed) stopWhenIdle(ctx context.Context, cancel context.CancelFunc, kind string) {
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.gateway.clock.After(cacheIdleTimeout / 2):
		}
		f.mu.Lock()
		idle := f.gateway.clock.Now().Sub(f.lastReads[kind]) > cacheIdleTimeout
		if idle {
			delete(f.lastReads, kind)
		}
		f.mu.Unlock()
		if idle {
			return
		}
	}
}

// registrationContent returns the decoded registration, or nil if it is invalid.
func registrationContent(o objects.Object) any {
	e, err := platform.DecodeServer(o)
	if err != nil {
		return nil // readers get the change and log the error
	}
	return e
}

// sameRegistration reports whether a registration was renewed without other changes.
func sameRegistration(before, after any) bool {
	return roster.Same(before.(roster.Entry), after.(roster.Entry))
}

// FeedArgs is a query to a source for one object, for all objects of a kind or for their
// changes.
type FeedArgs struct {
	Kind  string
	Name  string          // of a single object; empty for all objects of Kind
	After objects.Version // version to watch from; 0 for a list
	Wait  time.Duration
	// Limits holds the limits of upstreams that the reader knows, in queries for
	// registrations.
	Limits sendlimit.Limits
	// Paces holds what the reader has observed of upstreams since its last query for
	// registrations. The reply to such a query begins after change PacesAfter.
	Paces      []pace.Statement
	PacesAfter uint64
}

// FeedReply is the reply of a source.
type FeedReply struct {
	List objects.List // a single object if Name was given
	Code objects.RelayCode
	// NotFollowed is set if a single object was queried of a kind that the source does
	// not follow.
	NotFollowed bool
	// Age is the age of the list's state when the source responded, and Held the time for
	// which it held the query.
	Age, Held time.Duration
	// Limits holds the limits of upstreams that the source knows, for registrations.
	Limits sendlimit.Limits
	// Paces holds what the source knows of the pace of upstreams, up to change PacesUpTo.
	Paces     []pace.Statement
	PacesUpTo uint64
}

// feedService serves the feeds of other instances, usually those of the same failure
// domain.
type feedService struct{ gateway *Gateway }

// Read serves a query from the local cache.
func (s *feedService) Read(args FeedArgs, reply *FeedReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Wait+time.Second)
	defer cancel()
	received := s.gateway.clock.Now()
	if args.Kind == platform.KindServers {
		s.gateway.learnLimits(args.Limits)
		s.gateway.roster.LearnPace(args.Paces, received)
		defer func() {
			now := s.gateway.clock.Now()
			reply.Limits = s.gateway.limits.Limits(now)
			reply.Paces, reply.PacesUpTo = s.gateway.roster.Pace().Statements(args.PacesAfter, false, now)
		}()
	}
	list, err := s.gateway.feed.readCache(ctx, args)
	if errors.Is(err, errNotFollowed) {
		reply.NotFollowed = true
		return nil
	}
	now := s.gateway.clock.Now()
	reply.Age, reply.Held = now.Sub(list.AsOf), now.Sub(received)
	list.AsOf = time.Time{} // of this machine's clock
	reply.List, reply.Code = list, objects.RelayCodeOf(err)
	return nil
}

var errNotFollowed = errors.New("the kind is not followed here")

// readCache serves a query from the local cache. A list or watch makes the cache follow
// the kind. A query for a single object does not, because one read of it at the store
// costs less than watching the kind; it returns errNotFollowed. A kind that is not served
// here, as an instance of a later version may query, is refused.
func (f *feed) readCache(ctx context.Context, args FeedArgs) (objects.List, error) {
	if !f.serves(args.Kind) {
		return objects.List{}, oops.In("gateway").With("step", "read cache", "kind", args.Kind).Wrap(objects.ErrRefused)
	}
	if args.Name != "" && !f.follows(args.Kind) {
		return objects.List{}, errNotFollowed
	}
	if args.Name == "" {
		f.ensureFollowing(args.Kind)
	}
	listCtx, cancel := context.WithTimeout(ctx, f.queryTimeout(args.Kind)/2) // the reader is to get the refusal in time
	f.cache.WaitListed(listCtx, args.Kind)
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

// queryTimeout returns the bound of a query to a source, in addition to the wait of a watch.
func (f *feed) queryTimeout(kind string) time.Duration {
	if p, bounded := f.paths[kind]; bounded {
		return p.queryTimeout
	}
	return maxQueryTimeout
}

// readSources queries the sources in turn; ok is false when none responds. Only the first
// one may hold a watch, since the state known here gets older with each query.
func (f *feed) readSources(ctx context.Context, args FeedArgs) (list objects.List, err error, ok bool) {
	for n, peer := range f.sources() {
		if n > 0 {
			args.Wait = 0
		}
		if peer == f.gateway.settings.PeerListen {
			list, err = f.readCache(ctx, args)
			return list, err, !errors.Is(err, objects.ErrRefused) && !errors.Is(err, errNotFollowed)
		}
		reply, err := f.querySource(ctx, peer, args)
		f.recordResult(peer, err == nil)
		if reply.NotFollowed {
			return list, nil, false
		}
		if err == nil {
			return reply.List, reply.Code.Err(), true
		}
		if timedOut(err) {
			break // after a timeout, the remaining time is better spent on the store
		}
	}
	return list, nil, false
}

// timedOut reports whether a source did not respond in time, for example because it is
// unreachable.
func timedOut(err error) bool { return errors.Is(err, context.DeadlineExceeded) }

// querySource queries a source. It returns an error when the source has no current
// data.
func (f *feed) querySource(ctx context.Context, peer string, args FeedArgs) (FeedReply, error) {
	ctx, cancel := context.WithTimeout(ctx, args.Wait+f.queryTimeout(args.Kind))
	defer cancel()
	sent := f.gateway.clock.Now()
	var stated uint64 // the last of our changes that the source then knows
	if args.Kind == platform.KindServers {
		args.Limits = f.gateway.limits.Limits(sent)
		exchanged := f.pacesWith(peer)
		args.PacesAfter = exchanged.learned
		args.Paces, stated = f.gateway.roster.Pace().Statements(exchanged.stated, true, sent)
	}
	var reply FeedReply
	err := f.gateway.dialer.Call(ctx, peer, "Feed.Read", args, &reply)
	reply.List.AsOf = sent.Add(reply.Held - reply.Age) // the ways there and back count as age
	if len(reply.Limits) > 0 {
		f.gateway.learnLimits(reply.Limits)
	}
	if err == nil && args.Kind == platform.KindServers {
		f.gateway.roster.LearnPace(reply.Paces, f.gateway.clock.Now())
		f.setPacesWith(peer, pacesExchanged{stated: stated, learned: reply.PacesUpTo})
	}
	if replyErr := reply.Code.Err(); err == nil && !objects.IsDefinitive(replyErr) {
		err = replyErr
	}
	return reply, err
}

// pacesExchanged holds the numbers of the last changes to paces that this instance and a source
// have stated to each other.
type pacesExchanged struct{ stated, learned uint64 }

func (f *feed) pacesWith(peer string) pacesExchanged {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pacesPeer != peer { // another source knows nothing of what we stated
		return pacesExchanged{}
	}
	return f.paces
}

func (f *feed) setPacesWith(peer string, e pacesExchanged) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pacesPeer, f.paces = peer, e
}

// List implements objects.Store. It falls back to the store when no source responds.
func (f *feed) List(ctx context.Context, kind string) (objects.List, error) {
	if f.serves(kind) {
		if list, err, ok := f.readSources(ctx, FeedArgs{Kind: kind}); ok {
			return list, err
		}
	}
	return f.Store.List(ctx, kind)
}

// GetStale implements objects.StaleReader. It falls back to the store when no source
// responds.
func (f *feed) GetStale(ctx context.Context, kind, name string) (objects.Object, error) {
	if f.serves(kind) {
		if list, err, ok := f.readSources(ctx, FeedArgs{Kind: kind, Name: name}); ok && (err != nil || len(list.Objects) == 1) {
			if err != nil {
				return objects.Object{}, err
			}
			return list.Objects[0], nil
		}
	}
	return f.gateway.store.GetStale(ctx, kind, name)
}

// Watch implements objects.Store. While no source responds, it watches the store, but
// for a short time only, so that the sources are soon queried again, and no more often
// than a source would.
func (f *feed) Watch(ctx context.Context, kind string, after objects.Version, wait time.Duration) (objects.List, error) {
	if !f.serves(kind) {
		return f.Store.Watch(ctx, kind, after, wait)
	}
	if list, err, ok := f.readSources(ctx, FeedArgs{Kind: kind, After: after, Wait: wait}); ok {
		return list, err
	}
	f.throttleDirectWatch(ctx, kind)
	return f.Store.Watch(ctx, kind, after, min(wait, initialBackoff))
}

// throttleDirectWatch waits until at least the pause of a source of the kind has passed since
// the last watch of the kind at the store.
func (f *feed) throttleDirectWatch(ctx context.Context, kind string) {
	f.mu.Lock()
	now := f.gateway.clock.Now()
	next := f.lastDirectWatch[kind].Add(f.kinds[kind].Pause)
	f.lastDirectWatch[kind] = now
	f.mu.Unlock()
	if !now.Before(next) {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.gateway.clock.After(next.Sub(now)):
	}
}
