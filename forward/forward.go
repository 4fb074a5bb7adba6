package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/catalog"
	"github.com/pomelocross/pomelocross/cost"
	"github.com/pomelocross/pomelocross/quarantine"
	"github.com/pomelocross/pomelocross/roster"
	"github.com/pomelocross/pomelocross/telemetry"
	"github.com/pomelocross/pomelocross/upstream"
)

// maxResponseBytes limits the size of a response body, which is buffered completely
// before it is returned.
const maxResponseBytes = 16 << 20

// Forwarder forwards requests to the upstreams of a roster.
type Forwarder struct {
	Domain    string // failure domain of the instance
	Roster    *roster.Roster
	Upstreams upstream.Forwarder
	Buffers   *upstream.Buffers // bounds the memory of responses; nil for no bound
	Clock     clockwork.Clock
	Log       *zap.Logger
	// OnRun is called once for each request of a team that ran or may have run, with
	// the time of its last attempt. It may be nil.
	OnRun func(team string, at time.Time)
	// OnAttempt is called after each attempt of a request whose response is not a
	// stream. It may be nil.
	OnAttempt func(o Outcome, took time.Duration)
	// Costs learns the work of requests. It may be nil.
	Costs *cost.Book
	// Guard keeps track of requests that crash upstreams. It may be nil.
	Guard Guard
	// Gone reports whether the process of an upstream has ended. It is required with
	// Guard.
	Gone func(ctx context.Context, e roster.Entry) bool

	// StallTimeout is the time without an event after which a stream that cannot be resumed
	// is given up; 0 for defaultStallTimeout.
	StallTimeout time.Duration

	isolated isolation
}

// Request is a caller's request whose route is known.
type Request struct {
	upstream.Forward
	Route catalog.Route
	Model string
	// ReservedSlots is the number of slots that the request leaves free on its upstream
	// for others. If it is positive, the request is not sent while no upstream has more
	// free slots; 0 allows the request to wait at its upstream.
	ReservedSlots int
	// Digest returns the identity of the request's content, by which requests that crash
	// upstreams are recognised. Requests for which it is nil are never suspected.
	Digest func() quarantine.Digest
}

// Response is the response for the caller.
type Response struct {
	FinalStatus
	Header http.Header // of the upstream's response; nil if there was none
	Body   []byte
	// Signature is the upstream's signature of the response; empty if there was none.
	Signature string
	From      string // ID of the upstream that responded
	Tally     Tally
	// Quarantined is true if the request was rejected because it crashes upstreams.
	Quarantined bool
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome  Outcome
	upstream string // ID of the upstream
	reply    *upstream.Reply
	body     []byte
	err      error
}

// Do forwards a request and returns the response for its caller.
func (f *Forwarder) Do(ctx context.Context, r Request) Response {
	timeout := Timeout(r.Route, r.Budget)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel() // cancels attempts whose response is no longer needed
	p := &plainRequest{
		forwarder: f, request: r, service: r.Route.ServiceOf(rand.Float64()),
		deadline: f.Clock.Now().Add(timeout), budgetEnds: f.Clock.Now().Add(r.Budget),
		results: make(chan attemptResult, r.Route.Attempts+maxUnsent+1), tried: map[string]bool{},
	}
	response := p.run(ctx)
	if f.OnRun != nil && r.Team != "" && (response.Tally.MayHaveRun || response.Tally.Open > 0) {
		f.OnRun(r.Team, p.lastSentAt)
	}
	return response
}

// maxUnsent limits the retries after attempts with outcome NotSent, which do not
// count against the route's Attempts.
const maxUnsent = 3

// plainRequest is the state of one request over all of its attempts.
type plainRequest struct {
	forwarder  *Forwarder
	request    Request
	service    string
	deadline   time.Time
	budgetEnds time.Time
	results    chan attemptResult
	tried      map[string]bool // IDs of the upstreams that were tried
	tally      Tally
	unsent     int       // attempts with outcome NotSent
	lastSentAt time.Time // time of the last attempt
	failure    *Response // last error response of an upstream; preferred over a generated one
}

