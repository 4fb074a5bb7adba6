package attempt

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/pomelocross/pomelocross/queue"
	"github.com/pomelocross/pomelocross/route"
	"github.com/pomelocross/pomelocross/upstream"
)

// MaxAttempts is the maximum number of attempts for one request.
const MaxAttempts = 4

// Runner sends the requests of one instance to upstreams, with retries.
type Runner struct {
	Client *upstream.Client
	// Queue returns the queue of a service, or nil if the service is not declared.
	Queue func(service string) *queue.Queue
	// Budgets limits retries; nil allows up to MaxAttempts for every request.
	Budgets *Budgets
	// Alternative reports whether there is an upstream that the request does
	// not exclude; nil means that there always is one.
	Alternative func(route.Request) bool
	// Observe is called with the service and outcome of each attempt, unless nil.
	Observe func(service string, outcome Outcome)
}

var tracer = otel.Tracer("github.com/pomelocross/pomelocross/attempt")

// mayRetry reports whether a request may be retried after lastErr. A retry after
// NotSent is not deducted from the budget, since the attempt put no load on its
// upstream.
func (r *Runner) mayRetry(ctx context.Context, service string, lastErr *Error, idempotent bool) bool {
	if ctx.Err() != nil || lastErr.Upstream == "" || errors.Is(lastErr.Err, errCallerStopped) {
		return false
	}
	if lastErr.Outcome == NotSent {
		return true
	}
	if lastErr.Outcome == Unknown && !idempotent {
		return false
	}
	return r.Budgets.TryRetry(service)
}

// mergeOutcome sets the outcome of lastErr to that of all attempts so far. If the
// request may have been executed by an earlier attempt, the outcome of that attempt
// is kept.
func mergeOutcome(previous Outcome, lastErr *Error) {
	if !previous.NotRun() {
		lastErr.Outcome = previous
	}
}

// exclude adds a failed upstream to the exclusions of the request. If that would
// exclude every upstream, it clears the exclusions instead, so that the request
// does not wait for an upstream that does not exist.
func (r *Runner) exclude(request *route.Request, upstreamName string) {
	request.Exclude = append(request.Exclude, upstreamName)
	if r.Alternative != nil && !r.Alternative(*request) {
		request.Exclude = nil
	}
}

// acquire waits in the service's queue for a slot of an upstream.
func (r *Runner) acquire(ctx context.Context, ticket queue.Ticket) (*queue.Grant, *Error) {
	ctx, span := tracer.Start(ctx, "queue", trace.WithAttributes(attribute.String("service", ticket.Route.Service)))
	defer span.End()
	serviceQueue := r.Queue(ticket.Route.Service)
	if serviceQueue == nil {
		return nil, &Error{Outcome: NotSent, Err: queue.ErrNoUpstream}
	}
	grant, err := serviceQueue.Acquire(ctx, ticket)
	if err != nil {
		return nil, &Error{Outcome: NotSent, Err: err}
	}
	return grant, nil
}

// startAttempt starts the span of an attempt at u.
func startAttempt(ctx context.Context, u upstream.Upstream) (context.Context, trace.Span) {
	return tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("upstream", u.Name), attribute.String("domain", u.Domain)))
}

// finishAttempt records the outcome of an attempt in span and Observe, and
// converts err to an *Error. It returns nil if err is nil.
func (r *Runner) finishAttempt(span trace.Span, u upstream.Upstream, err error) *Error {
	outcome := Classify(err)
	span.SetAttributes(attribute.String("outcome", outcome.String()))
	if r.Observe != nil {
		r.Observe(u.Service, outcome)
	}
	if err == nil {
		return nil
	}
	attemptErr := &Error{Outcome: outcome, Upstream: u.Name, Err: err}
	var refused *upstream.RefusedError
	if errors.As(err, &refused) {
		attemptErr.RetryAfter = refused.RetryAfter
	}
	return attemptErr
}
