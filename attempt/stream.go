package attempt

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/pomelocross/pomelocross/queue"
	"github.com/pomelocross/pomelocross/upstream"
)

// MaxAttempts bounds how often one request is sent.
const MaxAttempts = 4

// Range is a run of tokens produced by one weight version.
type Range struct {
	WeightVersion int64 `json:"weightVersion"`
	Tokens        int   `json:"tokens"`
}

// Completion is the whole answer of engines to one request.
type Completion struct {
	Text         string  `json:"text"`
	Ranges       []Range `json:"ranges"`
	FinishReason string  `json:"finishReason"`
	PromptTokens int     `json:"promptTokens"`
	OutputTokens int     `json:"outputTokens"`
}

func (c *Completion) add(chunk upstream.Chunk) {
	c.Text += chunk.Text
	c.OutputTokens += chunk.Tokens
	c.FinishReason = chunk.FinishReason
	if chunk.PromptTokens > 0 {
		c.PromptTokens = chunk.PromptTokens
	}
	if chunk.Tokens == 0 {
		return
	}
	last := len(c.Ranges) - 1
	if last >= 0 && c.Ranges[last].WeightVersion == chunk.WeightVersion {
		c.Ranges[last].Tokens += chunk.Tokens
		return
	}
	c.Ranges = append(c.Ranges, Range{WeightVersion: chunk.WeightVersion, Tokens: chunk.Tokens})
}

// Runner runs requests for one instance.
type Runner struct {
	Client *upstream.Client
	// Queue returns the queue of a service, or nil when it is not declared.
	Queue func(service string) *queue.Queue
}

var tracer = otel.Tracer("github.com/pomelocross/pomelocross/attempt")

// Stream runs a completion and hands its chunks to emit. After a failure it
// resumes on another upstream behind the text already emitted. The Completion
// holds what was produced, also when an *Error is returned.
func (r *Runner) Stream(ctx context.Context, ticket queue.Ticket, request upstream.CompletionRequest, emit func(upstream.Chunk) error) (Completion, error) {
	return r.stream(ctx, ticket, request, Completion{}, emit)
}

func (r *Runner) stream(ctx context.Context, ticket queue.Ticket, request upstream.CompletionRequest, whole Completion, emit func(upstream.Chunk) error) (Completion, error) {
	var last *Error
	for range MaxAttempts {
		request.Resume, request.ResumedTokens = whole.Text, whole.OutputTokens
		last = r.streamOnce(ctx, &ticket, request, &whole, emit)
		if last == nil {
			return whole, nil
		}
		if ctx.Err() != nil || last.Upstream == "" || errors.Is(last.Err, errCaller) {
			break
		}
		ticket.Route.Exclude = append(ticket.Route.Exclude, last.Upstream)
	}
	if whole.OutputTokens > 0 {
		last.Outcome = Unknown
	}
	return whole, last
}

var errCaller = errors.New("caller stopped reading")

func (r *Runner) streamOnce(ctx context.Context, ticket *queue.Ticket, request upstream.CompletionRequest, whole *Completion, emit func(upstream.Chunk) error) *Error {
	grant, failed := r.acquire(ctx, *ticket)
	if failed != nil {
		return failed
	}
	before := whole.OutputTokens
	defer func() { grant.Release(int64(whole.OutputTokens - before)) }()
	ctx, span := startAttempt(ctx, grant.Upstream)
	defer span.End()
	err := r.Client.Complete(ctx, grant.Upstream.Address, request, func(chunk upstream.Chunk) error {
		whole.add(chunk)
		if err := emit(chunk); err != nil {
			return errors.Join(errCaller, err)
		}
		return nil
	})
	return finishAttempt(span, grant.Upstream, err)
}

func (r *Runner) acquire(ctx context.Context, ticket queue.Ticket) (*queue.Grant, *Error) {
	ctx, span := tracer.Start(ctx, "queue", trace.WithAttributes(attribute.String("service", ticket.Route.Service)))
	defer span.End()
	waiting := r.Queue(ticket.Route.Service)
	if waiting == nil {
		return nil, &Error{Outcome: NotSent, Err: queue.ErrNoService}
	}
	grant, err := waiting.Acquire(ctx, ticket)
	if err != nil {
		return nil, &Error{Outcome: NotSent, Err: err}
	}
	return grant, nil
}

func startAttempt(ctx context.Context, u upstream.Upstream) (context.Context, trace.Span) {
	return tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("upstream", u.Name), attribute.String("domain", u.Domain)))
}

func finishAttempt(span trace.Span, u upstream.Upstream, err error) *Error {
	outcome := Classify(err)
	span.SetAttributes(attribute.String("outcome", outcome.String()))
	if err == nil {
		return nil
	}
	return &Error{Outcome: outcome, Upstream: u.Name, Err: err}
}
