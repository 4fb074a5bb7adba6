package instance

import (
	"context"
	"io"
	"net/http"

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
	answer, err := i.runner.Plain(ctx, admitted.ticket(i.settings.Domain, plainCost), upstream.PlainRequest{
		Method: r.Method, Path: r.URL.Path, Query: withoutKeys(r), Header: upstream.AllowedHeaders(r.Header), Body: body,
	}, admitted.route.Idempotent)
	if err != nil {
		failed := failure(ctx, err)
		i.counters.request(admitted.route.Name, admitted.key.Team, failed.code)
		failed.write(w)
		return
	}
	i.usage.meter.Add(admitted.key.Team, admitted.service.Name, i.clock.Now(), 0, 0)
	i.usage.commit(ctx)
	i.counters.request(admitted.route.Name, admitted.key.Team, "ok")
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
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
