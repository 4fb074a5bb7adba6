package objects

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/samber/oops"
)

// RelayCall is a call on the store that another instance makes for this one.
type RelayCall struct {
	Verb   string // get, put, delete, list or watch
	Kind   string
	Name   string
	Expect Version // of put and delete; of watch, the version to go on from
	Value  json.RawMessage
	Wait   time.Duration // of watch
}

// RelayReply is its answer.
type RelayReply struct {
	Object Object
	List   List
	Code   RelayCode
}

// RelayCode is the outcome of a relayed call.
type RelayCode string

// The outcomes of a relayed call.
const (
	RelayOK       RelayCode = ""
	RelayNotFound RelayCode = "not_found"
	RelayConflict RelayCode = "conflict"
	RelayGap      RelayCode = "gap"
	RelayRefused  RelayCode = "refused" // surely not done
	RelayUnknown  RelayCode = "unknown" // may have been done
)

var relayErrors = map[RelayCode]error{
	RelayOK: nil, RelayNotFound: ErrNotFound, RelayConflict: ErrConflict, RelayGap: ErrGap, RelayRefused: ErrRefused,
	RelayUnknown: errors.New("the relaying instance does not know the outcome"),
}

// CodeOf returns the code by which another instance is told of an error.
func RelayCodeOf(err error) RelayCode {
	for code, known := range relayErrors {
		if known != nil && errors.Is(err, known) {
			return code
		}
	}
	if err == nil {
		return RelayOK
	}
	if OutcomeOf(err) == NotDone {
		return RelayRefused
	}
	return RelayUnknown
}

// Err returns the error that a code stands for; nil for RelayOK.
func (c RelayCode) Err() error { return relayErrors[c] }

// Settles reports whether an error is the store's own word, which another way to
// the store would not change.
func IsDefinitive(err error) bool {
	return err == nil || errors.Is(err, ErrNotFound) || errors.Is(err, ErrConflict) || errors.Is(err, ErrGap)
}

// RelayPeers sends calls to other instances. An error means that none has
// answered; sent tells whether one may have got the call.
type RelayFunc func(ctx context.Context, c RelayCall) (reply RelayReply, sent bool, err error)

// Relay is a Store that asks other instances to make its calls while it cannot
// reach the store itself: a store may turn single instances away, or a partition
// may lie between.
type Relay struct {
	direct Store
	peers  RelayFunc
	// changed is told when the way to the store changes.
	changed func(direct bool, cause error)

	mu       sync.Mutex // guards all below
	lost     bool
	patience time.Duration // how long a direct call may take beyond its wait
	// way ends when the direct way is lost, and all direct calls with it: a watch
	// would otherwise wait on a way that another call has found broken.
	way  context.Context
	lose context.CancelFunc
	// detour ends when the direct way is regained, and all relayed watches with it:
	// one may wait on an instance that is cut off by now.
	detour context.Context
	regain context.CancelFunc
}

// NewRelay returns a Relay.
func NewRelay(direct Store, peers RelayFunc, changed func(direct bool, cause error)) *Relay {
	r := &Relay{direct: direct, peers: peers, changed: changed, patience: leastPatience}
	r.way, r.lose = context.WithCancel(context.Background())
	r.detour, r.regain = context.WithCancel(context.Background())
	return r
}

// Bounds of the time that a direct call may take. A store that answers in
// milliseconds and is a hundred times as slow on a bad day stays below the first;
// each call that is not answered in time lengthens it, for one slower still.
const (
	leastPatience = 600 * time.Millisecond
	mostPatience  = 2500 * time.Millisecond
	patienceStep  = 300 * time.Millisecond
)

// perform makes a direct call within the patience that experience has given.
func (r *Relay) perform(ctx context.Context, c RelayCall) (RelayReply, error) {
	r.mu.Lock()
	patience, way := r.patience, r.way
	r.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, c.Wait+patience)
	defer cancel()
	defer context.AfterFunc(way, cancel)()
	reply, err := perform(bounded, r.direct, c)
	late := errors.Is(bounded.Err(), context.DeadlineExceeded) && ctx.Err() == nil
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case late:
		r.patience = min(mostPatience, r.patience+patienceStep)
	case IsDefinitive(err):
		r.patience = max(leastPatience, r.patience-patienceStep/4)
	}
	return reply, err
}

// probeInterval is how often a lost direct way is tried again.
const probeInterval = 500 * time.Millisecond

// What a lost way is tried with; the store's word that there is none will do.
const (
	probeKind = "probes"
	probeName = "none"
)

// probe tries the direct way until it works.
func (r *Relay) probe() {
	for pause := probeInterval; !r.DirectAvailable(); pause = 2 * probeInterval {
		time.Sleep(pause)
		if r.works() {
			r.note(context.Background(), nil)
		}
	}
}

// works tries the direct way once.
func (r *Relay) works() bool {
	r.mu.Lock()
	patience := r.patience
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := r.direct.Get(ctx, probeKind, probeName)
	return IsDefinitive(err)
}

// suspect tries the direct way after a watch on it has failed, which the store
// may cut at any time.
func (r *Relay) suspect(cause error) {
	if r.DirectAvailable() && !r.works() {
		r.note(context.Background(), cause)
	}
}

// heard takes in what came of a direct call.
func (r *Relay) heard(ctx context.Context, c RelayCall, err error) {
	if c.Verb == "watch" && !IsDefinitive(err) {
		if ctx.Err() == nil {
			go r.suspect(err)
		}
		return
	}
	r.note(ctx, err)
}

