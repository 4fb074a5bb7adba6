package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/roster"
	"github.com/pomelocross/pomelocross/telemetry"
	"github.com/pomelocross/pomelocross/upstream"
)

// Sink takes a stream for its caller.
type Sink interface {
	// Begin passes the head of the answer on; it is called once.
	Begin(*upstream.Reply) error
	Event(upstream.Event) error
}

// StreamAnswer is how a stream ended.
type StreamAnswer struct {
	Answer
	// Whole says that the sink has the stream to its end.
	Complete bool
	Err      error // why it is not whole
}

var errSink = errors.New("the caller stopped reading")

// streamSilence is how long an upstream may be silent before a stream that may be
// resumed goes on at another.
const streamSilence = 1500 * time.Millisecond

// Stream forwards a request whose answer is a stream. One that may be resumed
// goes on at another upstream after its last event, under the head of the first.
func (f *Forwarder) Stream(ctx context.Context, r Request, sink Sink) StreamAnswer {
	if r.Budget > 0 {
		bounded, cancel := context.WithTimeout(ctx, r.Budget)
		defer cancel()
		ctx = bounded
	}
	s := &streaming{forwarder: f, request: r, sink: sink, service: r.Route.ServiceOf(rand.Float64()), avoid: map[string]bool{}, ends: f.Clock.Now().Add(r.Budget)}
	answer := s.run(ctx)
	if f.OnRun != nil && r.Team != "" && s.tally.MayHaveRun {
		f.OnRun(r.Team, s.begun)
	}
	return answer
}

// streaming is one stream over its sendings.
type streaming struct {
	forwarder *Forwarder
	request   Request
	sink      Sink
	service   string
	avoid     map[string]bool
	tally     Tally
	begun     time.Time
	ends      time.Time
	passed    bool  // the head was passed on
	last      int64 // id of the last event passed on
	events    int
}

func (s *streaming) run(ctx context.Context) StreamAnswer {
	var err error
	unsent := 0
	for s.mayGoOn(unsent) && ctx.Err() == nil {
		var outcome Outcome
		var failed *Answer
		outcome, failed, err = s.once(ctx)
		if outcome == Answered {
			return StreamAnswer{Complete: true, Answer: Answer{Tally: s.tally}}
		}
		if failed != nil {
			return StreamAnswer{Answer: *failed}
		}
		if outcome == NotSent {
			unsent++
		}
		s.forwarder.Log.Info("stream did not come whole", zap.String("request", s.request.ID), zap.Stringer("outcome", outcome),
			zap.Int("events", s.events), zap.Int("sent", s.tally.Sent), telemetry.Error(err))
		if errors.Is(err, errSink) || errors.Is(err, errNobody) {
			break
		}
	}
	final := GiveUp(s.tally, ctx.Err() != nil, leastPause+rand.N(pauseSpread))
	return StreamAnswer{Answer: Answer{Final: final, Tally: s.tally}, Err: err}
}

// mayGoOn reports whether the stream may be sent once more.
func (s *streaming) mayGoOn(unsent int) bool {
	return s.tally.Sent == 0 && unsent <= maxUnsent || MaySend(s.tally, s.request.Route) && unsent <= maxUnsent
}

var errNobody = errors.New("no upstream has room")

// once sends the stream to one upstream. failed is an upstream's own answer that
// is no stream.
func (s *streaming) once(ctx context.Context) (outcome Outcome, failed *Answer, err error) {
	f, now := s.forwarder, s.forwarder.Clock.Now()
	need := roster.Need{Service: s.service, Model: s.request.Model, Domain: f.Domain, Overflow: true, Avoid: s.avoid}
	choice, ok := f.Roster.Pick(need, now)
	if !ok {
		return NotSent, nil, errNobody
	}
	s.avoid[choice.ID], s.begun = true, now
	s.tally.Sent++
	s.tally.Open++
	defer func() { s.tally.Note(outcome) }()
	f.Roster.Begin(choice.ID, s.request.ID, roster.Memory{})
	defer f.Roster.End(choice.ID, s.request.ID)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := time.AfterFunc(time.Hour, cancel)
	defer watch.Stop()
	if s.request.Route.Resumable {
		watch.Reset(streamSilence)
	}
	reply, err := f.Upstreams.Forward(ctx, upstream.Target{ID: choice.ID, Address: choice.Address}, s.forward(now))
	if err != nil {
		r := f.unanswered(ctx, choice, err)
		return r.outcome, nil, err
	}
	defer reply.Body.Close()
	switch {
	case reply.NotRun:
		f.Roster.MarkFull(choice.ID, now, refusedPause)
		return Refused, nil, nil
	case reply.ID != s.request.ID:
		return f.broke(ctx, choice), nil, errCrossed
	case reply.Status != http.StatusOK:
		return s.notStream(ctx, choice, reply)
	}
	err = s.pass(reply, func() { watch.Reset(streamSilence) })
	if err == io.EOF {
		f.Roster.MarkSucceeded(choice.ID)
		return Answered, nil, nil
	}
	return f.broke(ctx, choice), nil, err
}

// notStream passes an upstream's own failure on, if the stream has not begun.
func (s *streaming) notStream(ctx context.Context, choice roster.Choice, reply *upstream.Reply) (Outcome, *Answer, error) {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswerBytes))
	if err != nil || s.passed {
		return s.forwarder.broke(ctx, choice), nil, err
	}
	if reply.Status >= http.StatusInternalServerError && s.request.Route.Resumable && s.tally.Sent < s.request.Route.Attempts {
		return Failed, nil, oops.In("forward").With("peer", choice.ID).Errorf("upstream answered status %d", reply.Status)
	}
	return Failed, &Answer{Final: Final{Status: reply.Status}, Header: reply.Header, Body: body, From: choice.ID, Tally: s.tally}, nil
}

func (s *streaming) forward(now time.Time) upstream.Forward {
	forward := s.request.Forward
	if forward.Budget > 0 {
		forward.Budget = s.ends.Sub(now)
	}
	if s.events > 0 {
		last := s.last
		forward.LastEventID = &last
	}
	return forward
}

// pass hands the events of an answer on until its end, which is io.EOF.
func (s *streaming) pass(reply *upstream.Reply, alive func()) error {
	if !s.passed {
		s.passed = true
		if err := s.sink.Begin(reply); err != nil {
			return errors.Join(errSink, err)
		}
	}
	for {
		event, err := reply.Next()
		if err != nil {
			return err
		}
		alive()
		if s.events > 0 && event.ID != s.last+1 {
			return oops.In("forward").With("event", event.ID, "last", s.last).Errorf("an event is missing or doubled")
		}
		s.events, s.last = s.events+1, event.ID
		if err := s.sink.Event(event); err != nil {
			return errors.Join(errSink, err)
		}
	}
}
