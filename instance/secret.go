package instance

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/url"
	"regexp"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/upstream"
)

// errKeyInContent is returned for a request that would send a key to an upstream.
var errKeyInContent = errors.New("a key stands where it would reach an upstream; present it in the Authorization header only")

// maxKeyCandidates is the number of key-like strings checked in one text.
const maxKeyCandidates = 16

var (
	keyPrefix  = []byte("pmx_")
	keyPattern = regexp.MustCompile(`pmx_[0-9A-Za-z]+_[0-9A-Za-z]+`)
)

// containsKey reports whether text contains a declared key. It also returns true
// for text with more than maxKeyCandidates key-like strings.
func containsKey(c *contract.Snapshot, text []byte) bool {
	if !bytes.Contains(text, keyPrefix) {
		return false
	}
	candidates := keyPattern.FindAll(text, maxKeyCandidates+1)
	for _, candidate := range candidates {
		if _, declared := c.Authenticate(string(candidate)); declared {
			return true
		}
	}
	return len(candidates) > maxKeyCandidates
}

// plainContainsKey checks all parts of a plain request that are sent to the
// upstream.
func plainContainsKey(c *contract.Snapshot, request upstream.PlainRequest) bool {
	for _, values := range request.Header {
		for _, value := range values {
			if containsKey(c, []byte(value)) {
				return true
			}
		}
	}
	if path, err := url.PathUnescape(request.Path); err != nil || containsKey(c, []byte(path)) {
		return true
	}
	return containsKey(c, []byte(request.Query)) || containsKey(c, request.Body)
}

// completionContainsKey checks all texts of a completion request that are sent to
// the engine.
func completionContainsKey(c *contract.Snapshot, body *completionBody) bool {
	texts := append([]string{body.Prompt}, body.Stop...)
	for _, m := range body.Messages {
		texts = append(texts, m.Role, m.Content)
	}
	for _, text := range texts {
		if containsKey(c, []byte(text)) {
			return true
		}
	}
	return false
}

// callerTrace returns a context with the caller's trace ID and span ID. The
// tracestate header is ignored: it is free text that would be forwarded to
// upstreams.
func callerTrace(r *http.Request) context.Context {
	carrier := propagation.MapCarrier{"traceparent": r.Header.Get("Traceparent")}
	return otel.GetTextMapPropagator().Extract(r.Context(), carrier)
}