// note takes in what a direct call says of the direct way.
func (r *Relay) note(ctx context.Context, err error) {
	if ctx.Err() != nil && !IsDefinitive(err) {
		return // given up by the caller; says nothing of the way
	}
	r.mu.Lock()
	was := r.lost
	r.lost = !IsDefinitive(err)
	switch {
	case r.lost && !was:
		r.detour, r.regain = context.WithCancel(context.Background())
		r.lose()
		go r.probe()
	case was && !r.lost:
		r.way, r.lose = context.WithCancel(context.Background())
		r.regain()
	}
	now := r.lost
	r.mu.Unlock()
	if was != now && r.changed != nil {
		r.changed(!now, err)
	}
}

// Reaches reports whether the direct way works, as far as known.
func (r *Relay) DirectAvailable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lost
}

// Serve makes a call for another instance, the direct way only.
func (r *Relay) Serve(ctx context.Context, c RelayCall) RelayReply {
	if !r.DirectAvailable() {
		return RelayReply{Code: RelayRefused}
	}
	reply, err := r.perform(ctx, c)
	r.heard(ctx, c, err)
	reply.Code = RelayCodeOf(err)
	return reply
}

func perform(ctx context.Context, s Store, c RelayCall) (RelayReply, error) {
	var reply RelayReply
	var err error
	switch c.Verb {
	case "get":
		reply.Object, err = s.Get(ctx, c.Kind, c.Name)
	case "put":
		reply.Object, err = s.Put(ctx, c.Kind, c.Name, c.Expect, c.Value)
	case "delete":
		err = s.Delete(ctx, c.Kind, c.Name, c.Expect)
	case "list":
		reply.List, err = s.List(ctx, c.Kind)
	case "watch":
		reply.List, err = s.Watch(ctx, c.Kind, c.Expect, c.Wait)
	default:
		err = oops.In("objects").Errorf("unknown verb %q", c.Verb)
	}
	return reply, err
}

// do makes a call by the way that works. A write whose direct try may have taken
// effect is not sent another way: its caller settles it.
func (r *Relay) do(ctx context.Context, c RelayCall) (RelayReply, error) {
	if r.DirectAvailable() {
		reply, err := r.perform(ctx, c)
		r.heard(ctx, c, err)
		write := c.Verb == "put" || c.Verb == "delete"
		if IsDefinitive(err) || ctx.Err() != nil || (write && OutcomeOf(err) != NotDone) {
			return reply, err
		}
	}
	if c.Verb == "watch" {
		bounded, cancel := context.WithCancel(ctx)
		defer cancel()
		r.mu.Lock()
		detour := r.detour
		r.mu.Unlock()
		defer context.AfterFunc(detour, cancel)()
		ctx = bounded
	}
	reply, sent, err := r.peers(ctx, c)
	switch {
	case err == nil && reply.Code == RelayOK:
		return reply, nil
	case err == nil:
		return reply, oops.In("objects").With("step", "relayed "+c.Verb, "kind", c.Kind).Wrap(reply.Code.Err())
	case !sent:
		return reply, oops.In("objects").With("step", "relayed "+c.Verb, "kind", c.Kind).Wrap(errors.Join(ErrRefused, err))
	}
	return reply, oops.In("objects").With("step", "relayed "+c.Verb, "kind", c.Kind).Wrap(err)
}

// Get implements Store.
func (r *Relay) Get(ctx context.Context, kind, name string) (Object, error) {
	reply, err := r.do(ctx, RelayCall{Verb: "get", Kind: kind, Name: name})
	return reply.Object, err
}

// GetStale implements StaleReader. Where that is not possible it is Get.
func (r *Relay) GetStale(ctx context.Context, kind, name string) (Object, error) {
	stale, ok := r.direct.(StaleReader)
	if !ok || !r.DirectAvailable() {
		return r.Get(ctx, kind, name)
	}
	bounded, cancel := context.WithTimeout(ctx, leastPatience)
	defer cancel()
	o, err := stale.GetStale(bounded, kind, name)
	if IsDefinitive(err) {
		return o, err
	}
	return r.Get(ctx, kind, name)
}

// Put implements Store.
func (r *Relay) Put(ctx context.Context, kind, name string, expect Version, value any) (Object, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return Object{}, oops.In("objects").With("step", "encode", "kind", kind).Wrap(err)
	}
	reply, err := r.do(ctx, RelayCall{Verb: "put", Kind: kind, Name: name, Expect: expect, Value: encoded})
	return reply.Object, err
}

// Delete implements Store.
func (r *Relay) Delete(ctx context.Context, kind, name string, expect Version) error {
	_, err := r.do(ctx, RelayCall{Verb: "delete", Kind: kind, Name: name, Expect: expect})
	return err
}

// List implements Store.
func (r *Relay) List(ctx context.Context, kind string) (List, error) {
	reply, err := r.do(ctx, RelayCall{Verb: "list", Kind: kind})
	return reply.List, err
}

// Watch implements Store.
func (r *Relay) Watch(ctx context.Context, kind string, after Version, wait time.Duration) (List, error) {
	reply, err := r.do(ctx, RelayCall{Verb: "watch", Kind: kind, Expect: after, Wait: wait})
	return reply.List, err
}

var _ Store = (*Relay)(nil)
