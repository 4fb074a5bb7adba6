package instance

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/pomelocross/pomelocross/idempotency"
	"github.com/pomelocross/pomelocross/intake"
	"github.com/pomelocross/pomelocross/upstream"
)

// plainCost is the cost of a plain request in its team's fair share of a queue.
const plainCost = 1

func (i *Instance) servePlain(ctx context.Context, w http.ResponseWriter, r *http.Request, admitted *request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, upstream.MaxPlainBytes))
	if errors.Is(err, intake.ErrNoRoom) {
		badRequest(err).write(w)
		return
	}
	if err != nil {
		(&errorResponse{status: http.StatusRequestEntityTooLarge, code: "bad_request", message: "the body could not be read or is larger than 8 MiB", notRun: true}).write(w)
		return
	}
	plain := upstream.PlainRequest{
		Method: r.Method, Path: pathOf(r), Query: queryWithoutCredentials(r), Header: upstream.AllowedHeaders(r.Header), Body: body,
		RefusalMeansNotRun: admitted.service.RefusalMeansNotRun,
	}
	if plainContainsKey(admitted.view.Contract, plain) {
		badRequest(errKeyInContent).write(w)
		return
	}
	response, ran, err := i.runPlain(ctx, r, admitted, plain)
	if err != nil {
		errResponse := requestError(ctx, err)
		i.counters.countRequest(admitted.route.Name, admitted.key.Team, errResponse.code)
		errResponse.write(w)
		return
	}
	if ran {
		i.usage.meter.Add(admitted.key.Team, admitted.service.Name, i.clock.Now(), 0, 0)
		i.usage.awaitCopy(ctx)
	}
	i.counters.countRequest(admitted.route.Name, admitted.key.Team, "ok")
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

// runPlain returns the response to a plain request, and whether the request was
// executed now. A stored response of an earlier request is not billed again.
func (i *Instance) runPlain(ctx context.Context, r *http.Request, admitted *request, plain upstream.PlainRequest) (response upstream.PlainAnswer, ran bool, err error) {
	key := idempotencyKey(r, admitted)
	if key == "" {
		response, err = i.runner.Plain(ctx, admitted.ticket(i.settings.Domain, plainCost), plain, admitted.route.Idempotent)
		return response, true, err
	}
	if len(key) > idempotency.MaxKeyBytes {
		return upstream.PlainAnswer{}, false, errKeyTooLong
	}
	return i.runWithKey(ctx, admitted, key, plain)
}

// credentialParameters are query parameters that may contain keys.
var credentialParameters = []string{"key", "api_key", "apikey", "access_token", "token"}

// queryWithoutCredentials returns the encoded query without credentialParameters.
func queryWithoutCredentials(r *http.Request) string {
	query := r.URL.Query()
	for _, name := range credentialParameters {
		query.Del(name)
	}
	return query.Encode()
}
