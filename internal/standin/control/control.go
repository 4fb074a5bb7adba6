// Package control has the handlers by which a test steers a stand-in over HTTP.
package control

import (
	"encoding/json"
	"net/http"

	"github.com/pomelocross/pomelocross/internal/httpjson"
)

// Switch returns a handler that decodes a body and hands it to set.
func Switch[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(value)
	}
}

// Show returns a handler that answers with what get returns.
func Show[T any](get func() T) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { Answer(w, get()) }
}

// Answer sends v with status 200.
func Answer(w http.ResponseWriter, v any) { httpjson.Write(w, http.StatusOK, v) }
