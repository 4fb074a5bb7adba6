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

// Service is the net/rpc service name under which a Holder is registered.
const Service = "Idempotency"

const (
	// callTimeout is the timeout of one call to a holder.
	callTimeout = time.Second
	// awaitCallTimeout is the timeout of one call of Await.
	awaitCallTimeout = maxAwait + callTimeout
	// maxClaimAttempts is the maximum number of times that one request claims its
	// key.
	maxClaimAttempts = 8
)

// Caller calls an RPC method of a peer. link.Dialer implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Run sends a request to an upstream. It returns the response and Done, or no response
// and Unknown or NotRun.
type Run func(ctx context.Context) (Answer, State)

// Coordinator executes requests with an Idempotency-Key for one instance.
type Coordinator struct {
	holder        *Holder
	caller        Caller
	lastRunNumber atomic.Uint64

	mu   sync.Mutex // guards self
	self objects.Member
}

// New returns a coordinator. Until warmUp has passed, it rejects requests and claims,
// because it may have missed earlier records. warmUp must exceed the time by which
// the instances' views of the membership can differ.
func New(caller Caller, clock clockwork.Clock, warmUp time.Duration, limits Limits) *Coordinator {
	return &Coordinator{holder: newHolder(clock, uuid.NewString(), warmUp, limits), caller: caller}
}

// Holder returns the receiver to register with net/rpc under Service.
func (c *Coordinator) Holder() *Holder { return c.holder }

// Observe updates the membership; self is this instance.
func (c *Coordinator) Observe(self objects.Member, members []objects.Member) {
	c.mu.Lock()
	c.self = self
	c.mu.Unlock()
	c.holder.observeMembers(members)
}

// localMember returns the member entry of this instance.
func (c *Coordinator) localMember() objects.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.self
}

// Do calls run if the key is new and returns its response. Otherwise it returns the
// response of the earlier run with the key. If it returns an error other than
// ErrRunFailed, run was not called.
func (c *Coordinator) Do(ctx context.Context, key Key, fingerprint Fingerprint, run Run) (Answer, error) {
	if c.holder.warmingUp() {
		return Answer{}, ErrUndecided
	}
	for range maxClaimAttempts {
		record := Record{Fingerprint: fingerprint, Run: RunID{c.holder.incarnation, c.lastRunNumber.Add(1)}, Runner: c.localMember()}
		if !c.holder.beginRun(record) {
			return Answer{}, ErrUndecided
		}
		result := c.claim(ctx, key, record)
		if result.err == nil && result.found == nil {
			return c.execute(ctx, key, record, result.members, run)
		}
		c.releaseClaims(key, record, result.members)
		if result.err != nil {
			return Answer{}, result.err
		}
		response, retry, err := c.resolveRetry(ctx, key, *result.found, fingerprint)
		if !retry {
			return response, err
		}
	}
	return Answer{}, ErrUndecided
}

// execute calls run and reports the outcome to the holders.
func (c *Coordinator) execute(ctx context.Context, key Key, record Record, members []objects.Member, run Run) (Answer, error) {
	response, state := run(ctx)
	record.State, record.Answer, record.Kept = state, response, state == Done
	c.holder.endRun(record)
	c.sendSettle(key, record, members)
	if state == Done {
		return response, nil
	}
	return Answer{}, ErrRunFailed
}

// releaseClaims removes the claims of a run that is not started.
func (c *Coordinator) releaseClaims(key Key, record Record, members []objects.Member) {
	record.State = NotRun
	c.sendSettle(key, record, members)
	c.holder.endRun(record)
}

// sendSettle reports the outcome of a run to holders in parallel. A holder that does
// not receive it refers retries to the runner.
func (c *Coordinator) sendSettle(key Key, record Record, members []objects.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, m := range members {
		calls.Go(func() { _ = c.call(ctx, m, "Settle", SettleCall{key, record}, &struct{}{}) })
	}
	calls.Wait()
}

// claimResult is the result of a claim. The run may start if found and err are nil.
type claimResult struct {
	members []objects.Member // all that may have recorded the claim
	found   *Record          // record of an earlier run
	err     error
}

// claim records a run at the holders of key under the current membership and under
// earlier ones. All current holders must record it, and at least one holder of each
// earlier set must respond. This guarantees that no earlier run was recorded by all the
// holders that it needed. Holders are called in the order of their names, so that
// concurrent claims of one key conflict at the first holder that both call.
func (c *Coordinator) claim(ctx context.Context, key Key, record Record) claimResult {
	current, earlier := c.holder.holdersFor(key)
	round := &claimRound{coordinator: c, key: key, record: record, earlier: earlier, notFoundAt: map[string]bool{}, recordedAt: map[string]bool{}}
	round.enqueue(current)
	for _, set := range earlier {
		round.enqueue(set)
	}
	found := round.run(ctx)
	if found != nil {
		return claimResult{members: round.contacted, found: found}
	}
	return claimResult{members: round.contacted, err: round.checkResponses(current)}
}

