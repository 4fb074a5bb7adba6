package objects

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/samber/oops"
)

const (
	// followWait is how long one watch waits for a change.
	followWait = 30 * time.Second
	// Delays after a failed list or watch, before jitter.
	followMinRetryDelay = 200 * time.Millisecond
	followMaxRetryDelay = 10 * time.Second
	// behindBytes is the size of the values in a response from which the next watch
	// follows without a pause. A store limits its responses to about a megabyte; a
	// follower that pauses after each of them falls further and further behind.
	behindBytes = 256 << 10
)

// FollowOptions configures the calls of FollowWith and its callbacks. The callbacks may
// be nil.
type FollowOptions struct {
	// Wait is how long one watch waits for a change.
	Wait time.Duration
	// Pause returns the minimum time between two watches, which limits the call rate
	// for a kind that changes continuously. Nil means no pause. There is no pause after a
	// response so large that the store may have more changes.
	Pause func() time.Duration
	// MaxPause is the maximum delay after consecutive failures.
	MaxPause time.Duration
	// OnCall is called with the result of each list or watch. at is the time as of which
	// the delivered state is that of the store or, after an error, the time at which the
	// call was sent; zero without Now.
	OnCall func(at time.Time, err error)
	// OnCurrent is called after each call with the time as of which the delivered state was
	// that of the store. It requires Now.
	OnCurrent func(asOf time.Time)
	Now       func() time.Time
	// OnProgress is called with the version up to which all changes were delivered.
	OnProgress func(Version)
	// OnListed is called after all objects of a list were delivered.
	OnListed func()
}

// Follow calls FollowWith with default options.
func Follow(ctx context.Context, s Store, kind string, handle func(Object)) {
	FollowWith(ctx, s, kind, FollowOptions{Wait: followWait, MaxPause: followMaxRetryDelay}, handle)
}

// FollowWith passes every object of a kind to handle, first the existing ones, then each
// change in order, until ctx ends. After a failure it resumes watching at the version
// it had reached. After ErrGap it lists the kind again, at once unless the watch after the
// last list had a gap too, and passes on the objects that changed since, and those that no
// longer exist as deleted. It repeats a list that is older than what it has delivered.
func FollowWith(ctx context.Context, s Store, kind string, o FollowOptions, handle func(Object)) {
	f := follower{store: s, kind: kind, handle: handle, options: o, known: map[string]Version{}}
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = followMinRetryDelay, o.MaxPause
	gap := false // a watch has had a gap since the last one that succeeded
	for ctx.Err() == nil {
		watching := f.listed
		at, err := f.step(ctx)
		if o.OnCall != nil && ctx.Err() == nil {
			o.OnCall(at, err)
		}
		switch {
		case errors.Is(err, ErrGap) && !gap:
			gap = true
		case err != nil:
			sleep(ctx, delays.NextBackOff())
		case watching && f.behind: // the store may have more changes than fit into a response
			delays.Reset()
			gap = false
		case watching: // a list alone does not reset the delay: the watch may fail permanently
			delays.Reset()
			gap = false
			if o.Pause != nil {
				sleep(ctx, o.Pause())
			}
		}
	}
}

// follower is the state of one FollowWith call.
type follower struct {
	store   Store
	kind    string
	handle  func(Object)
	options FollowOptions
	version Version // all changes up to this one were delivered
	listed  bool
	behind  bool               // the last watch returned behindBytes or more
	known   map[string]Version // by object name
}

// step makes one call to the store: a list if one is needed, a watch otherwise. It returns
// the arguments of OnCall.
func (f *follower) step(ctx context.Context) (at time.Time, err error) {
	if !f.listed {
		return f.list(ctx)
	}
	sent := f.now()
	changes, err := f.store.Watch(ctx, f.kind, f.version, f.options.Wait)
	if err != nil {
		f.listed = !errors.Is(err, ErrGap)
		return sent, err
	}
	size := 0
	for _, o := range changes.Objects {
		size += len(o.Value)
		f.deliver(o)
	}
	f.behind = size >= behindBytes
	f.version = max(f.version, changes.Version)
	return f.reportProgress(changes, sent, f.options.Wait), nil
}

// now returns the time of the options' clock; zero without one.
func (f *follower) now() time.Time {
	if f.options.Now == nil {
		return time.Time{}
	}
	return f.options.Now()
}

// ErrOldList means that a list is older than the state that was delivered. A store of
// which several caches exist may be read at one that is behind the last.
var ErrOldList = errors.New("the list is older than the delivered state")

func (f *follower) list(ctx context.Context) (at time.Time, err error) {
	sent := f.now()
	listed, err := f.store.List(ctx, f.kind)
	if err != nil {
		return sent, err
	}
	if listed.Version < f.version {
		return sent, oops.In("objects").With("step", "list", "kind", f.kind, "version", listed.Version, "delivered", f.version).Wrap(ErrOldList)
	}
	removed := f.known
	f.known = map[string]Version{}
	for _, o := range listed.Objects {
		if removed[o.Name] != o.Version {
			f.handle(o)
		}
		f.known[o.Name] = o.Version
		delete(removed, o.Name)
	}
	for name := range removed {
		f.handle(Object{Kind: f.kind, Name: name, Version: listed.Version, Deleted: true})
	}
	f.version, f.listed = listed.Version, true
	asOf := f.reportProgress(listed, sent, 0)
	if f.options.OnListed != nil {
		f.options.OnListed()
	}
	return asOf, nil
}

// reportProgress reports the delivered version and its time, and returns that time. A
// response that arrives later than the wait after its request was sent was delayed, so its
// state may be that old. A cache says how old its state is.
func (f *follower) reportProgress(response List, sent time.Time, wait time.Duration) time.Time {
	asOf := sent.Add(wait)
	if received := f.now(); received.Before(asOf) {
		asOf = received
	}
	if !response.AsOf.IsZero() {
		asOf = response.AsOf
	}
	if f.options.OnCurrent != nil {
		f.options.OnCurrent(asOf)
	}
	if f.options.OnProgress != nil {
		f.options.OnProgress(f.version)
	}
	return asOf
}

// deliver passes a change to handle unless it was delivered before.
func (f *follower) deliver(o Object) {
	if f.known[o.Name] >= o.Version {
		return
	}
	f.known[o.Name] = o.Version
	if o.Deleted {
		delete(f.known, o.Name)
	}
	f.handle(o)
}
