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

// MaxAttempts bounds how often one request is sent.
const MaxAttempts = 4

// Runner runs requests for one instance.
type Runner struct {
	Client *upstream.Client
	// Queue returns the queue of a service, or nil when it is not declared.
	Queue func(service string) *queue.Queue
	// Budgets bound retries; nil allows all up to MaxAttempts.
	Budgets *Budgets
	// Alternative reports whether an upstream is left that a request does not
	// exclude; nil means that there always is one.
	Alternative func(route.Request) bool
	// Observe is told each attempt's service and outcome; nil for none.
	Observe func(service string, outcome Outcome)
}

var tracer = otel.Tracer("github.com/pomelocross/pomelocross/attempt")

// mayRetry decides whether a request may be tried again after last. An attempt
// of which nothing left costs its upstream nothing, so it spends no budget.
func (r *Runner) mayRetry(ctx context.Context, service string, last *Error, idempotent bool) bool {
	if ctx.Err() != nil || last.Upstream == "" || errors.Is(last.Err, errCaller) {
		return false
	}
	if last.Outcome == NotSent {
		return true
	}
	if last.Outcome == Unknown && !idempotent {
		return false
	}
	return r.Budgets.Retry(service)
}

// worse keeps the outcome of all attempts of a request: one that may have run
// is not made unrun by a later attempt that did not.
func worse(earlier Outcome, last *Error) {
	if !earlier.NotRun() {
		last.Outcome = earlier
	}
}

// exclude leaves out an upstream that failed, unless none would be left: then
// all may be tried again, rather than wait for one that is not there.
func (r *Runner) exclude(request *route.Request, name string) {
	request.Exclude = append(request.Exclude, name)
	if r.Alternative != nil && !r.Alternative(*request) {
		request.Exclude = nil
	}
}

func (r *Runner) acquire(ctx context.Context, ticket queue.Ticket) (*queue.Grant, *Error) {
	ctx, span := tracer.Start(ctx, "queue", trace.WithAttributes(attribute.String("service", ticket.Route.Service)))
	defer span.End()
	waiting := r.Queue(ticket.Route.Service)
	if waiting == nil {
		return nil, &Error{Outcome: NotSent, Err: queue.ErrNoUpstream}
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

func (r *Runner) finishAttempt(span trace.Span, u upstream.Upstream, err error) *Error {
	outcome := Classify(err)
	span.SetAttributes(attribute.String("outcome", outcome.String()))
	if r.Observe != nil {
		r.Observe(u.Service, outcome)
	}
	if err == nil {
		return nil
	}
	failed := &Error{Outcome: outcome, Upstream: u.Name, Err: err}
	var refused *upstream.RefusedError
	if errors.As(err, &refused) {
		failed.RetryAfter = refused.RetryAfter
	}
	return failed
}