// claimRound is the state of one claim.
type claimRound struct {
	coordinator *Coordinator
	key         Key
	record      Record
	pending     []objects.Member // not contacted yet, sorted by name
	contacted   []objects.Member
	earlier     [][]objects.Member // sets of holders under earlier memberships
	notFoundAt  map[string]bool    // holders without a record of the key, by name
	recordedAt  map[string]bool    // holders that recorded this run, by name
}

// checkResponses returns nil if the run may start. It requires that no holder had a
// record of the key.
func (r *claimRound) checkResponses(current []objects.Member) error {
	notFound := func(m objects.Member) bool { return r.notFoundAt[m.Name] }
	if !slices.ContainsFunc(current, notFound) {
		return ErrUndecided
	}
	for _, set := range r.earlier {
		if !slices.ContainsFunc(set, notFound) {
			return ErrUnknown
		}
	}
	if slices.ContainsFunc(current, func(m objects.Member) bool { return !r.recordedAt[m.Name] }) {
		return ErrUnavailable
	}
	return nil
}

// enqueue adds members to pending unless they are pending or were contacted.
func (r *claimRound) enqueue(set []objects.Member) {
	for _, m := range set {
		sameName := func(other objects.Member) bool { return other.Name == m.Name }
		if !slices.ContainsFunc(r.pending, sameName) && !slices.ContainsFunc(r.contacted, sameName) {
			r.pending = append(r.pending, m)
		}
	}
	slices.SortFunc(r.pending, byName)
}

// run calls all holders in order until one has a record of the key.
func (r *claimRound) run(ctx context.Context) *Record {
	for len(r.pending) > 0 {
		member := r.pending[0]
		r.pending = r.pending[1:]
		r.contacted = append(r.contacted, member)
		if found := r.claimAt(ctx, member); found != nil {
			return found
		}
	}
	return nil
}

// claimAt claims the key at member. It returns the record of an earlier run if there
// is one.
func (r *claimRound) claimAt(ctx context.Context, member objects.Member) *Record {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply ClaimReply
	if err := r.coordinator.call(ctx, member, "Claim", ClaimCall{r.key, r.record}, &reply); err != nil {
		return nil // counts as no response
	}
	if reply.Verdict == Found {
		return &reply.Record
	}
	r.recordedAt[member.Name] = reply.Verdict == Claimed
	r.notFoundAt[member.Name] = reply.Verdict == Claimed || reply.Verdict == TableFull
	r.earlier = append(r.earlier, reply.Earlier...)
	for _, set := range reply.Earlier {
		r.enqueue(set)
	}
	return nil
}

// resolveRetry returns the response for a retry from the record of the earlier run,
// and waits for that run if it is in progress. If that run was not executed, retry is
// true and the caller claims the key again.
func (c *Coordinator) resolveRetry(ctx context.Context, key Key, found Record, fingerprint Fingerprint) (response Answer, retry bool, err error) {
	if found.Fingerprint != fingerprint {
		return Answer{}, false, ErrMismatch
	}
	for found.State == Running {
		if ctx.Err() != nil {
			return Answer{}, false, ErrUnknown
		}
		outcome, err := c.await(ctx, found)
		if err != nil {
			return Answer{}, false, ErrUnknown
		}
		found.State, found.Answer, found.Kept = outcome.State, outcome.Answer, outcome.Kept
	}
	switch {
	case found.State == NotRun:
		c.releaseOther(key, found)
		return Answer{}, true, nil
	case found.State == Unknown:
		return Answer{}, false, ErrUnknown
	case !found.Kept:
		return Answer{}, false, ErrNotKept
	}
	return found.Answer, false, nil
}

// await asks the runner for the outcome of a run. The returned record is Running if
// the run has not ended after maxAwait.
func (c *Coordinator) await(ctx context.Context, found Record) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, awaitCallTimeout)
	defer cancel()
	var reply AwaitReply
	if err := c.call(ctx, found.Runner, "Await", AwaitCall{found.Run}, &reply); err != nil {
		return Record{}, err // reply is not used: after a timeout it may still be written to
	}
	return reply.Record, nil
}

// releaseOther removes the records of another request's run that, according to its
// runner, was not executed.
func (c *Coordinator) releaseOther(key Key, found Record) {
	current, earlier := c.holder.holdersFor(key)
	members := current
	for _, set := range earlier {
		members = append(members, set...)
	}
	c.sendSettle(key, found, members)
}

// call calls a method of a member's holder. It calls the holder of this instance
// directly, without a connection.
func (c *Coordinator) call(ctx context.Context, member objects.Member, method string, args, reply any) error {
	if member.Name != c.localMember().Name {
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
	return oops.In("idempotency").Errorf("unknown method %s", method)
}
