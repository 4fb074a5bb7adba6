package attempt

import (
	"context"

	"github.com/pomelocross/pomelocross/queue"
	"github.com/pomelocross/pomelocross/upstream"
)

// Plain runs a request of a plain service. A request that is not idempotent is
// sent again only when it was surely not run.
func (r *Runner) Plain(ctx context.Context, ticket queue.Ticket, request upstream.PlainRequest, idempotent bool) (upstream.PlainAnswer, error) {
	var last *Error
	for range MaxAttempts {
		var answer upstream.PlainAnswer
		answer, last = r.plainOnce(ctx, ticket, request)
		if last == nil {
			return answer, nil
		}
		mayRepeat := last.Outcome.NotRun() || idempotent
		if ctx.Err() != nil || last.Upstream == "" || !mayRepeat {
			break
		}
		ticket.Route.Exclude = append(ticket.Route.Exclude, last.Upstream)
	}
	return upstream.PlainAnswer{}, last
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
	return answer, finishAttempt(span, grant.Upstream, err)
}
