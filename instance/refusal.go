package instance

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/pomelocross/pomelocross/attempt"
	"github.com/pomelocross/pomelocross/idempotency"
	"github.com/pomelocross/pomelocross/internal/httpjson"
	"github.com/pomelocross/pomelocross/queue"
)

// busyPause is when callers are told to come back if nothing better is known.
const busyPause = time.Second

// maxRetryAfter bounds when callers are told to come back.
const maxRetryAfter = time.Minute

// statusCallerGone is counted for callers that left; none of them sees it.
const statusCallerGone = 499

var errKeyTooLong = errors.New("the Idempotency-Key is longer than 256 bytes")

// refusal is an answer with an error status.
type refusal struct {
	status     int
	code       string
	message    string
	notRun     bool
	retryAfter time.Duration
}

func (f *refusal) write(w http.ResponseWriter) {
	httpjson.WriteError(w, f.status, f.body(), f.retryAfter)
}

// body returns what the caller reads. Messages may quote the caller's own text,
// in which a key may stand.
func (f *refusal) body() httpjson.Error {
	return httpjson.Error{Code: f.code, Message: keyPattern.ReplaceAllLiteralString(f.message, "[key]"), NotRun: f.notRun}
}

func refuseKey() *refusal {
	return &refusal{status: http.StatusUnauthorized, code: "key_refused", message: "the key is missing, unknown or withdrawn", notRun: true}
}

func badRequest(err error) *refusal {
	return &refusal{status: http.StatusBadRequest, code: "bad_request", message: err.Error(), notRun: true}
}

// refuseAll returns the refusal of an instance that takes no requests now.
func (i *Instance) refuseAll(view *View) *refusal {
	switch {
	case i.refusing.Load():
		return &refusal{status: http.StatusServiceUnavailable, code: "draining", message: "the instance is stopping", notRun: true, retryAfter: busyPause}
	case view.Contract == nil:
		return &refusal{status: http.StatusServiceUnavailable, code: "no_configuration", message: "the instance has no configuration yet", notRun: true, retryAfter: busyPause}
	}
	return nil
}

// failure returns what a caller is told of a request that failed.
func failure(ctx context.Context, err error) *refusal {
	f := &refusal{status: http.StatusBadGateway, code: "outcome_unknown", message: "an upstream failed after the request was sent"}
	var failed *attempt.Error
	if errors.As(err, &failed) {
		f.notRun, f.retryAfter = failed.Outcome.NotRun(), failed.RetryAfter
	}
	switch {
	case errors.Is(cause(ctx), errWithdrawn):
		f.status, f.code, f.message, f.retryAfter = http.StatusUnauthorized, "key_refused", errWithdrawn.Error(), 0
		return f
	case errors.Is(err, context.DeadlineExceeded), errors.Is(ctx.Err(), context.DeadlineExceeded):
		f.status, f.code, f.message = http.StatusGatewayTimeout, "deadline", "the deadline passed"
	case errors.Is(err, context.Canceled):
		f.status, f.code, f.message = statusCallerGone, "caller_gone", "the caller left"
	case errors.Is(err, queue.ErrFull):
		f.status, f.code, f.message = http.StatusTooManyRequests, "queue_full", queue.ErrFull.Error()
	case errors.Is(err, queue.ErrDeadline):
		f.status, f.code, f.message = http.StatusTooManyRequests, "queue_late", queue.ErrDeadline.Error()
	case errors.Is(err, queue.ErrNoUpstream):
		f.status, f.code, f.message = http.StatusServiceUnavailable, "no_upstream", queue.ErrNoUpstream.Error()
	case keyFailure(f, err):
		return f
	case f.notRun:
		f.status, f.code, f.message = http.StatusServiceUnavailable, "refused", "no upstream took the request"
	default:
		return f // run it again only if that does no harm: there is no time to name
	}
	f.retryAfter = comeBack(err, f.retryAfter)
	return f
}

// comeBack returns when to try again: as the queue or the upstream that refused
// says, else after busyPause.
func comeBack(err error, asked time.Duration) time.Duration {
	var hint interface{ RetryAfter() time.Duration }
	if errors.As(err, &hint) {
		asked = max(asked, hint.RetryAfter())
	}
	return min(max(asked, busyPause), maxRetryAfter)
}

// keyFailure fills in f for an error of idempotency keys.
func keyFailure(f *refusal, err error) bool {
	switch {
	case errors.Is(err, errKeyTooLong):
		f.status, f.code, f.notRun = http.StatusBadRequest, "bad_request", true
	case errors.Is(err, idempotency.ErrMismatch):
		f.status, f.code, f.notRun = http.StatusUnprocessableEntity, "key_reused", true
	case errors.Is(err, idempotency.ErrUnavailable):
		f.status, f.code, f.notRun, f.retryAfter = http.StatusServiceUnavailable, "key_unavailable", true, busyPause
	case errors.Is(err, idempotency.ErrUndecided):
		f.status, f.code, f.retryAfter = http.StatusServiceUnavailable, "key_undecided", busyPause
	case errors.Is(err, idempotency.ErrNotKept):
		f.status, f.code = http.StatusConflict, "answer_not_kept"
	case errors.Is(err, idempotency.ErrUnknown):
		f.status, f.code = http.StatusConflict, "outcome_unknown"
	default:
		return false
	}
	f.message = err.Error()
	return true
}

// cause returns why ctx ended, which tells a withdrawn key from a caller that left.
func cause(ctx context.Context) error {
	if err := context.Cause(ctx); errors.Is(err, errWithdrawn) {
		return err
	}
	return ctx.Err()
}
