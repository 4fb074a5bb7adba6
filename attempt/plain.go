package attempt

import (
	"context"

	"github.com/pomelocross/pomelocross/queue"
	"github.com/pomelocross/pomelocross/upstream"
)

// Plain sends a request to a plain service and returns the complete response. A
// request that is not idempotent is retried only if it is known not to have been
// executed. Errors are of type *Error.
func (r *Runner) Plain(ctx context.Context, ticket queue.Ticket, request upstream.PlainRequest, idempotent bool) (upstream.PlainAnswer, error) {
	r.Budgets.RecordRequest(ticket.Route.Service)
	previous := NotSent
	for attempt := 1; ; attempt++ {
		response, lastErr := r.attemptPlain(ctx, ticket, request)
		if lastErr == nil {
			return response, nil
		}
		mergeOutcome(previous, lastErr)
		previous = lastErr.Outcome
		if attempt == MaxAttempts || !r.mayRetry(ctx, ticket.Route.Service, lastErr, idempotent) {
			return upstream.PlainAnswer{}, lastErr
		}
		r.exclude(&ticket.Route, lastErr.Upstream)
	}
}

// attemptPlain waits for a slot of an upstream and sends the request once.
func (r *Runner) attemptPlain(ctx context.Context, ticket queue.Ticket, request upstream.PlainRequest) (upstream.PlainAnswer, *Error) {
	grant, acquireErr := r.acquire(ctx, ticket)
	if acquireErr != nil {
		return upstream.PlainAnswer{}, acquireErr
	}
	defer grant.Release(ticket.Cost)
	ctx, span := startAttempt(ctx, grant.Upstream)
	defer span.End()
	response, err := r.Client.Plain(ctx, grant.Upstream.Address, request)
	grant.Observe(isUpstreamFault(ctx, err))
	return response, r.finishAttempt(span, grant.Upstream, err)
}
