package forward

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/catalog"
	"github.com/pomelocross/pomelocross/quarantine"
	"github.com/pomelocross/pomelocross/roster"
	"github.com/pomelocross/pomelocross/telemetry"
	"github.com/pomelocross/pomelocross/upstream"
)

// Sink receives a streamed response and sends it to the caller.
type Sink interface {
	// Begin sends the status and header of the response. It is called once.
	Begin(*upstream.Reply) error
	// Event sends one event.
	Event(upstream.Event) error
}

// StreamResponse is the result of a stream.
type StreamResponse struct {
	Response
	// Complete reports whether the sink has received the whole stream.
	Complete bool
	Err      error // why the stream is not complete
}

var errCallerStopped = errors.New("caller stopped reading")

// streamIdleTimeout is the time without an event after which a resumable stream is
// continued at another upstream.
const streamIdleTimeout = 1500 * time.Millisecond

// defaultStallTimeout is longer than callers wait for the next event of a sound stream.
const defaultStallTimeout = 30 * time.Second

// idleTimeout returns the time without an event after which an attempt of a stream ends.
func (f *Forwarder) idleTimeout(route catalog.Route) time.Duration {
	if route.Resumable {
		return streamIdleTimeout
	}
	return cmp.Or(f.StallTimeout, defaultStallTimeout)
}

// Stream forwards a request whose response is a stream. A resumable stream that
// breaks off continues at another upstream after its last event; the caller keeps
// the status and header of the first upstream.
func (f *Forwarder) Stream(ctx context.Context, r Request, sink Sink) StreamResponse {
	if r.Budget > 0 {
		bounded, cancel := context.WithTimeout(ctx, r.Budget)
		defer cancel()
		ctx = bounded
	}
	s := &streamRequest{forwarder: f, request: r, sink: sink, service: r.Route.ServiceOf(rand.Float64()), tried: map[string]bool{}, budgetEnds: f.Clock.Now().Add(r.Budget)}
	response := s.run(ctx)
	if f.OnRun != nil && r.Team != "" && s.tally.MayHaveRun {
		f.OnRun(r.Team, s.lastSentAt)
	}
	return response
}

// streamRequest is the state of one stream over all of its attempts.
type streamRequest struct {
	forwarder   *Forwarder
	request     Request
	sink        Sink
	service     string
	tried       map[string]bool
	tally       Tally
	lastSentAt  time.Time
	budgetEnds  time.Time
	headerSent  bool  // status and header were passed to the sink
	lastEventID int64 // ID of the last event passed to the sink
	events      int   // events passed to the sink
}

func (s *streamRequest) run(ctx context.Context) StreamResponse {
	var err error
	unsent := 0
	for s.mayRetry(unsent) && ctx.Err() == nil && s.forwarder.standing(&s.request) != quarantine.Quarantined {
		var outcome Outcome
		var answer *Response
		outcome, answer, err = s.attempt(ctx)
		switch {
		case outcome == Answered && answer == nil:
			s.forwarder.completed(&s.request)
			return StreamResponse{Complete: true, Response: Response{Tally: s.tally}}
		case answer != nil && (outcome == Answered || !MaySend(s.tally, s.request.Route)):
			return StreamResponse{Response: s.forwarder.conclude(&s.request, s.tally, answer, ctx.Err() != nil), Err: err}
		}
		if outcome == NotSent {
			unsent++
		}
		s.forwarder.Log.Info("attempt to forward stream failed", zap.String("request", s.request.ID), zap.Stringer("outcome", outcome),
			zap.Int("events", s.events), zap.Int("sent", s.tally.Sent), telemetry.Error(err))
		if errors.Is(err, errCallerStopped) || errors.Is(err, errNoUpstream) {
			break
		}
	}
	return StreamResponse{Response: s.forwarder.conclude(&s.request, s.tally, nil, ctx.Err() != nil), Err: err}
}

// mayRetry reports whether a further attempt is allowed.
func (s *streamRequest) mayRetry(unsent int) bool {
	return s.tally.Sent == 0 && unsent <= maxUnsent || MaySend(s.tally, s.request.Route) && unsent <= maxUnsent
}

var errNoUpstream = errors.New("no upstream is available")

