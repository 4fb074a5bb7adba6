package idempotency

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/objects"
)

// Service is the name under which a Holder is registered with net/rpc.
const Service = "Idempotency"

const (
	// callTimeout bounds one call to a holder.
	callTimeout = time.Second
	// awaitTimeout bounds one call of Await.
	awaitTimeout = awaitSlice + callTimeout
	// maxClaims bounds how often one request claims its key.
	maxClaims = 8
)

// Caller calls a method of a peer. link.Dialer is one.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Run sends a request upstream and returns Done with its answer, Unknown or
// NotRun.
type Run func(ctx context.Context) (Answer, State)

// Coordinator runs requests with keys for one instance.
type Coordinator struct {
	holder *Holder
	caller Caller
	number atomic.Uint64

	mu   sync.Mutex // guards self
	self objects.Member
}

// New returns a coordinator. What it knows counts once it has run for settle,
// which must exceed the time by which instances' views of membership differ.
func New(caller Caller, clock clockwork.Clock, settle time.Duration, limits Limits) *Coordinator {
	return &Coordinator{holder: newHolder(clock, uuid.NewString(), settle, limits), caller: caller}
}

// Holder returns what to register with net/rpc under Service.
func (c *Coordinator) Holder() *Holder { return c.holder }

// Observe tells of the membership; self is this instance.
func (c *Coordinator) Observe(self objects.Member, members []objects.Member) {
	c.mu.Lock()
	c.self = self
	c.mu.Unlock()
	c.holder.observe(members)
}

func (c *Coordinator) me() objects.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.self
}

// Do returns the answer of the one run of key: of run, if the key is new, or of
// an earlier one. After an error other than ErrRun, run was not called.
func (c *Coordinator) Do(ctx context.Context, key Key, fingerprint Fingerprint, run Run) (Answer, error) {
	if c.holder.young() {
		return Answer{}, ErrUndecided
	}
	for range maxClaims {
		record := Record{Fingerprint: fingerprint, Run: RunID{c.holder.incarnation, c.number.Add(1)}, Runner: c.me()}
		if !c.holder.begin(record) {
			return Answer{}, ErrUndecided
		}
		claim := c.claim(ctx, key, record)
		if claim.err == nil && claim.found == nil {
			return c.execute(ctx, key, record, claim.members, run)
		}
		c.giveBack(key, record, claim.members)
		if claim.err != nil {
			return Answer{}, claim.err
		}
		answer, again, err := c.join(ctx, key, *claim.found, fingerprint)
		if !again {
			return answer, err
		}
	}
	return Answer{}, ErrUndecided
}

// execute runs the request and tells the holders what became of it.
func (c *Coordinator) execute(ctx context.Context, key Key, record Record, members []objects.Member, run Run) (Answer, error) {
	answer, state := run(ctx)
	record.State, record.Answer, record.Kept = state, answer, state == Done
	c.holder.end(record)
	c.settle(key, record, members)
	if state == Done {
		return answer, nil
	}
	return Answer{}, ErrRunFailed
}

// giveBack takes back the claims of a run that does not happen.
func (c *Coordinator) giveBack(key Key, record Record, members []objects.Member) {
	record.State = NotRun
	c.settle(key, record, members)
	c.holder.end(record)
}

// settle tells holders of the end of a run, all at once. A holder that misses it
// sends retries to the runner instead.
func (c *Coordinator) settle(key Key, record Record, members []objects.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var telling sync.WaitGroup
	for _, m := range members {
		telling.Go(func() { _ = c.call(ctx, m, "Settle", SettleCall{key, record}, &struct{}{}) })
	}
	telling.Wait()
}

// claimed is the result of a claim: nothing found and no error when the run may
// begin. Members are all that may have recorded it.
type claimed struct {
	members []objects.Member
	found   *Record
	err     error
}

// claim records a run at the key's present holders, which must all do so, and
// at its earlier ones, of each set of which one must answer: no earlier run can
// then have been recorded by all the holders that it needed. The order of names
// lets two claims of one key meet at the first holder that both ask.
func (c *Coordinator) claim(ctx context.Context, key Key, record Record) claimed {
	current, earlier := c.holder.holdersFor(key)
	work := &claiming{coordinator: c, key: key, record: record, earlier: earlier, answered: map[string]bool{}, recorded: map[string]bool{}}
	work.add(current)
	for _, set := range earlier {
		work.add(set)
	}
	found := work.run(ctx)
	if found != nil {
		return claimed{members: work.asked, found: found}
	}
	return claimed{members: work.asked, err: work.decide(current)}
}

