package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"

	"github.com/samber/oops"
)

// MaxPlainBytes is the maximum size of the body of a plain request and of its
// response.
const MaxPlainBytes = 8 << 20

// forwardedHeaders lists the request headers that are forwarded to a plain service.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key"}

// returnedHeaders lists the response headers that are returned to the caller.
var returnedHeaders = []string{"Content-Type", "Content-Language", "Etag", "Location", "Retry-After", "Cache-Control"}

// PlainRequest holds all parts of a request that are sent to a plain service.
type PlainRequest struct {
	Method string
	Path   string // with its escapes
	Query  string // without credentials
	Header http.Header
	Body   []byte
	// RefusalMeansNotRun is true if the service is declared to return statuses
	// 429 and 503 only before it executes anything. Otherwise responses with
	// these statuses are passed on like any other.
	RefusalMeansNotRun bool
}

// PlainAnswer is a complete response of a plain service.
type PlainAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// AllowedHeaders returns a copy of the headers that may be forwarded to a plain
// service.
func AllowedHeaders(header http.Header) http.Header { return selectHeaders(header, forwardedHeaders) }

func selectHeaders(header http.Header, names []string) http.Header {
	selected := http.Header{}
	for name, values := range header {
		if slices.Contains(names, name) {
			selected[name] = slices.Clone(values)
		}
	}
	return selected
}

// Plain sends a request and reads the complete response before returning, so that
// a truncated response is never passed on as complete. It returns a *SendError if
// there was no response, and a *RefusedError if the service refused the request.
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
	setSingleUseBody(r, request.Body)
	resp, err := c.send(ctx, r)
	if err != nil {
		return PlainAnswer{}, err
	}
	defer resp.Body.Close()
	answer, err := readPlain(resp, address)
	if err == nil && request.RefusalMeansNotRun && isRefusal(resp.StatusCode) {
		return PlainAnswer{}, &RefusedError{Status: resp.StatusCode, RetryAfter: retryAfter(resp.Header)}
	}
	return answer, err
}

// readPlain reads the body of resp, up to MaxPlainBytes.
func readPlain(resp *http.Response, address string) (PlainAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxPlainBytes+1))
	if err != nil {
		return PlainAnswer{}, oops.In("upstream").With("step", "read", "peer", address).Wrap(errors.Join(ErrTruncated, err))
	}
	if len(body) > MaxPlainBytes {
		return PlainAnswer{}, oops.In("upstream").With("step", "read", "peer", address).Errorf("response is larger than 8 MiB")
	}
	return PlainAnswer{Status: resp.StatusCode, Header: selectHeaders(resp.Header, returnedHeaders), Body: body}, nil
}
