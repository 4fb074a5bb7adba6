package instance

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/pomelocross/pomelocross/attempt"
	"github.com/pomelocross/pomelocross/idempotency"
	"github.com/pomelocross/pomelocross/intake"
	"github.com/pomelocross/pomelocross/internal/httpjson"
	"github.com/pomelocross/pomelocross/queue"
)

// defaultRetryAfter is the Retry-After sent if neither the queue nor the upstream
// suggests a longer one.
const defaultRetryAfter = time.Second

// maxRetryAfter limits the Retry-After sent to callers.
const maxRetryAfter = time.Minute

// statusClientClosedRequest is the status that nginx logs for a caller that
// disconnected. It is never sent.
const statusClientClosedRequest = 499

var errKeyTooLong = errors.New("the Idempotency-Key is longer than 256 bytes")

// errorResponse is a response with an error status.
type errorResponse struct {
	status     int
	code       string
	message    string
	notRun     bool
	retryAfter time.Duration
}

func (e *errorResponse) write(w http.ResponseWriter) {
	httpjson.WriteError(w, e.status, e.body(), e.retryAfter)
}

// body returns the JSON body. It masks keys, since a message may quote text from
// the request.
func (e *errorResponse) body() httpjson.Error {
	return httpjson.Error{Code: e.code, Message: keyPattern.ReplaceAllLiteralString(e.message, "[key]"), NotRun: e.notRun}
}

func keyRejected() *errorResponse {
	return &errorResponse{status: http.StatusUnauthorized, code: "key_refused", message: "the key is missing, unknown or withdrawn", notRun: true}
}

// badRequest returns the response to a request that is invalid, or whose body was not read because
// there is no room for it.
func badRequest(err error) *errorResponse {
	if errors.Is(err, intake.ErrNoRoom) {
		return &errorResponse{status: http.StatusServiceUnavailable, code: "no_room", message: "too many large requests", notRun: true, retryAfter: defaultRetryAfter}
	}
	return &errorResponse{status: http.StatusBadRequest, code: "bad_request", message: err.Error(), notRun: true}
}

// notServing returns an error response if the instance accepts no requests at
// present, otherwise nil.
func (i *Instance) notServing(view *View) *errorResponse {
	switch {
	case i.rejecting.Load():
		return &errorResponse{status: http.StatusServiceUnavailable, code: "draining", message: "the instance is stopping", notRun: true, retryAfter: defaultRetryAfter}
	case view.Contract == nil:
		return &errorResponse{status: http.StatusServiceUnavailable, code: "no_configuration", message: "the instance has no configuration yet", notRun: true, retryAfter: defaultRetryAfter}
	}
	return nil
}

// requestError returns the response to a request that failed with err.
func requestError(ctx context.Context, err error) *errorResponse {
	response := &errorResponse{status: http.StatusBadGateway, code: "outcome_unknown", message: "an upstream failed after the request was sent"}
	var attemptErr *attempt.Error
	if errors.As(err, &attemptErr) {
		response.notRun, response.retryAfter = attemptErr.Outcome.NotRun(), attemptErr.RetryAfter
	}
	switch {
	case errors.Is(cause(ctx), errKeyWithdrawn):
		response.status, response.code, response.message, response.retryAfter = http.StatusUnauthorized, "key_refused", errKeyWithdrawn.Error(), 0
		return response
	case errors.Is(err, context.DeadlineExceeded), errors.Is(ctx.Err(), context.DeadlineExceeded):
		response.status, response.code, response.message = http.StatusGatewayTimeout, "deadline", "the deadline passed"
	case errors.Is(err, context.Canceled):
		response.status, response.code, response.message = statusClientClosedRequest, "caller_gone", "the caller left"
	case errors.Is(err, queue.ErrFull):
		response.status, response.code, response.message = http.StatusTooManyRequests, "queue_full", queue.ErrFull.Error()
	case errors.Is(err, queue.ErrDeadline):
		response.status, response.code, response.message = http.StatusTooManyRequests, "queue_late", queue.ErrDeadline.Error()
	case errors.Is(err, queue.ErrNoUpstream):
		response.status, response.code, response.message = http.StatusServiceUnavailable, "no_upstream", queue.ErrNoUpstream.Error()
	case setKeyError(response, err):
		return response
	case response.notRun:
		response.status, response.code, response.message = http.StatusServiceUnavailable, "refused", "no upstream took the request"
	default:
		return response // no Retry-After: the outcome is unknown, and repeating the request may do harm
	}
	response.retryAfter = retryDelay(err, response.retryAfter)
	return response
}

// retryDelay returns the Retry-After: the longer of requested, which comes from the
// upstream, and the delay that err suggests, but at least defaultRetryAfter and at
// most maxRetryAfter.
func retryDelay(err error, requested time.Duration) time.Duration {
	var hint interface{ RetryAfter() time.Duration }
	if errors.As(err, &hint) {
		requested = max(requested, hint.RetryAfter())
	}
	return min(max(requested, defaultRetryAfter), maxRetryAfter)
}

// setKeyError fills in the response for an error concerning an idempotency key. It
// returns false for other errors.
func setKeyError(response *errorResponse, err error) bool {
	switch {
	case errors.Is(err, errKeyTooLong):
		response.status, response.code, response.notRun = http.StatusBadRequest, "bad_request", true
	case errors.Is(err, idempotency.ErrMismatch):
		response.status, response.code, response.notRun = http.StatusUnprocessableEntity, "key_reused", true
	case errors.Is(err, idempotency.ErrUnavailable):
		response.status, response.code, response.notRun, response.retryAfter = http.StatusServiceUnavailable, "key_unavailable", true, defaultRetryAfter
	case errors.Is(err, idempotency.ErrUndecided):
		response.status, response.code, response.retryAfter = http.StatusServiceUnavailable, "key_undecided", defaultRetryAfter
	case errors.Is(err, idempotency.ErrNotKept):
		response.status, response.code = http.StatusConflict, "answer_not_kept"
	case errors.Is(err, idempotency.ErrUnknown):
		response.status, response.code = http.StatusConflict, "outcome_unknown"
	default:
		return false
	}
	response.message = err.Error()
	return true
}

// cause returns errKeyWithdrawn if ctx ended because the key was withdrawn,
// otherwise the error of ctx.
func cause(ctx context.Context) error {
	if err := context.Cause(ctx); errors.Is(err, errKeyWithdrawn) {
		return err
	}
	return ctx.Err()
}
