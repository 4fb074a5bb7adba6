package gateway

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/batch"
	"github.com/pomelocross/pomelocross/catalog"
	"github.com/pomelocross/pomelocross/forward"
	"github.com/pomelocross/pomelocross/intake"
	"github.com/pomelocross/pomelocross/internal/httpdrain"
	"github.com/pomelocross/pomelocross/platform"
	"github.com/pomelocross/pomelocross/quarantine"
	"github.com/pomelocross/pomelocross/telemetry"
	"github.com/pomelocross/pomelocross/upstream"
)

// Bounds on callers' connections. The configuration may set larger or smaller ones,
// but is not known when the listener opens.
const (
	callerHeaderTimeout = 10 * time.Second
	callerIdleTimeout   = 75 * time.Second
	callerHeaderBytes   = 64 << 10
	// defaultBodyBytes bounds the request body if the configuration sets no limit.
	defaultBodyBytes = 32 << 20
)

// callerServer returns the HTTP server for callers.
func (g *Gateway) callerServer() *http.Server {
	server := newServer(httpdrain.Handler(g.instrument(http.HandlerFunc(g.serveCaller))))
	server.BaseContext = func(net.Listener) context.Context { return g.requests }
	return server
}

// newServer returns a server for a listener of the instance.
func newServer(handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: callerHeaderBytes}
	intake.Attach(server)
	return server
}

// instrument records responses in the metrics. While the instance stops, it tells
// callers to close their connections and, once closing is set, rejects requests.
func (g *Gateway) instrument(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := g.clock.Now()
		s := &statusWriter{ResponseWriter: w}
		if g.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		if g.closing.Load() {
			g.reject(s, r, rejectionStopping)
		} else {
			next.ServeHTTP(s, r)
		}
		g.counters.recordResponse(s.status, g.clock.Now().Sub(start))
	})
}

// statusWriter is an http.ResponseWriter that records the status.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter and records the status.
func (s *statusWriter) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
}

// Flush implements http.Flusher.
func (s *statusWriter) Flush() {
	if f, ok := s.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// rejection is an error response that the gateway itself produces.
type rejection struct {
	status     int
	reason     string
	retryAfter time.Duration // value of the Retry-After header; 0 for none
}

// reject logs a rejection and writes it as the response.
func (g *Gateway) reject(w http.ResponseWriter, r *http.Request, rejected rejection) {
	caller := platform.ReadCaller(r.Header)
	g.log.Info("request rejected", zap.String("request", caller.ID), zap.String("path", r.URL.Path), zap.Int("status", rejected.status),
		zap.String("why", rejected.reason), zap.Duration("again", rejected.retryAfter), zap.Int64("config", g.configVersion()))
	platform.SetRequestID(w.Header(), caller.ID)
	if rejected.retryAfter > 0 {
		platform.SetRetryAfter(w.Header(), rejected.retryAfter)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(rejected.reason)+1))
	w.WriteHeader(rejected.status)
	_, _ = io.WriteString(w, rejected.reason+"\n") // the caller may have disconnected; there is nothing left to do
}

// configVersion returns the version of the current configuration; 0 if there is none.
func (g *Gateway) configVersion() int64 {
	if c := g.catalog.Load(); c != nil {
		return c.Version
	}
	return 0
}

// rejectionStopping rejects requests while the instance stops. Another instance can
// serve them at once, so the retry delay is short.
var rejectionStopping = rejection{http.StatusServiceUnavailable, "the instance stops", batchRetryMin / 3}

// rejectionNoConfig rejects requests that arrive before a configuration is known.
var rejectionNoConfig = rejection{http.StatusServiceUnavailable, "no configuration is known yet", 500 * time.Millisecond}

// rejectionUnconfirmed rejects requests whose key may have been withdrawn, or granted,
// without this instance knowing.
var rejectionUnconfirmed = rejection{http.StatusServiceUnavailable, "the configuration has not been confirmed; keys are not known", 500 * time.Millisecond}

// serveRouted serves requests on the configured routes.
func (g *Gateway) serveRouted(w http.ResponseWriter, r *http.Request) {
	c := g.catalog.Load()
	if c == nil {
		g.reject(w, r, rejectionNoConfig)
		return
	}
	route, ok := c.Match(hostOf(r), pathOf(r))
	if !ok {
		g.reject(w, r, rejection{status: http.StatusNotFound, reason: "no route"})
		return
	}
	if c.NeedsKey(route) && !g.keysConfirmed() {
		g.reject(w, r, rejectionUnconfirmed)
		return
	}
	caller := platform.ReadCaller(r.Header)
	team, known := c.Team(caller.Key)
	if !known && c.NeedsKey(route) {
		g.reject(w, r, rejection{status: http.StatusUnauthorized, reason: "unknown key"})
		return
	}
	if route.Kind != catalog.KindRollout && !g.admitsWhileStopping(route, caller.Budget) {
		g.reject(w, r, rejectionStopping)
		return
	}
	body, rejected := readBody(w, r, c.Limits, route.Kind)
	if rejected != nil {
		g.reject(w, r, *rejected)
		return
	}
	switch {
	case route.Kind == catalog.KindRollout:
		g.serveSubmission(w, r, batch.Acceptance{Config: c.Version, Route: route}, team, body)
	case route.Kind == catalog.KindStream:
		g.serveStream(w, r, g.request(r, caller, route, team, body))
	default:
		g.servePlain(w, r, g.request(r, caller, route, team, body))
	}
}

