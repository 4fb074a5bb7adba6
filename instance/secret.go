package instance

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"regexp"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/upstream"
)

// errKeyInContent refuses a request that would carry a key upstream.
var errKeyInContent = errors.New("a key stands where it would reach an upstream; present it in the Authorization header only")

// maxKeyLike bounds how many texts of one request are checked for being keys.
const maxKeyLike = 16

var (
	keyMark    = []byte("pmx_")
	keyPattern = regexp.MustCompile(`pmx_[0-9A-Za-z]+_[0-9A-Za-z]+`)
)

// holdsKey reports whether text contains a declared key. Text with more
// look-alikes than are checked counts as containing one.
func holdsKey(c *contract.Snapshot, text []byte) bool {
	if !bytes.Contains(text, keyMark) {
		return false
	}
	alike := keyPattern.FindAll(text, maxKeyLike+1)
	for _, one := range alike {
		if _, declared := c.Authenticate(string(one)); declared {
			return true
		}
	}
	return len(alike) > maxKeyLike
}

// plainHoldsKey checks all parts of a plain request that reach its upstream.
func plainHoldsKey(c *contract.Snapshot, request upstream.PlainRequest) bool {
	for _, values := range request.Header {
		for _, value := range values {
			if holdsKey(c, []byte(value)) {
				return true
			}
		}
	}
	return holdsKey(c, []byte(request.Path)) || holdsKey(c, []byte(request.Query)) || holdsKey(c, request.Body)
}

// completionHoldsKey checks all texts of a completion that reach its engine.
func completionHoldsKey(c *contract.Snapshot, body *completionBody) bool {
	texts := append([]string{body.Prompt}, body.Stop...)
	for _, m := range body.Messages {
		texts = append(texts, m.Role, m.Content)
	}
	for _, text := range texts {
		if holdsKey(c, []byte(text)) {
			return true
		}
	}
	return false
}

// callerTrace continues the caller's trace. Only its identifiers are taken: the
// trace state is free text, which would be passed on to upstreams.
func callerTrace(r *http.Request) context.Context {
	carrier := propagation.MapCarrier{"traceparent": r.Header.Get("Traceparent")}
	return otel.GetTextMapPropagator().Extract(r.Context(), carrier)
}
