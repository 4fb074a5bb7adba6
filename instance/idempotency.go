package instance

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"github.com/pomelocross/pomelocross/attempt"
	"github.com/pomelocross/pomelocross/idempotency"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/route"
	"github.com/pomelocross/pomelocross/upstream"
)

// IdempotencyKeyHeader is the request header with the caller's idempotency key.
const IdempotencyKeyHeader = "Idempotency-Key"

// keySettleReads is the number of MembersIntervals after which an instance may
// record idempotency keys: by then its view of the members agrees with that of its
// peers.
const keySettleReads = 5

// watchMembers passes the current members to the idempotency coordinator at each
// MembersInterval.
func (i *Instance) watchMembers(ctx context.Context) {
	for ctx.Err() == nil {
		view := i.view.Load()
		i.coordinator.Observe(i.self(), view.Domain.Entries())
		sleep(ctx, i.settings.MembersInterval)
	}
}

// hasAlternative reports whether the request's domain has an upstream that is not
// leaving and that the request does not exclude.
func (i *Instance) hasAlternative(request route.Request) bool {
	return slices.ContainsFunc(i.view.Load().Upstream.ByService(request.Service), func(u upstream.Upstream) bool {
		return u.Domain == request.Domain && u.Role == objects.RoleUpstream && !u.Leaving && !slices.Contains(request.Exclude, u.Name)
	})
}

// idempotencyKey returns the idempotency key of a request, or an empty string if
// none applies: GET and HEAD are safe to repeat, and open routes have no team to
// separate keys by.
func idempotencyKey(r *http.Request, admitted *request) string {
	if r.Method == http.MethodGet || r.Method == http.MethodHead || admitted.key.Team == "" {
		return ""
	}
	return r.Header.Get(IdempotencyKeyHeader)
}

// runWithKey executes a plain request under its idempotency key. It returns
// ran = false if the response comes from an earlier or concurrent request with the
// same key.
func (i *Instance) runWithKey(ctx context.Context, admitted *request, value string, plain upstream.PlainRequest) (response upstream.PlainAnswer, ran bool, err error) {
	key := idempotency.Key{Team: admitted.key.Team, Value: value}
	fingerprint := idempotency.FingerprintOf(admitted.service.Name, plain.Method, plain.Path, plain.Query, plain.Header.Get("Content-Type"), string(plain.Body))
	var runErr error
	stored, err := i.coordinator.Do(ctx, key, fingerprint, func(ctx context.Context) (idempotency.Answer, idempotency.State) {
		ran = true
		ctx, cancel := detach(ctx)
		defer cancel()
		var response upstream.PlainAnswer
		response, runErr = i.runner.Plain(ctx, admitted.ticket(i.settings.Domain, plainCost), plain, admitted.route.Idempotent)
		return idempotency.Answer(response), keyState(runErr)
	})
	if errors.Is(err, idempotency.ErrRunFailed) {
		err = runErr
	}
	i.traffic.countKey(keyResult(ran, err))
	return upstream.PlainAnswer(stored), ran, err
}

// keyResult returns the result label that counts a request with a key.
func keyResult(ran bool, err error) string {
	switch {
	case err != nil:
		return "failed"
	case ran:
		return "run"
	}
	return "joined"
}

// detach returns a context that is not canceled when the caller disconnects, so
// that a retry finds the response. It keeps the deadline of ctx and is canceled when
// the API key is withdrawn.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	detached, cancel := context.WithCancel(context.WithoutCancel(ctx))
	if deadline, ok := ctx.Deadline(); ok {
		detached, cancel = context.WithDeadline(context.WithoutCancel(ctx), deadline)
	}
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), errKeyWithdrawn) {
			cancel()
		}
	})
	return detached, func() {
		stop()
		cancel()
	}
}

func keyState(err error) idempotency.State {
	var attemptErr *attempt.Error
	switch {
	case err == nil:
		return idempotency.Done
	case errors.As(err, &attemptErr) && attemptErr.Outcome.NotRun():
		return idempotency.NotRun
	}
	return idempotency.Unknown
}
