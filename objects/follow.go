package objects

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// followWait is how long one watch waits for a change.
	followWait = 30 * time.Second
	// Pauses after a failed list or watch, before jitter.
	followFirstPause = 200 * time.Millisecond
	followMaxPause   = 10 * time.Second
)

// FollowOptions bound the calls of a Follow and tell of its state.
type FollowOptions struct {
	// Wait is how long one watch waits for a change.
	Wait time.Duration
	// Pause returns the least time between two watches, which bounds the calls for
	// a kind that changes all the time; nil for none.
	Pause func() time.Duration
	// MaxPause bounds the pause after failures in a row.
	MaxPause time.Duration
	// State is told after each call, nil after one that went well.
	OnCall func(error)
	// Progress is told the version up to which all was handed out.
	OnProgress func(Version)
	// Listed is told when all that exists was handed out.
	OnListed func()
}

// Follow is FollowWith the default options.
func Follow(ctx context.Context, s Store, kind string, take func(Object)) {
	FollowWith(ctx, s, kind, FollowOptions{Wait: followWait, MaxPause: followMaxPause}, take)
}

// FollowWith hands every object of a kind to take, first those that exist, then
// each change in order, until ctx ends. A watch that failed goes on at the
// version it had reached; after a gap everything is listed again, changes since
// are handed out, and objects that are gone meanwhile as deleted.
func FollowWith(ctx context.Context, s Store, kind string, o FollowOptions, take func(Object)) {
	f := follower{store: s, kind: kind, take: take, options: o, known: map[string]Version{}}
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = followFirstPause, o.MaxPause
	for ctx.Err() == nil {
		watched := f.listed
		err := f.step(ctx)
		if o.OnCall != nil && ctx.Err() == nil {
			o.OnCall(err)
		}
		switch {
		case err != nil:
			pause(ctx, pauses.NextBackOff())
		case watched: // a list alone is no progress: the watch may fail for good
			pauses.Reset()
			if o.Pause != nil {
				pause(ctx, o.Pause())
			}
		}
	}
}

// follower is the state of one Follow.
type follower struct {
	store   Store
	kind    string
	take    func(Object)
	options FollowOptions
	after   Version
	listed  bool
	known   map[string]Version // by object name
}

func (f *follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	changes, err := f.store.Watch(ctx, f.kind, f.after, f.options.Wait)
	if err != nil {
		f.listed = !errors.Is(err, ErrGap)
		return err
	}
	for _, o := range changes.Objects {
		f.hand(o)
	}
	f.after = max(f.after, changes.Version)
	f.progress()
	return nil
}

func (f *follower) list(ctx context.Context) error {
	all, err := f.store.List(ctx, f.kind)
	if err != nil {
		return err
	}
	gone := f.known
	f.known = map[string]Version{}
	for _, o := range all.Objects {
		if gone[o.Name] != o.Version {
			f.take(o)
		}
		f.known[o.Name] = o.Version
		delete(gone, o.Name)
	}
	for name := range gone {
		f.take(Object{Kind: f.kind, Name: name, Version: all.Version, Deleted: true})
	}
	f.after, f.listed = all.Version, true
	f.progress()
	if f.options.OnListed != nil {
		f.options.OnListed()
	}
	return nil
}

func (f *follower) progress() {
	if f.options.OnProgress != nil {
		f.options.OnProgress(f.after)
	}
}

// hand passes a change on, once.
func (f *follower) hand(o Object) {
	if f.known[o.Name] >= o.Version {
		return
	}
	f.known[o.Name] = o.Version
	if o.Deleted {
		delete(f.known, o.Name)
	}
	f.take(o)
}
