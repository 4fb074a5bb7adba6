package attempt

import (
	"context"
	"errors"

	"github.com/pomelocross/pomelocross/queue"
	"github.com/pomelocross/pomelocross/upstream"
)

var errCallerStopped = errors.New("caller stopped reading")

// Stream runs a completion and passes its chunks to emit. After a failure it
// resumes on another upstream after the text already emitted. The returned
// Completion holds the output so far even if an *Error is returned.
func (r *Runner) Stream(ctx context.Context, ticket queue.Ticket, request upstream.CompletionRequest, emit func(upstream.Chunk) error) (Completion, error) {
	return r.stream(ctx, ticket, request, Completion{}, emit)
}

// stream runs a completion that continues after prior.
func (r *Runner) stream(ctx context.Context, ticket queue.Ticket, request upstream.CompletionRequest, prior Completion, emit func(upstream.Chunk) error) (Completion, error) {
	r.Budgets.RecordRequest(ticket.Route.Service)
	run := &streamRun{runner: r, ticket: ticket, request: request, emit: emit}
	run.output.Completion = prior
	run.output.text.WriteString(prior.Text)
	previous := NotSent
	for attempt := 1; ; attempt++ {
		tokensBefore := run.output.OutputTokens
		lastErr := run.runAttempt(ctx)
		if lastErr == nil {
			return run.output.build(), nil
		}
		mergeOutcome(previous, lastErr)
		previous = lastErr.Outcome
		if attempt == MaxAttempts || !run.mayResume(ctx, lastErr, tokensBefore) {
			return run.output.build(), lastErr
		}
		r.exclude(&run.ticket.Route, lastErr.Upstream)
	}
}

// streamRun is the state of one completion across its attempts.
type streamRun struct {
	runner  *Runner
	ticket  queue.Ticket
	request upstream.CompletionRequest
	emit    func(upstream.Chunk) error
	output  completionBuilder
	grant   *queue.Grant // of the current attempt
}

// mayResume reports whether the completion may be resumed with another attempt.
// If the last attempt generated tokens, resuming is not deducted from the retry
// budget: the next attempt generates the rest and repeats nothing.
func (s *streamRun) mayResume(ctx context.Context, lastErr *Error, tokensBefore int) bool {
	progressed := s.output.OutputTokens > tokensBefore
	if progressed && ctx.Err() == nil && !errors.Is(lastErr.Err, errCallerStopped) {
		return true
	}
	return s.runner.mayRetry(ctx, s.ticket.Route.Service, lastErr, true)
}

// runAttempt waits for a slot of an upstream and requests the remaining output from
// it.
func (s *streamRun) runAttempt(ctx context.Context) *Error {
	grant, acquireErr := s.runner.acquire(ctx, s.ticket)
	if acquireErr != nil {
		return acquireErr
	}
	s.grant = grant
	tokensBefore := s.output.OutputTokens
	defer func() { grant.Release(int64(s.output.OutputTokens - tokensBefore)) }()
	ctx, span := startAttempt(ctx, grant.Upstream)
	defer span.End()
	s.request.Resume, s.request.ResumedTokens = s.output.text.String(), tokensBefore
	err := s.runner.Client.Complete(ctx, grant.Upstream.Address, s.request, s.emitChunk)
	grant.Observe(isUpstreamFault(ctx, err))
	return s.runner.finishAttempt(span, grant.Upstream, err)
}

// emitChunk adds a chunk to the output and passes it to the caller.
func (s *streamRun) emitChunk(chunk upstream.Chunk) error {
	s.grant.FirstToken()
	s.output.add(&chunk)
	if err := s.emit(chunk); err != nil {
		return errors.Join(errCallerStopped, err)
	}
	return nil
}

// isUpstreamFault reports whether err counts as a failure of the upstream. Errors
// caused by the caller do not, nor do refusals, which are normal under load.
func isUpstreamFault(ctx context.Context, err error) bool {
	return err != nil && ctx.Err() == nil && !errors.Is(err, errCallerStopped) && Classify(err) != Refused
}
