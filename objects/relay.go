package objects

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/samber/oops"
)

// RelayCall is a call to the store that another instance makes for this one.
type RelayCall struct {
	Verb   string // get, put, delete, list or watch
	Kind   string
	Name   string
	Expect Version // expected version for put and delete; version to resume from for watch
	Value  json.RawMessage
	Wait   time.Duration // for watch
}

// RelayReply is the response to a RelayCall.
type RelayReply struct {
	Object Object
	List   List
	Code   RelayCode
	// Rejected means ErrRejected. Code is RelayRefused then, as instances of older versions
	// know no code for it.
	Rejected bool
}

// Err returns the error of the relayed call; nil if it succeeded.
func (r RelayReply) Err() error {
	if r.Rejected {
		return ErrRejected
	}
	return r.Code.Err()
}

// RelayCode is the outcome of a relayed call.
type RelayCode string

// The outcomes of a relayed call.
const (
	RelayOK       RelayCode = ""
	RelayNotFound RelayCode = "not_found"
	RelayConflict RelayCode = "conflict"
	RelayGap      RelayCode = "gap"
	RelayRefused  RelayCode = "refused" // certainly not executed
	RelayUnknown  RelayCode = "unknown" // may have been executed
)

var relayErrors = map[RelayCode]error{
	RelayOK: nil, RelayNotFound: ErrNotFound, RelayConflict: ErrConflict, RelayGap: ErrGap, RelayRefused: ErrRefused,
	RelayUnknown: errors.New("outcome of the call is unknown to the relaying instance"),
}

// RelayCodeOf returns the code that represents err in a RelayReply.
func RelayCodeOf(err error) RelayCode {
	for code, known := range relayErrors {
		if known != nil && errors.Is(err, known) {
			return code
		}
	}
	if err == nil {
		return RelayOK
	}
	if OutcomeOf(err) == NotDone { // also ErrRejected
		return RelayRefused
	}
	return RelayUnknown
}

// Err returns the error that a code represents; nil for RelayOK. The outcome of a call with
// a code of a newer version is unknown.
func (c RelayCode) Err() error {
	if err, known := relayErrors[c]; known {
		return err
	}
	return relayErrors[RelayUnknown]
}

// IsDefinitive reports whether err is a result of the store itself. The same call
// through another instance would have the same result.
func IsDefinitive(err error) bool {
	return err == nil || errors.Is(err, ErrNotFound) || errors.Is(err, ErrConflict) || errors.Is(err, ErrGap) || errors.Is(err, ErrRejected)
}

// RelayFunc sends a call to another instance. An error means that no instance
// responded; sent reports whether one may have received the call.
type RelayFunc func(ctx context.Context, c RelayCall) (reply RelayReply, sent bool, err error)

// Relay is a Store that sends its calls through other instances while it cannot reach
// the store directly, because the store refuses this instance or the network is
// partitioned.
type Relay struct {
	direct  Store
	forward RelayFunc
	// onChange, if set, is called when direct access becomes unavailable or is
	// restored.
	onChange func(direct bool, cause error)

	mu                sync.Mutex // guards the fields below
	directUnavailable bool
	directTimeout     time.Duration // of a direct call, in addition to its wait
	// directCtx ends when direct access becomes unavailable, and cancels all direct
	// calls: a watch would otherwise keep waiting on a connection that another call
	// found broken.
	directCtx    context.Context
	cancelDirect context.CancelFunc
	// relayCtx ends when direct access is restored, and cancels all relayed watches:
	// the relaying instance may be unable to reach the store by now.
	relayCtx      context.Context
	cancelRelayed context.CancelFunc
}

// NewRelay returns a Relay that starts with direct access. forward relays a call, and
// onChange, which may be nil, is called when direct access becomes unavailable or is
// restored.
func NewRelay(direct Store, forward RelayFunc, onChange func(direct bool, cause error)) *Relay {
	r := &Relay{direct: direct, forward: forward, onChange: onChange, directTimeout: minDirectTimeout}
	r.directCtx, r.cancelDirect = context.WithCancel(context.Background())
	r.relayCtx, r.cancelRelayed = context.WithCancel(context.Background())
	return r
}

// Bounds of the timeout of direct calls. A store that normally responds in
// milliseconds stays within the minimum even when it is a hundred times slower. Each
// timeout adds a step, so that an even slower store still counts as available.
const (
	minDirectTimeout  = 600 * time.Millisecond
	maxDirectTimeout  = 2500 * time.Millisecond
	directTimeoutStep = 300 * time.Millisecond
)

// callDirect makes a direct call and adapts the timeout: a timed-out call adds a step,
// a definitive response subtracts a quarter of one.
func (r *Relay) callDirect(ctx context.Context, c RelayCall) (RelayReply, error) {
	r.mu.Lock()
	timeout, directCtx := r.directTimeout, r.directCtx
	r.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, c.Wait+timeout)
	defer cancel()
	defer context.AfterFunc(directCtx, cancel)()
	reply, err := callStore(bounded, r.direct, c)
	timedOut := errors.Is(bounded.Err(), context.DeadlineExceeded) && ctx.Err() == nil
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case timedOut:
		r.directTimeout = min(maxDirectTimeout, r.directTimeout+directTimeoutStep)
	case IsDefinitive(err):
		r.directTimeout = max(minDirectTimeout, r.directTimeout-directTimeoutStep/4)
	}
	return reply, err
}