// request returns the forward request for a caller's request.
func (g *Gateway) request(r *http.Request, caller platform.Caller, route catalog.Route, team catalog.Team, body []byte) forward.Request {
	content := quarantine.Content{Host: hostOf(r), Method: r.Method, Target: targetOf(r), Team: team.Name, Body: body}
	return forward.Request{
		Digest: sync.OnceValue(content.Digest),
		Route:  route, Model: platform.ModelOf(r.Header),
		Forward: upstream.Forward{
			ID: caller.ID, Method: r.Method, Host: r.Host, Target: targetOf(r), Header: r.Header, Body: body,
			Team: team.Name, Budget: caller.Budget, LastEventID: caller.LastEvent,
		},
	}
}

// targetOf returns the path and query as sent by the caller, without normalisation.
func targetOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// pathOf returns the path as sent by the caller, without normalisation.
func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(targetOf(r), "?")
	return path
}

// hostOf returns the request's host without a port.
func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

// Memory that a byte of a body takes while a request is served. The body of a batch is decoded and
// encoded again for the store.
const (
	bodyFactor  = 1
	batchFactor = 3
)

// noRoomRetry is the retry delay of requests that find no room. Other instances may have some.
const noRoomRetry = 500 * time.Millisecond

// rejectionNoRoom rejects requests that can't be held.
var rejectionNoRoom = rejection{http.StatusServiceUnavailable, "too many large requests", noRoomRetry}

// rejectionNoRoomForBatch rejects batches that can't be held. It promises nothing, since the same
// batch may have been accepted before.
var rejectionNoRoomForBatch = rejection{status: http.StatusGatewayTimeout, reason: "there is no room for the batch"}

// readBody reads the request body up to the configured limit. The rejection is nil on
// success.
func readBody(w http.ResponseWriter, r *http.Request, limits catalog.Limits, kind catalog.Kind) ([]byte, *rejection) {
	factor, noRoom := bodyFactor, &rejectionNoRoom
	if kind == catalog.KindRollout {
		factor, noRoom = batchFactor, &rejectionNoRoomForBatch
	}
	body, err := intake.ReadBody(w, r, cmp.Or(limits.BodyBytes, defaultBodyBytes), factor)
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, intake.ErrTooLarge):
		return nil, &rejection{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
	case errors.Is(err, intake.ErrNoRoom):
		return nil, noRoom
	}
	return nil, &rejection{status: http.StatusBadRequest, reason: "the body did not come whole"}
}

// servePlain forwards a request that has a single, buffered response.
func (g *Gateway) servePlain(w http.ResponseWriter, r *http.Request, request forward.Request) {
	response := g.forward.Do(r.Context(), request)
	if r.Context().Err() != nil && !isCut(r) {
		g.log.Info("caller disconnected", zap.String("request", request.ID), zap.Int("sent", response.Tally.Sent))
		panic(http.ErrAbortHandler)
	}
	if response.Quarantined {
		g.rejectQuarantined(w, r, response)
		return
	}
	if response.Header == nil {
		g.log.Info("no upstream responded to the request; rejecting it", zap.String("request", request.ID), zap.String("route", request.Route.Name), zap.String("team", request.Team),
			zap.Duration("budget", request.Budget), zap.Duration("timeout", request.Route.Timeout), zap.Int("sent", response.Tally.Sent),
			zap.Int("open", response.Tally.Open), zap.Int("refused", response.Tally.Refused), zap.Bool("mayHaveRun", response.Tally.MayHaveRun))
		g.reject(w, r, unanswered(r, response))
		return
	}
	g.log.Info("upstream responded to the request", zap.String("request", request.ID), zap.String("route", request.Route.Name), zap.String("team", request.Team),
		zap.Int("status", response.Status), zap.String("upstream", response.From), zap.Int("sent", response.Tally.Sent), zap.Int64("config", g.configVersion()))
	intake.ClaimOf(r.Context()).GrowResponse(len(response.Body))
	copyHeader(w.Header(), response.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(response.Body)))
	w.WriteHeader(response.Status)
	if _, err := w.Write(response.Body); err != nil {
		g.log.Info("failed to write the response to the caller", zap.String("request", request.ID), telemetry.Error(err))
	}
}

