package gateway

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/forward"
	"github.com/pomelocross/pomelocross/telemetry"
	"github.com/pomelocross/pomelocross/upstream"
)

// serveStream forwards a request whose response is a stream of events and passes each
// event on as it arrives.
func (g *Gateway) serveStream(w http.ResponseWriter, r *http.Request, request forward.Request) {
	out := &streamWriter{w: w, controller: http.NewResponseController(w)}
	response := g.forward.Stream(r.Context(), request, out)
	switch {
	case response.Complete:
		return
	case out.started:
		// The status is already sent; only a connection reset tells the caller that the
		// response is incomplete.
		g.log.Info("stream aborted before its end", zap.String("request", request.ID), zap.Int("sent", response.Tally.Sent), telemetry.Error(response.Err))
		panic(http.ErrAbortHandler)
	case r.Context().Err() != nil && !isCut(r):
		panic(http.ErrAbortHandler)
	case response.Header != nil:
		copyHeader(w.Header(), response.Header)
		w.WriteHeader(response.Status)
		_, _ = w.Write(response.Body) // the caller may have disconnected; there is nothing left to do
	case response.Quarantined:
		g.rejectQuarantined(w, r, response.Response)
	default:
		g.reject(w, r, unanswered(r, response.Response))
	}
}

// streamWriter writes events to a caller. It implements forward.Sink.
type streamWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	started    bool
}

// Begin implements forward.Sink. It sends the status and the header.
func (s *streamWriter) Begin(reply *upstream.Reply) error {
	s.started = true
	copyHeader(s.w.Header(), reply.Header)
	s.w.WriteHeader(reply.Status)
	return s.controller.Flush()
}

// Event implements forward.Sink. It sends one event at once.
func (s *streamWriter) Event(e upstream.Event) error {
	if _, err := s.w.Write(e.Raw); err != nil {
		return err
	}
	return s.controller.Flush()
}
