// Package httpdrain delivers responses to callers that are still sending their request.
package httpdrain

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// Bounds of the part of a body that is read after its response was sent.
const (
	// maxTime is long enough for a caller on a slow link to finish a body of the
	// maximum size that an instance accepts.
	maxTime  = 2 * time.Second
	maxBytes = 64 << 20
)

// Handler serves requests with next. If next returns before it has read the whole body,
// Handler sends the response and then reads the rest of the body, for a limited time
// and size. Closing the connection earlier would reset it, and the caller, still
// sending, would get an error instead of the response.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		if r.ProtoMajor != 1 || r.Body == nil || r.Body == http.NoBody || controller.EnableFullDuplex() != nil {
			next.ServeHTTP(w, r) // HTTP/2 resets only the stream
			return
		}
		body := &trackedBody{ReadCloser: r.Body}
		r.Body = body
		next.ServeHTTP(w, r)
		awaitsContinue := !body.started && strings.EqualFold(r.Header.Get("Expect"), "100-continue")
		if body.ended || awaitsContinue || controller.Flush() != nil || controller.SetReadDeadline(time.Now().Add(maxTime)) != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, body.ReadCloser, maxBytes) // best effort: the response is already sent
	})
}

// trackedBody is a request body that records whether it was read and reached its end.
type trackedBody struct {
	io.ReadCloser
	started, ended bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.started = true
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err == io.EOF
	return n, err
}