// attempt sends the request to one upstream and relays the stream. answer is the
// upstream's response if it is complete, is not a stream and no stream has begun.
func (s *streamRequest) attempt(ctx context.Context) (outcome Outcome, answer *Response, err error) {
	f, now := s.forwarder, s.forwarder.Clock.Now()
	need := roster.Need{Service: s.service, Model: s.request.Model, Domain: f.Domain, Overflow: true, Avoid: s.tried, Work: f.predictWork(s.costRequest(), s.events)}
	choice, ok := f.pick(need)
	if !ok {
		return NotSent, nil, errNoUpstream
	}
	s.tried[choice.ID], s.lastSentAt = true, now
	s.tally.Sent++
	s.tally.Open++
	defer func() { s.tally.Add(outcome) }()
	caller, standing := ctx, f.standing(&s.request)
	defer func() {
		if outcome == Unknown {
			f.brokeOff(caller, &s.request, choice, standing, err)
		}
	}()
	defer f.begin(choice, s.request.ID, standing)()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimeout := f.idleTimeout(s.request.Route)
	idleTimer := time.AfterFunc(idleTimeout, cancel)
	defer idleTimer.Stop()
	reply, err := f.Upstreams.Forward(ctx, choice.Target(), s.forward(now))
	if err != nil {
		r := f.sendFailed(ctx, choice, err)
		return r.outcome, nil, err
	}
	defer reply.Body.Close()
	if err := upstream.CheckID(reply.ID, s.request.ID); err != nil {
		return f.incomplete(ctx, choice), nil, err
	}
	switch {
	case reply.NotRun:
		f.Roster.MarkFull(choice.ID, now, refusalBackoff)
		return Refused, nil, nil
	case reply.Status != http.StatusOK:
		return s.handleNonStream(ctx, choice, reply)
	}
	err = s.relay(reply, func() { idleTimer.Reset(idleTimeout) })
	if err == io.EOF {
		f.Roster.MarkSucceeded(choice.ID)
		f.observeWork(s.costRequest(), float64(s.events))
		return Answered, nil, nil
	}
	return f.incomplete(ctx, choice), nil, err
}

// handleNonStream handles a response that is not a stream. It returns it unless it is
// incomplete or a stream has begun.
func (s *streamRequest) handleNonStream(ctx context.Context, choice roster.Choice, reply *upstream.Reply) (Outcome, *Response, error) {
	body, err := s.forwarder.readBody(reply)
	if err == nil && unsignedSuccess(reply) {
		err = errUnsigned
	}
	if err != nil || len(body) > maxResponseBytes || s.headerSent {
		return s.forwarder.incomplete(ctx, choice), nil, err
	}
	r := attemptResult{upstream: choice.ID, reply: reply, body: body, outcome: OutcomeOf(reply.Status, reply.NotRun)}
	if r.outcome != Answered {
		err = oops.In("forward").With("peer", choice.ID).Errorf("upstream returned status %d", reply.Status)
	}
	return r.outcome, r.response(), err
}

// forward returns the request to send at now. If events have been relayed, it requests
// the stream from the event after the last one.
func (s *streamRequest) forward(now time.Time) upstream.Forward {
	forward := s.request.Forward
	if forward.Budget > 0 {
		forward.Budget = s.budgetEnds.Sub(now)
	}
	if s.events > 0 {
		lastEventID := s.lastEventID
		forward.LastEventID = &lastEventID
	}
	return forward
}

// relay passes the events of a response to the sink and calls onEvent for each. It
// returns io.EOF at the end of the stream.
func (s *streamRequest) relay(reply *upstream.Reply, onEvent func()) error {
	if !s.headerSent {
		s.headerSent = true
		if err := s.sink.Begin(reply); err != nil {
			return errors.Join(errCallerStopped, err)
		}
	}
	for {
		event, err := reply.Next()
		if err != nil {
			return err
		}
		onEvent()
		if s.events > 0 && event.ID != s.lastEventID+1 {
			return oops.In("forward").With("event", event.ID, "last", s.lastEventID).Errorf("event is missing or duplicated")
		}
		s.events, s.lastEventID = s.events+1, event.ID
		if err := s.sink.Event(event); err != nil {
			return errors.Join(errCallerStopped, err)
		}
	}
}