// unanswered returns the rejection of a request that was given up without an upstream's
// response.
func unanswered(r *http.Request, response forward.Response) rejection {
	reason := "no upstream answered"
	if isCut(r) {
		reason = "the instance stops, and no upstream had answered"
	}
	return rejection{response.Status, reason, response.RetryAfter}
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// Retry delays that callers of the batch interface get when it is unavailable.
const (
	batchRetryMin    = 300 * time.Millisecond
	batchRetryJitter = 300 * time.Millisecond
)

// batchRetryAfter returns a retry delay with jitter.
func batchRetryAfter() time.Duration { return batchRetryMin + rand.N(batchRetryJitter) }

// serveSubmission accepts a batch under a route. The caller's request ID is the ID of the
// batch.
func (g *Gateway) serveSubmission(w http.ResponseWriter, r *http.Request, accepted batch.Acceptance, team catalog.Team, body []byte) {
	if r.Method != http.MethodPost {
		g.reject(w, r, rejection{status: http.StatusMethodNotAllowed, reason: "batches are posted"})
		return
	}
	if g.draining.Load() {
		g.reject(w, r, rejectionStopping)
		return
	}
	sub, err := platform.DecodeSubmission(platform.ReadCaller(r.Header).ID, body)
	if err != nil {
		g.reject(w, r, rejection{status: http.StatusBadRequest, reason: err.Error()})
		return
	}
	// The caller's cancellation is ignored: a batch that is stored must run even if
	// its caller has disconnected.
	args := batch.SubmitArgs{Submission: sub, Team: team.Name, Route: accepted.Route.Name, Accepted: &accepted}
	err = g.batches.Submit(context.WithoutCancel(r.Context()), args, g.wall.Now())
	if err != nil {
		g.reject(w, r, submissionRejection(err))
		return
	}
	platform.SetRequestID(w.Header(), sub.ID)
	w.WriteHeader(http.StatusAccepted)
}

// submissionRejection returns the response to a submission that failed with err.
func submissionRejection(err error) rejection {
	switch {
	case errors.Is(err, batch.ErrNoRoom):
		return rejectionNoRoomForBatch
	case errors.Is(err, batch.ErrOutcomeUnknown):
		return rejection{status: http.StatusGatewayTimeout, reason: "it is not known whether the batch was stored"}
	case errors.Is(err, batch.ErrTooLarge):
		return rejection{status: http.StatusRequestEntityTooLarge, reason: batch.ErrTooLarge.Error()}
	case errors.Is(err, batch.ErrNotFound):
		return rejection{status: http.StatusNotFound, reason: "the id belongs to another team's batch"}
	}
	return rejection{http.StatusServiceUnavailable, "the batch could not be stored: " + err.Error(), batchRetryAfter()}
}

// pageFactor is the memory that a byte of results takes until its page is written.
const pageFactor = 2

// serveResults serves a page of a batch's results. If there are none, it waits for the
// time that the caller requests, up to maxWait.
func (g *Gateway) serveResults(w http.ResponseWriter, r *http.Request, team catalog.Team, id string) {
	const maxWait = time.Second
	args := batch.ReadArgs{ID: id, Team: team.Name, After: platform.ResultOffset(r), Wait: min(maxWait, platform.ReadCaller(r.Header).Wait)}
	page, err := g.batches.Read(r.Context(), args)
	if err != nil {
		g.reject(w, r, batchRejection(err))
		return
	}
	if intake.ClaimOf(r.Context()).Grow(pageFactor*page.Bytes()) != nil {
		g.reject(w, r, rejection{http.StatusServiceUnavailable, rejectionNoRoom.reason, batchRetryAfter()})
		return
	}
	encoded, err := platform.EncodePage(page)
	if err != nil {
		g.reject(w, r, rejection{status: http.StatusInternalServerError, reason: err.Error()})
		return
	}
	g.writeBody(w, r, "application/json", encoded)
}

// writeBody writes a response with a body of a content type.
func (g *Gateway) writeBody(w http.ResponseWriter, r *http.Request, kind string, body []byte) {
	w.Header().Set("Content-Type", kind)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := w.Write(body); err != nil {
		g.log.Info("failed to write the response to the caller", zap.String("path", r.URL.Path), telemetry.Error(err))
	}
}

// batchRejection returns the response to a request on a batch that failed with err.
func batchRejection(err error) rejection {
	if errors.Is(err, batch.ErrNotFound) {
		return rejection{status: http.StatusNotFound, reason: "no such batch"}
	}
	return rejection{http.StatusServiceUnavailable, err.Error(), batchRetryAfter()}
}

// serveEnd ends a batch.
func (g *Gateway) serveEnd(w http.ResponseWriter, r *http.Request, team catalog.Team, id string) {
	err := g.batches.End(context.WithoutCancel(r.Context()), id, team.Name)
	if errors.Is(err, batch.ErrOutcomeUnknown) {
		g.reject(w, r, rejection{status: http.StatusGatewayTimeout, reason: err.Error()})
		return
	}
	if err != nil {
		g.reject(w, r, batchRejection(err))
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveBody serves the request body of a batch item.
func (g *Gateway) serveBody(w http.ResponseWriter, r *http.Request, team catalog.Team, id string) {
	body, err := g.batches.Body(r.Context(), id, team.Name, platform.ItemID(r))
	if err != nil {
		g.reject(w, r, batchRejection(err))
		return
	}
	if intake.ClaimOf(r.Context()).Grow(len(body)) != nil {
		g.reject(w, r, rejection{http.StatusServiceUnavailable, rejectionNoRoom.reason, batchRetryAfter()})
		return
	}
	g.writeBody(w, r, "application/octet-stream", body)
}