func (p *plainRequest) run(ctx context.Context) Response {
	if !p.send(ctx) {
		return p.giveUp(false)
	}
	for {
		delay, hedged := HedgeDelay(p.tally, p.request.Route, p.deadline.Sub(p.forwarder.Clock.Now()))
		hedged = hedged && p.forwarder.standing(&p.request) == quarantine.Unsuspected
		timer := neverFires
		if hedged {
			timer = p.forwarder.Clock.After(delay)
		}
		select {
		case r := <-p.results:
			if response, final := p.handle(ctx, r); final {
				return response
			}
		case <-timer:
			p.send(ctx)
		case <-ctx.Done():
			return p.giveUp(true)
		}
	}
}

var neverFires = make(<-chan time.Time)

// handle processes the result of an attempt and sends the request again if
// possible. It reports whether the returned response is final.
func (p *plainRequest) handle(ctx context.Context, r attemptResult) (Response, bool) {
	p.tally.Add(r.outcome)
	if r.outcome == Answered {
		p.forwarder.completed(&p.request)
		return p.forwarder.conclude(&p.request, p.tally, r.response(), false), true
	}
	if r.outcome == NotSent {
		p.unsent++
	}
	if r.outcome == Failed {
		p.failure = r.response()
	}
	p.forwarder.Log.Info("attempt to forward request failed", zap.String("request", p.request.ID), zap.String("route", p.request.Route.Name),
		zap.String("upstream", r.upstream), zap.Stringer("outcome", r.outcome), zap.Int("sent", p.tally.Sent), telemetry.Error(r.err))
	if p.unsent <= maxUnsent && MaySend(p.tally, p.request.Route) && p.send(ctx) {
		return Response{}, false
	}
	if p.tally.Open > 0 {
		return Response{}, false
	}
	return p.giveUp(false), true
}

// response returns the upstream's response as a response for the caller.
func (r *attemptResult) response() *Response {
	return &Response{FinalStatus: FinalStatus{Status: r.reply.Status}, Header: r.reply.Header, Body: r.body, Signature: r.reply.Signature, From: r.upstream}
}

// giveUp returns the response to a request that was not successful.
func (p *plainRequest) giveUp(timedOut bool) Response {
	return p.forwarder.conclude(&p.request, p.tally, p.failure, timedOut)
}

// conclude returns the response to a request that is not sent again. answer is the response of an
// upstream; nil if there is none. It is returned unchanged, or, if its status would promise that
// the request has not run, not at all: whether that is promised follows from the tally alone.
func (f *Forwarder) conclude(r *Request, t Tally, answer *Response, timedOut bool) Response {
	if answer != nil && !promisesNotRun(answer.Status) {
		returned := *answer
		returned.Tally = t
		return returned
	}
	retryAfter, quarantined := minRetryAfter+rand.N(retryAfterSpread), f.standing(r) == quarantine.Quarantined
	if quarantined {
		retryAfter = quarantineRetryAfter
	}
	return Response{FinalStatus: GiveUp(t, timedOut, retryAfter), Tally: t, Quarantined: quarantined}
}

// Range of the Retry-After delay. It is random so that callers do not all retry at
// the same time.
const (
	minRetryAfter    = 150 * time.Millisecond
	retryAfterSpread = 350 * time.Millisecond
)

// send starts an attempt at one more upstream. It returns false if no attempt is
// allowed or no upstream is available.
func (p *plainRequest) send(ctx context.Context) bool {
	f := p.forwarder
	if !MaySend(p.tally, p.request.Route) || ctx.Err() != nil {
		return false
	}
	standing := f.standing(&p.request)
	if !MaySendSuspect(standing, p.tally) {
		return false
	}
	now := f.Clock.Now()
	need := roster.Need{Service: p.service, Model: p.request.Model, Domain: f.Domain, Overflow: p.request.ReservedSlots == 0, ReservedSlots: p.request.ReservedSlots, Avoid: p.tried, Work: f.predictWork(p.costRequest(), 0)}
	choice, ok := f.pick(need)
	if !ok {
		return false
	}
	p.tried[choice.ID] = true
	p.lastSentAt = now
	p.tally.Sent++
	p.tally.Open++
	forward := p.request.Forward
	if forward.Budget > 0 {
		forward.Budget = p.budgetEnds.Sub(now)
	}
	end := f.begin(choice, p.request.ID, standing)
	go func() {
		r := f.exchange(ctx, choice, forward)
		end()
		if r.outcome == Answered && r.reply.Status < http.StatusMultipleChoices {
			f.observeWork(p.costRequest(), float64(f.Clock.Now().Sub(now).Microseconds()))
		}
		if f.OnAttempt != nil {
			f.OnAttempt(r.outcome, f.Clock.Now().Sub(now))
		}
		if r.outcome == Unknown {
			f.brokeOff(ctx, &p.request, choice, standing, r.err)
		}
		p.results <- r
	}()
	return true
}

