// Package control provides the HTTP handlers through which tests control a
// stand-in.
package control

import (
	"encoding/json"
	"net/http"

	"github.com/pomelocross/pomelocross/internal/httpjson"
)

// ReadJSON returns a handler that decodes the request body and passes it to set.
func ReadJSON[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(value)
	}
}

// ServeJSON returns a handler that responds with the value returned by get.
func ServeJSON[T any](get func() T) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, get()) }
}

// WriteJSON sends v as JSON with status 200.
func WriteJSON(w http.ResponseWriter, v any) { httpjson.Write(w, http.StatusOK, v) }
