package gateway

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/forward"
	"github.com/pomelocross/pomelocross/telemetry"
	"github.com/pomelocross/pomelocross/upstream"
)

// serveStream forwards a request that is answered by events, as they come.
func (g *Gateway) serveStream(w http.ResponseWriter, r *http.Request, request forward.Request) {
	out := &streamWriter{to: w, flush: http.NewResponseController(w)}
	answer := g.forward.Stream(r.Context(), request, out)
	switch {
	case answer.Complete:
		return
	case out.begun:
		// Only a reset tells that an answer which has begun is not whole.
		g.log.Info("stream broke off", zap.String("request", request.ID), zap.Int("sent", answer.Tally.Sent), telemetry.Error(answer.Err))
		panic(http.ErrAbortHandler)
	case r.Context().Err() != nil:
		panic(http.ErrAbortHandler)
	case answer.Header != nil:
		copyHeader(w.Header(), answer.Header)
		w.WriteHeader(answer.Status)
		_, _ = w.Write(answer.Body) // the caller may have left; nothing follows
	default:
		g.refuse(w, r, refusal{answer.Status, "no upstream answered", answer.RetryAfter})
	}
}

// streamWriter passes events on. It implements forward.Sink.
type streamWriter struct {
	to    http.ResponseWriter
	flush *http.ResponseController
	begun bool
}

// Begin implements forward.Sink.
func (s *streamWriter) Begin(reply *upstream.Reply) error {
	s.begun = true
	copyHeader(s.to.Header(), reply.Header)
	s.to.WriteHeader(reply.Status)
	return s.flush.Flush()
}

// Event implements forward.Sink.
func (s *streamWriter) Event(e upstream.Event) error {
	if _, err := s.to.Write(e.Raw); err != nil {
		return err
	}
	return s.flush.Flush()
}
