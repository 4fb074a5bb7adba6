package instance

import (
	"context"
	"io"
	"net/http"

	"github.com/pomelocross/pomelocross/idempotency"
	"github.com/pomelocross/pomelocross/upstream"
)

// plainCost is what a plain request counts against its team's share.
const plainCost = 1

func (i *Instance) servePlain(ctx context.Context, w http.ResponseWriter, r *http.Request, admitted *request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, upstream.MaxPlainBytes))
	if err != nil {
		(&refusal{status: http.StatusRequestEntityTooLarge, code: "bad_request", message: "the body could not be read or is larger than 8 MiB", notRun: true}).write(w)
		return
	}
	plain := upstream.PlainRequest{
		Method: r.Method, Path: r.URL.Path, Query: withoutKeys(r), Header: upstream.AllowedHeaders(r.Header), Body: body,
		RefusalMeansNotRun: admitted.service.RefusalMeansNotRun,
	}
	if plainHoldsKey(admitted.view.Contract, plain) {
		badRequest(errKeyInContent).write(w)
		return
	}
	answer, ran, err := i.runPlain(ctx, r, admitted, plain)
	if err != nil {
		failed := failure(ctx, err)
		i.counters.request(admitted.route.Name, admitted.key.Team, failed.code)
		failed.write(w)
		return
	}
	if ran {
		i.usage.meter.Add(admitted.key.Team, admitted.service.Name, i.clock.Now(), 0, 0)
		i.usage.commit(ctx)
	}
	i.counters.request(admitted.route.Name, admitted.key.Team, "ok")
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// runPlain returns the answer to a plain request, and whether it ran for it: an
// answer kept from an earlier try is not billed again.
func (i *Instance) runPlain(ctx context.Context, r *http.Request, admitted *request, plain upstream.PlainRequest) (answer upstream.PlainAnswer, ran bool, err error) {
	key := keyOf(r, admitted)
	if key == "" {
		answer, err = i.runner.Plain(ctx, admitted.ticket(i.settings.Domain, plainCost), plain, admitted.route.Idempotent)
		return answer, true, err
	}
	if len(key) > idempotency.MaxKeyBytes {
		return upstream.PlainAnswer{}, false, errKeyTooLong
	}
	return i.runKeyed(ctx, admitted, key, plain)
}

// credentialParameters are query parameters that callers may put keys into.
var credentialParameters = []string{"key", "api_key", "apikey", "access_token", "token"}

// withoutKeys returns the query without parameters that may hold a credential.
func withoutKeys(r *http.Request) string {
	query := r.URL.Query()
	for _, name := range credentialParameters {
		query.Del(name)
	}
	return query.Encode()
}
