package upstream

import (
	"bytes"
	"net/http"
)

// singleUseBody is a request body that net/http cannot rewind. With a rewindable
// body, net/http itself resends any GET and any POST with an Idempotency-Key when
// a keep-alive connection breaks, although the upstream may already have executed
// the request.
type singleUseBody struct {
	bytes.Reader
	whole []byte
}

// Close implements io.Closer.
func (*singleUseBody) Close() error { return nil }

// copyUnsent returns a copy of a request of which nothing was sent, to be sent in its place:
// net/http may still be using the request itself. It returns false if the request has another
// kind of body.
func copyUnsent(r *http.Request) (*http.Request, bool) {
	body, ok := r.Body.(*singleUseBody)
	if !ok {
		return nil, false
	}
	again := r.Clone(r.Context())
	setSingleUseBody(again, body.whole)
	return again, true
}

// setSingleUseBody sets the body of r to one that net/http cannot rewind. It does
// so for an empty body too, since net/http would resend a request without a body.
func setSingleUseBody(r *http.Request, body []byte) {
	reader := &singleUseBody{whole: body}
	reader.Reset(body)
	r.Body, r.GetBody = reader, nil
	r.ContentLength = int64(len(body))
}
