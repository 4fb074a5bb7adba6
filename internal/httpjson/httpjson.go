// Package httpjson writes and reads the JSON bodies of the HTTP interfaces.
package httpjson

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/samber/oops"
)

// Error is the body of every answer with an error status.
type Error struct {
	Code    string `json:"code"` // stable, for programs
	Message string `json:"message"`
	// NotRun is true only when no upstream ran any part of the request.
	NotRun bool `json:"notRun"`
	// RetryAfterSeconds repeats the Retry-After header; 0 when there is none.
	RetryAfterSeconds int `json:"retryAfterSeconds,omitempty"`
}

// Write sends v with a status.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may be gone; nothing is left to tell it
}

// WriteError sends an error body. A retryAfter above zero becomes a
// Retry-After header in whole seconds, rounded up.
func WriteError(w http.ResponseWriter, status int, e Error, retryAfter time.Duration) {
	if retryAfter > 0 {
		e.RetryAfterSeconds = int((retryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(e.RetryAfterSeconds))
	}
	Write(w, status, e)
}

// Read decodes a body of at most limit bytes and refuses unknown fields.
func Read(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return oops.In("httpjson").With("path", r.URL.Path).Wrapf(err, "decode body")
	}
	return nil
}
