package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/catalog"
	"github.com/pomelocross/pomelocross/roster"
	"github.com/pomelocross/pomelocross/telemetry"
	"github.com/pomelocross/pomelocross/upstream"
)

// maxAnswerBytes bounds an answer, which is kept whole before it is passed on.
const maxAnswerBytes = 16 << 20

// Forwarder passes requests on.
type Forwarder struct {
	Domain    string
	Roster    *roster.Roster
	Upstreams upstream.Forwarder
	Clock     clockwork.Clock
	Log       *zap.Logger
	// Began is told once of each request that begins to run or may have.
	OnRun func(team string, at time.Time)
	// Record is told of each sending.
	OnAttempt func(o Outcome, took time.Duration)
}

// Request is a caller's request whose route is known.
type Request struct {
	upstream.Forward
	Route catalog.Route
	Model string
}

// Answer is what the caller gets.
type Answer struct {
	Final
	Header http.Header // of the upstream's answer; nil when it is ours
	Body   []byte
	From   string // upstream that answered
	Tally  Tally
}

// result is one sending's outcome.
type result struct {
	outcome  Outcome
	upstream string
	reply    *upstream.Reply
	body     []byte
	err      error
}

// Do forwards a request and returns the answer for its caller.
func (f *Forwarder) Do(ctx context.Context, r Request) Answer {
	patience := Patience(r.Route, r.Budget)
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel() // ends sendings whose answer is no longer wanted
	w := &work{
		forwarder: f, request: r, service: r.Route.ServiceOf(rand.Float64()),
		deadline: f.Clock.Now().Add(patience), budgetEnds: f.Clock.Now().Add(r.Budget),
		results: make(chan result, r.Route.Attempts+maxUnsent+1), avoid: map[string]bool{},
	}
	answer := w.run(ctx)
	if f.OnRun != nil && r.Team != "" && (answer.Tally.MayHaveRun || answer.Tally.Open > 0) {
		f.OnRun(r.Team, w.begun)
	}
	return answer
}

// maxUnsent bounds the sendings that never left, which do not count as attempts.
const maxUnsent = 3

// work is one request over its sendings.
type work struct {
	forwarder  *Forwarder
	request    Request
	service    string
	deadline   time.Time
	budgetEnds time.Time
	results    chan result
	avoid      map[string]bool // upstreams that were tried
	tally      Tally
	unsent     int
	begun      time.Time // of the last sending
	failed     *result   // the last answer of failure, which is better than ours
}

func (w *work) run(ctx context.Context) Answer {
	if !w.send(ctx) {
		return w.giveUp(false)
	}
	for {
		hedge, hedged := Hedge(w.tally, w.request.Route, w.deadline.Sub(w.forwarder.Clock.Now()))
		timer := neverFires
		if hedged {
			timer = w.forwarder.Clock.After(hedge)
		}
		select {
		case r := <-w.results:
			if answer, final := w.take(ctx, r); final {
				return answer
			}
		case <-timer:
			w.send(ctx)
		case <-ctx.Done():
			return w.giveUp(true)
		}
	}
}

var neverFires = make(<-chan time.Time)

// take takes in a result and says whether it settles the request.
func (w *work) take(ctx context.Context, r result) (Answer, bool) {
	w.tally.Note(r.outcome)
	if r.outcome == Answered {
		return w.answer(r), true
	}
	if r.outcome == NotSent {
		w.unsent++
	}
	if r.outcome == Failed {
		w.failed = &r
	}
	w.forwarder.Log.Info("sending did not succeed", zap.String("request", w.request.ID), zap.String("route", w.request.Route.Name),
		zap.String("upstream", r.upstream), zap.Stringer("outcome", r.outcome), zap.Int("sent", w.tally.Sent), telemetry.Error(r.err))
	if w.unsent <= maxUnsent && MaySend(w.tally, w.request.Route) && w.send(ctx) {
		return Answer{}, false
	}
	if w.tally.Open > 0 {
		return Answer{}, false
	}
	return w.giveUp(false), true
}

func (w *work) answer(r result) Answer {
	return Answer{Final: Final{Status: r.reply.Status}, Header: r.reply.Header, Body: r.body, From: r.upstream, Tally: w.tally}
}

