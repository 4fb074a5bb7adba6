// Package httpjson encodes and decodes the JSON bodies of the HTTP APIs.
package httpjson

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/samber/oops"
)

// Error is the body of every response with an error status.
type Error struct {
	Code    string `json:"code"` // stable, machine-readable
	Message string `json:"message"`
	// NotRun is true only when no upstream ran any part of the request, so that
	// the request can be repeated safely.
	NotRun bool `json:"notRun"`
	// RetryAfterSeconds is the value of the Retry-After header; 0 if it is not set.
	RetryAfterSeconds int `json:"retryAfterSeconds,omitempty"`
}

// Write sends v as JSON with the given status.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the status is already sent; the client may have disconnected
}

// WriteError sends an error body. A positive retryAfter also sets the
// Retry-After header, in whole seconds, rounded up.
func WriteError(w http.ResponseWriter, status int, e Error, retryAfter time.Duration) {
	if retryAfter > 0 {
		e.RetryAfterSeconds = int((retryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(e.RetryAfterSeconds))
	}
	Write(w, status, e)
}

// Read decodes the request body into v. It returns an error for bodies larger
// than limit bytes and for unknown fields.
func Read(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return oops.In("httpjson").With("path", r.URL.Path).Wrapf(err, "decode body")
	}
	return nil
}