// claiming is one claim under way.
type claiming struct {
	coordinator *Coordinator
	key         Key
	record      Record
	pending     []objects.Member // by name
	asked       []objects.Member
	earlier     [][]objects.Member
	answered    map[string]bool // did not know the key
	recorded    map[string]bool // knows it now
}

// decide tells whether the run may begin after no holder knew the key.
func (w *claiming) decide(current []objects.Member) error {
	answered := func(m objects.Member) bool { return w.answered[m.Name] }
	if !slices.ContainsFunc(current, answered) {
		return ErrUndecided
	}
	for _, set := range w.earlier {
		if !slices.ContainsFunc(set, answered) {
			return ErrUnknown
		}
	}
	if slices.ContainsFunc(current, func(m objects.Member) bool { return !w.recorded[m.Name] }) {
		return ErrUnavailable
	}
	return nil
}

// add puts members on the list unless they have been asked.
func (w *claiming) add(set []objects.Member) {
	for _, m := range set {
		known := func(other objects.Member) bool { return other.Name == m.Name }
		if !slices.ContainsFunc(w.pending, known) && !slices.ContainsFunc(w.asked, known) {
			w.pending = append(w.pending, m)
		}
	}
	slices.SortFunc(w.pending, byName)
}

// run asks all holders in order until one knows the key.
func (w *claiming) run(ctx context.Context) *Record {
	for len(w.pending) > 0 {
		member := w.pending[0]
		w.pending = w.pending[1:]
		w.asked = append(w.asked, member)
		if found := w.ask(ctx, member); found != nil {
			return found
		}
	}
	return nil
}

func (w *claiming) ask(ctx context.Context, member objects.Member) *Record {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply ClaimReply
	if err := w.coordinator.call(ctx, member, "Claim", ClaimCall{w.key, w.record}, &reply); err != nil {
		return nil // counts as not answered
	}
	if reply.Verdict == Found {
		return &reply.Record
	}
	w.recorded[member.Name] = reply.Verdict == Claimed
	w.answered[member.Name] = reply.Verdict == Claimed || reply.Verdict == Full
	w.earlier = append(w.earlier, reply.Earlier...)
	for _, set := range reply.Earlier {
		w.add(set)
	}
	return nil
}

// join answers a retry from the record of the first. It asks to try again when
// the run that was recorded did not happen.
func (c *Coordinator) join(ctx context.Context, key Key, found Record, fingerprint Fingerprint) (answer Answer, again bool, err error) {
	if found.Fingerprint != fingerprint {
		return Answer{}, false, ErrMismatch
	}
	for found.State == Running {
		if ctx.Err() != nil {
			return Answer{}, false, ErrUnknown
		}
		state, err := c.await(ctx, found)
		if err != nil {
			return Answer{}, false, ErrUnknown
		}
		found.State, found.Answer, found.Kept = state.State, state.Answer, state.Kept
	}
	switch {
	case found.State == NotRun:
		c.giveBackOther(key, found)
		return Answer{}, true, nil
	case found.State == Unknown:
		return Answer{}, false, ErrUnknown
	case !found.Kept:
		return Answer{}, false, ErrNotKept
	}
	return found.Answer, false, nil
}

func (c *Coordinator) await(ctx context.Context, found Record) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	var reply AwaitReply
	if err := c.call(ctx, found.Runner, "Await", AwaitCall{found.Run}, &reply); err != nil {
		return Record{}, err // the reply may still be written to after a timeout
	}
	return reply.Record, nil
}

// giveBackOther clears the record of a run that its runner says did not happen.
func (c *Coordinator) giveBackOther(key Key, found Record) {
	current, earlier := c.holder.holdersFor(key)
	members := current
	for _, set := range earlier {
		members = append(members, set...)
	}
	c.settle(key, found, members)
}

// call calls a member's holder, here without a connection.
func (c *Coordinator) call(ctx context.Context, member objects.Member, method string, args, reply any) error {
	if member.Name != c.me().Name {
		return c.caller.Call(ctx, member.Peer, Service+"."+method, args, reply)
	}
	switch args := args.(type) {
	case ClaimCall:
		return c.holder.Claim(args, reply.(*ClaimReply))
	case SettleCall:
		return c.holder.Settle(args, nil)
	case AwaitCall:
		return c.holder.Await(args, reply.(*AwaitReply))
	}
	return oops.In("idempotency").Errorf("no method %s", method)
}
