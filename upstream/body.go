package upstream

import (
	"bytes"
	"net/http"
)

// onceBody is a request body that net/http cannot rewind. Without it, net/http
// sends a request again by itself when a kept-alive connection breaks after the
// upstream may have run it: any GET, and a POST with an Idempotency-Key.
type onceBody struct{ bytes.Reader }

// Close implements io.Closer.
func (*onceBody) Close() error { return nil }

// sendOnce gives r a body that can be read only once. An empty body keeps the
// type too, since net/http would replay a request without any.
func sendOnce(r *http.Request, body []byte) {
	once := &onceBody{}
	once.Reset(body)
	r.Body, r.GetBody = once, nil
	r.ContentLength = int64(len(body))
}