// giveUp ends the request without success.
func (w *work) giveUp(late bool) Answer {
	if w.failed != nil {
		return w.answer(*w.failed)
	}
	return Answer{Final: GiveUp(w.tally, late, w.comeBack()), Tally: w.tally}
}

// Bounds of the pause that refused callers are told, spread so that they do not
// return together.
const (
	leastPause  = 150 * time.Millisecond
	pauseSpread = 350 * time.Millisecond
)

func (w *work) comeBack() time.Duration { return leastPause + rand.N(pauseSpread) }

// send sends the request to one more upstream and reports whether it did.
func (w *work) send(ctx context.Context) bool {
	f := w.forwarder
	if !MaySend(w.tally, w.request.Route) || ctx.Err() != nil {
		return false
	}
	now := f.Clock.Now()
	need := roster.Need{Service: w.service, Model: w.request.Model, Domain: f.Domain, Overflow: true, Avoid: w.avoid}
	choice, ok := f.Roster.Pick(need, now)
	if !ok {
		return false
	}
	w.avoid[choice.ID] = true
	w.begun = now
	w.tally.Sent++
	w.tally.Open++
	forward := w.request.Forward
	if forward.Budget > 0 {
		forward.Budget = w.budgetEnds.Sub(now)
	}
	f.Roster.Begin(choice.ID, w.request.ID, roster.Memory{})
	go func() {
		r := f.exchange(ctx, choice, forward)
		f.Roster.End(choice.ID, w.request.ID)
		if f.OnAttempt != nil {
			f.OnAttempt(r.outcome, f.Clock.Now().Sub(now))
		}
		w.results <- r
	}()
	return true
}

var (
	errCrossed  = errors.New("the answer belongs to another request")
	errUnsigned = errors.New("the answer bears no signature of the upstream")
)

// exchange sends a request once and reads the whole answer.
func (f *Forwarder) exchange(ctx context.Context, to roster.Choice, forward upstream.Forward) result {
	reply, err := f.Upstreams.Forward(ctx, upstream.Target{ID: to.ID, Address: to.Address}, forward)
	if err != nil {
		return f.unanswered(ctx, to, err)
	}
	defer reply.Body.Close()
	if reply.Occupancy != nil {
		f.Roster.SetLoad(to.ID, *reply.Occupancy, f.Clock.Now())
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswerBytes+1))
	r := result{upstream: to.ID, reply: reply, body: body, err: err}
	switch {
	case reply.NotRun:
		r.outcome = Refused
		f.Roster.MarkFull(to.ID, f.Clock.Now(), refusedPause)
	case err != nil, len(body) > maxAnswerBytes:
		r.outcome = f.broke(ctx, to)
	case reply.ID != forward.ID:
		r.outcome, r.err = f.broke(ctx, to), errCrossed
	case reply.Status >= http.StatusInternalServerError:
		r.outcome = Failed
		f.Roster.MarkFailed(to.ID, f.Clock.Now())
	case !reply.Signed && reply.Status < http.StatusMultipleChoices:
		r.outcome, r.err = f.broke(ctx, to), errUnsigned
	default:
		r.outcome = Answered
		f.Roster.MarkSucceeded(to.ID)
	}
	return r
}

// refusedPause keeps other requests from an upstream that had no room.
const refusedPause = 50 * time.Millisecond

func (f *Forwarder) unanswered(ctx context.Context, to roster.Choice, err error) result {
	var send *upstream.SendError
	if errors.As(err, &send) && send.NotSent {
		if ctx.Err() == nil {
			f.Roster.MarkFailed(to.ID, f.Clock.Now())
		}
		return result{outcome: NotSent, upstream: to.ID, err: err}
	}
	return result{outcome: f.broke(ctx, to), upstream: to.ID, err: oops.In("forward").With("step", "send", "peer", to.ID).Wrap(err)}
}

// broke notes an answer that did not come whole. One that we gave up says
// nothing of the upstream.
func (f *Forwarder) broke(ctx context.Context, to roster.Choice) Outcome {
	if ctx.Err() == nil {
		f.Roster.MarkFailed(to.ID, f.Clock.Now())
	}
	return Unknown
}
