package attempt

import (
	"context"

	"github.com/pomelocross/pomelocross/queue"
	"github.com/pomelocross/pomelocross/upstream"
)

// Plain runs a request of a plain service. A request that is not idempotent is
// sent again only when it was surely not run.
func (r *Runner) Plain(ctx context.Context, ticket queue.Ticket, request upstream.PlainRequest, idempotent bool) (upstream.PlainAnswer, error) {
	r.Budgets.Request(ticket.Route.Service)
	earlier := NotSent
	for attempt := 1; ; attempt++ {
		answer, last := r.plainOnce(ctx, ticket, request)
		if last == nil {
			return answer, nil
		}
		worse(earlier, last)
		earlier = last.Outcome
		if attempt == MaxAttempts || !r.mayRetry(ctx, ticket.Route.Service, last, idempotent) {
			return upstream.PlainAnswer{}, last
		}
		r.exclude(&ticket.Route, last.Upstream)
	}
}

func (r *Runner) plainOnce(ctx context.Context, ticket queue.Ticket, request upstream.PlainRequest) (upstream.PlainAnswer, *Error) {
	grant, failed := r.acquire(ctx, ticket)
	if failed != nil {
		return upstream.PlainAnswer{}, failed
	}
	defer grant.Release(ticket.Cost)
	ctx, span := startAttempt(ctx, grant.Upstream)
	defer span.End()
	answer, err := r.Client.Plain(ctx, grant.Upstream.Address, request)
	return answer, r.finishAttempt(span, grant.Upstream, err)
}