// probeInterval is the delay before the first probe after direct access has become
// unavailable; later probes wait twice as long.
const probeInterval = 500 * time.Millisecond

// Name of the object that probes read. It need not exist: ErrNotFound is a definitive
// response.
const (
	probeKind = "probes"
	probeName = "none"
)

// probeUntilRestored probes the store until direct access is restored.
func (r *Relay) probeUntilRestored() {
	for pause := probeInterval; !r.DirectAvailable(); pause = 2 * probeInterval {
		time.Sleep(pause)
		if r.probeOnce() {
			r.recordDirect(context.Background(), nil)
		}
	}
}

// probeOnce reports whether the store gives a definitive response to one direct read.
func (r *Relay) probeOnce() bool {
	r.mu.Lock()
	timeout := r.directTimeout
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := r.direct.Get(ctx, probeKind, probeName)
	return IsDefinitive(err)
}

// recheckDirect probes the store after a direct watch failed or the time of a caller ended.
// This alone does not mean that direct access is unavailable: the store may end a watch at
// any time, and a caller may have had little time.
func (r *Relay) recheckDirect(cause error) {
	if r.DirectAvailable() && !r.probeOnce() {
		r.recordDirect(context.Background(), cause)
	}
}

// recordCall updates the state of direct access with the result of a direct call.
func (r *Relay) recordCall(ctx context.Context, c RelayCall, err error) {
	if c.Verb == "watch" && !IsDefinitive(err) {
		if ctx.Err() == nil {
			go r.recheckDirect(err)
		}
		return
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && !IsDefinitive(err) {
		// A caller whose time is shorter than the timeout would never learn that direct
		// access is unavailable.
		go r.recheckDirect(err)
		return
	}
	r.recordDirect(ctx, err)
}

// recordDirect sets the state of direct access according to err, the result of a direct
// call, and calls onChange if the state changed.
func (r *Relay) recordDirect(ctx context.Context, err error) {
	if ctx.Err() != nil && !IsDefinitive(err) {
		return // canceled by the caller, which is no evidence about direct access
	}
	r.mu.Lock()
	wasUnavailable := r.directUnavailable
	r.directUnavailable = !IsDefinitive(err)
	switch {
	case r.directUnavailable && !wasUnavailable:
		r.relayCtx, r.cancelRelayed = context.WithCancel(context.Background())
		r.cancelDirect()
		go r.probeUntilRestored()
	case wasUnavailable && !r.directUnavailable:
		r.directCtx, r.cancelDirect = context.WithCancel(context.Background())
		r.cancelRelayed()
	}
	isUnavailable := r.directUnavailable
	r.mu.Unlock()
	if wasUnavailable != isUnavailable && r.onChange != nil {
		r.onChange(!isUnavailable, err)
	}
}

// DirectAvailable reports whether direct access to the store works, as far as known.
func (r *Relay) DirectAvailable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.directUnavailable
}

// Serve makes a call for another instance. It uses direct access only, so that calls
// are not relayed twice.
func (r *Relay) Serve(ctx context.Context, c RelayCall) RelayReply {
	if !r.DirectAvailable() {
		return RelayReply{Code: RelayRefused}
	}
	reply, err := r.callDirect(ctx, c)
	r.recordCall(ctx, c, err)
	reply.Code, reply.Rejected = RelayCodeOf(err), errors.Is(err, ErrRejected)
	return reply
}

// callStore executes c on s.
func callStore(ctx context.Context, s Store, c RelayCall) (RelayReply, error) {
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

// do makes a call directly, or through another instance if direct access does not work.
// A write whose direct attempt may have taken effect is not relayed; its caller must
// resolve the outcome.
func (r *Relay) do(ctx context.Context, c RelayCall) (RelayReply, error) {
	if r.DirectAvailable() {
		reply, err := r.callDirect(ctx, c)
		r.recordCall(ctx, c, err)
		write := c.Verb == "put" || c.Verb == "delete"
		if IsDefinitive(err) || ctx.Err() != nil || (write && OutcomeOf(err) != NotDone) {
			return reply, err
		}
	}
	if c.Verb == "watch" {
		bounded, cancel := context.WithCancel(ctx)
		defer cancel()
		r.mu.Lock()
		relayCtx := r.relayCtx
		r.mu.Unlock()
		defer context.AfterFunc(relayCtx, cancel)()
		ctx = bounded
	}
	reply, sent, err := r.forward(ctx, c)
	switch {
	case err == nil && reply.Err() == nil:
		return reply, nil
	case err == nil:
		return reply, oops.In("objects").With("step", "relayed "+c.Verb, "kind", c.Kind).Wrap(reply.Err())
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

// GetStale implements StaleReader. It falls back to Get if the store has no stale reads
// or does not respond directly.
func (r *Relay) GetStale(ctx context.Context, kind, name string) (Object, error) {
	stale, ok := r.direct.(StaleReader)
	if !ok || !r.DirectAvailable() {
		return r.Get(ctx, kind, name)
	}
	bounded, cancel := context.WithTimeout(ctx, minDirectTimeout)
	defer cancel()
	o, err := stale.GetStale(bounded, kind, name)
	if IsDefinitive(err) {
		return o, err
	}
	return r.Get(ctx, kind, name)
}

// Put implements Store.
func (r *Relay) Put(ctx context.Context, kind, name string, expect Version, value any) (Object, error) {
	encoded, err := Encode(value)
	if err != nil {
		return Object{}, oops.In("objects").With("kind", kind).Wrap(err)
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
