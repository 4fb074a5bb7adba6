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

// KeyHeader carries a caller's idempotency key.
const KeyHeader = "Idempotency-Key"

// keySettle is after how many readings of the member list an instance may
// record keys: by then its view agrees with its peers'.
const keySettle = 5

// followMembers tells the coordinator of each change of membership.
func (i *Instance) followMembers(ctx context.Context) {
	for ctx.Err() == nil {
		view := i.view.Load()
		i.coordinator.Observe(i.self(), view.Domain.Entries())
		sleep(ctx, i.settings.MembersInterval)
	}
}

// hasAlternative reports whether the domain has an upstream that a request does
// not exclude.
func (i *Instance) hasAlternative(request route.Request) bool {
	return slices.ContainsFunc(i.view.Load().Upstream.ByService(request.Service), func(u upstream.Upstream) bool {
		return u.Domain == request.Domain && u.Role == objects.RoleUpstream && !u.Leaving && !slices.Contains(request.Exclude, u.Name)
	})
}

// keyOf returns a request's idempotency key. Requests of methods that are safe
// to repeat need none, and on open routes there is no team to keep keys apart.
func keyOf(r *http.Request, admitted *request) string {
	if r.Method == http.MethodGet || r.Method == http.MethodHead || admitted.key.Team == "" {
		return ""
	}
	return r.Header.Get(KeyHeader)
}

// runKeyed runs a plain request under its idempotency key.
func (i *Instance) runKeyed(ctx context.Context, admitted *request, value string, plain upstream.PlainRequest) (answer upstream.PlainAnswer, ran bool, err error) {
	key := idempotency.Key{Team: admitted.key.Team, Value: value}
	fingerprint := idempotency.FingerprintOf(admitted.service.Name, plain.Method, plain.Path, plain.Query, plain.Header.Get("Content-Type"), string(plain.Body))
	var failed error
	kept, err := i.coordinator.Do(ctx, key, fingerprint, func(ctx context.Context) (idempotency.Answer, idempotency.State) {
		ran = true
		ctx, cancel := detach(ctx)
		defer cancel()
		var answer upstream.PlainAnswer
		answer, failed = i.runner.Plain(ctx, admitted.ticket(i.settings.Domain, plainCost), plain, admitted.route.Idempotent)
		return idempotency.Answer(answer), stateOf(failed)
	})
	if errors.Is(err, idempotency.ErrRunFailed) {
		err = failed
	}
	i.traffic.key(keyResult(ran, err))
	return upstream.PlainAnswer(kept), ran, err
}

// keyResult is the counter's label for a request with a key.
func keyResult(ran bool, err error) string {
	switch {
	case err != nil:
		return "failed"
	case ran:
		return "run"
	}
	return "joined"
}

// detach lets a run go on when its caller leaves, so that a retry finds its
// answer. The deadline holds, and a withdrawn key ends the run.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	detached, cancel := context.WithCancel(context.WithoutCancel(ctx))
	if deadline, ok := ctx.Deadline(); ok {
		detached, cancel = context.WithDeadline(context.WithoutCancel(ctx), deadline)
	}
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), errWithdrawn) {
			cancel()
		}
	})
	return detached, func() {
		stop()
		cancel()
	}
}

func stateOf(err error) idempotency.State {
	var failed *attempt.Error
	switch {
	case err == nil:
		return idempotency.Done
	case errors.As(err, &failed) && failed.Outcome.NotRun():
		return idempotency.NotRun
	}
	return idempotency.Unknown
}
