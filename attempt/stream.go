package attempt

import (
	"context"
	"errors"

	"github.com/pomelocross/pomelocross/queue"
	"github.com/pomelocross/pomelocross/upstream"
)

var errCaller = errors.New("caller stopped reading")

// Stream runs a completion and hands its chunks to emit. After a failure it
// resumes on another upstream behind the text already emitted. The Completion
// holds what was produced, also when an *Error is returned.
func (r *Runner) Stream(ctx context.Context, ticket queue.Ticket, request upstream.CompletionRequest, emit func(upstream.Chunk) error) (Completion, error) {
	return r.stream(ctx, ticket, request, Completion{}, emit)
}

// stream runs a completion behind begun.
func (r *Runner) stream(ctx context.Context, ticket queue.Ticket, request upstream.CompletionRequest, begun Completion, emit func(upstream.Chunk) error) (Completion, error) {
	r.Budgets.Request(ticket.Route.Service)
	run := &streamRun{runner: r, ticket: ticket, request: request, emit: emit}
	run.produced.Completion = begun
	run.produced.text.WriteString(begun.Text)
	earlier := NotSent
	for attempt := 1; ; attempt++ {
		before := run.produced.OutputTokens
		last := run.once(ctx)
		if last == nil {
			return run.produced.whole(), nil
		}
		worse(earlier, last)
		earlier = last.Outcome
		if attempt == MaxAttempts || !run.mayResume(ctx, last, before) {
			return run.produced.whole(), last
		}
		r.exclude(&run.ticket.Route, last.Upstream)
	}
}

// streamRun is one completion over its attempts.
type streamRun struct {
	runner   *Runner
	ticket   queue.Ticket
	request  upstream.CompletionRequest
	emit     func(upstream.Chunk) error
	produced progress
	grant    *queue.Grant // of the attempt under way
}

// mayResume decides whether to go on elsewhere. An attempt that produced tokens
// does not spend budget: what follows is the rest of the work, not a repeat.
func (s *streamRun) mayResume(ctx context.Context, last *Error, before int) bool {
	moved := s.produced.OutputTokens > before
	if moved && ctx.Err() == nil && !errors.Is(last.Err, errCaller) {
		return true
	}
	return s.runner.mayRetry(ctx, s.ticket.Route.Service, last, true)
}

func (s *streamRun) once(ctx context.Context) *Error {
	grant, failed := s.runner.acquire(ctx, s.ticket)
	if failed != nil {
		return failed
	}
	s.grant = grant
	before := s.produced.OutputTokens
	defer func() { grant.Release(int64(s.produced.OutputTokens - before)) }()
	ctx, span := startAttempt(ctx, grant.Upstream)
	defer span.End()
	s.request.Resume, s.request.ResumedTokens = s.produced.text.String(), before
	err := s.runner.Client.Complete(ctx, grant.Upstream.Address, s.request, s.take)
	grant.Observe(blames(ctx, err))
	return s.runner.finishAttempt(span, grant.Upstream, err)
}

func (s *streamRun) take(chunk upstream.Chunk) error {
	s.grant.FirstToken()
	s.produced.add(&chunk)
	if err := s.emit(chunk); err != nil {
		return errors.Join(errCaller, err)
	}
	return nil
}

// blames reports whether err is the upstream's failure: not the caller's, and
// not a refusal, which an upstream may give for good reason.
func blames(ctx context.Context, err error) bool {
	return err != nil && ctx.Err() == nil && !errors.Is(err, errCaller) && Classify(err) != Refused
}
