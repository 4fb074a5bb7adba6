package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"

	"github.com/samber/oops"
)

// MaxPlainBytes bounds the body of a plain request and of its answer.
const MaxPlainBytes = 8 << 20

// forwardedHeaders are the only request headers that reach a plain service.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key"}

// returnedHeaders are the only answer headers that reach the caller.
var returnedHeaders = []string{"Content-Type", "Content-Language", "Etag", "Location", "Retry-After", "Cache-Control"}

// PlainRequest is all that a plain service is told of a request.
type PlainRequest struct {
	Method string
	Path   string
	Query  string // without credentials
	Header http.Header
	Body   []byte
	// RefusalMeansNotRun says that the service is declared to answer 429 and
	// 503 only before any work. Otherwise these are answers like any other.
	RefusalMeansNotRun bool
}

// PlainAnswer is a whole answer of a plain service.
type PlainAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// AllowedHeaders returns the part of header that may reach a plain service.
func AllowedHeaders(header http.Header) http.Header { return pick(header, forwardedHeaders) }

func pick(header http.Header, names []string) http.Header {
	picked := http.Header{}
	for name, values := range header {
		if slices.Contains(names, name) {
			picked[name] = slices.Clone(values)
		}
	}
	return picked
}

// Plain sends a request and reads the whole answer before returning it, so that
// an answer cut short is never passed on as whole.
func (c *Client) Plain(ctx context.Context, address string, request PlainRequest) (PlainAnswer, error) {
	url := "http://" + address + request.Path
	if request.Query != "" {
		url += "?" + request.Query
	}
	r, err := http.NewRequest(request.Method, url, nil)
	if err != nil {
		return PlainAnswer{}, &SendError{NotSent: true, Err: oops.In("upstream").With("step", "build").Wrap(err)}
	}
	r.Header = request.Header.Clone()
	sendOnce(r, request.Body)
	answer, err := c.send(ctx, r)
	if err != nil {
		return PlainAnswer{}, err
	}
	defer answer.Body.Close()
	if request.RefusalMeansNotRun && refuses(answer.StatusCode) {
		return PlainAnswer{}, &RefusedError{Status: answer.StatusCode, RetryAfter: retryAfter(answer.Header)}
	}
	return readPlain(answer, address)
}

func readPlain(answer *http.Response, address string) (PlainAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, MaxPlainBytes+1))
	if err != nil {
		return PlainAnswer{}, oops.In("upstream").With("step", "read", "peer", address).Wrap(errors.Join(ErrCutShort, err))
	}
	if len(body) > MaxPlainBytes {
		return PlainAnswer{}, oops.In("upstream").With("step", "read", "peer", address).Errorf("answer is larger than 8 MiB")
	}
	return PlainAnswer{Status: answer.StatusCode, Header: pick(answer.Header, returnedHeaders), Body: body}, nil
}