var (
	errUnsigned = errors.New("response is not signed by the upstream")
	errNoMark   = errors.New("response does not state that the request has not run")
)

// exchange sends a request to one upstream and reads the complete response.
func (f *Forwarder) exchange(ctx context.Context, to roster.Choice, forward upstream.Forward) attemptResult {
	sent := f.Clock.Now()
	reply, err := f.Upstreams.Forward(ctx, to.Target(), forward)
	if err != nil {
		return f.sendFailed(ctx, to, err)
	}
	defer reply.Body.Close()
	if err := upstream.CheckID(reply.ID, forward.ID); err != nil {
		return attemptResult{upstream: to.ID, outcome: f.incomplete(ctx, to), err: err}
	}
	if reply.Occupancy != nil {
		f.Roster.SetLoad(to.ID, *reply.Occupancy, f.Clock.Now())
	}
	body, err := f.readBody(reply)
	r := attemptResult{upstream: to.ID, reply: reply, body: body, err: err, outcome: OutcomeOf(reply.Status, reply.NotRun)}
	switch {
	case r.outcome == Refused:
		f.Roster.MarkFull(to.ID, f.Clock.Now(), refusalBackoff)
	case err != nil, len(body) > maxResponseBytes:
		r.outcome = f.incomplete(ctx, to)
	case r.outcome == Failed:
		f.Roster.MarkFailed(to.ID, f.Clock.Now())
	case r.outcome == Unknown:
		r.err = errNoMark
	case unsignedSuccess(reply):
		r.outcome, r.err = f.incomplete(ctx, to), errUnsigned
	default:
		f.Roster.MarkSucceeded(to.ID)
		now := f.Clock.Now()
		f.Roster.ObserveResponse(to.ID, now.Sub(sent), now)
	}
	return r
}

// unsignedSuccess reports whether a response is a success that the upstream has not signed.
func unsignedSuccess(reply *upstream.Reply) bool {
	return reply.Signature == "" && reply.Status < http.StatusMultipleChoices
}

// readBody reads the body of a response, up to maxResponseBytes+1.
func (f *Forwarder) readBody(reply *upstream.Reply) ([]byte, error) {
	buffer := f.Buffers.Open(func() { _ = reply.Body.Close() }) // ends the read with an error
	defer buffer.Close()
	return buffer.ReadAll(reply.Body, maxResponseBytes)
}

// refusalBackoff is how long no request is sent to an upstream after a refusal.
const refusalBackoff = 50 * time.Millisecond

// sendFailed returns the result of an attempt that failed with err before a
// response was received.
func (f *Forwarder) sendFailed(ctx context.Context, to roster.Choice, err error) attemptResult {
	var sendErr *upstream.SendError
	if errors.As(err, &sendErr) && sendErr.NotSent {
		if ctx.Err() == nil && !errors.Is(err, upstream.ErrWithheld) {
			f.Roster.MarkFailed(to.ID, f.Clock.Now())
		}
		return attemptResult{outcome: NotSent, upstream: to.ID, err: err}
	}
	return attemptResult{outcome: f.incomplete(ctx, to), upstream: to.ID, err: oops.In("forward").With("step", "send", "peer", to.ID).Wrap(err)}
}

// incomplete records an incomplete or invalid response as a failure of the
// upstream, unless the attempt was cancelled.
func (f *Forwarder) incomplete(ctx context.Context, to roster.Choice) Outcome {
	if ctx.Err() == nil {
		f.Roster.MarkFailed(to.ID, f.Clock.Now())
	}
	return Unknown
}
