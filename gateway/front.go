package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/batch"
	"github.com/pomelocross/pomelocross/catalog"
	"github.com/pomelocross/pomelocross/forward"
	"github.com/pomelocross/pomelocross/platform"
	"github.com/pomelocross/pomelocross/telemetry"
	"github.com/pomelocross/pomelocross/upstream"
)

// Bounds on callers' connections where the configuration, which may be larger or
// smaller, is not known when the listener opens.
const (
	frontHeaderWait  = 10 * time.Second
	frontIdle        = 75 * time.Second
	frontHeaderBytes = 64 << 10
	// defaultBodyBytes bounds bodies when the configuration does not.
	defaultBodyBytes = 32 << 20
)

func (g *Gateway) frontServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathResults, g.withTeam(g.serveResults))
	mux.HandleFunc("DELETE "+platform.PathResults, g.withTeam(g.serveEnd))
	mux.HandleFunc("GET "+platform.PathBody, g.withTeam(g.serveBody))
	return &http.Server{
		Handler: g.counted(batchPathsOr(mux, http.HandlerFunc(g.serveRouted))), ReadHeaderTimeout: frontHeaderWait,
		IdleTimeout: frontIdle, MaxHeaderBytes: frontHeaderBytes,
	}
}

// batchPathsOr serves the paths that mux knows, and all others by routed. It keeps
// mux from cleaning the paths of requests that are only passed on.
func batchPathsOr(mux *http.ServeMux, routed http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, pattern := mux.Handler(r); strings.Contains(pattern, "{batch}") {
			mux.ServeHTTP(w, r)
			return
		}
		routed.ServeHTTP(w, r)
	})
}

// counted counts answers, and closes connections while the instance stops.
func (g *Gateway) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begun := g.clock.Now()
		s := &statusWriter{ResponseWriter: w}
		if g.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		if g.closing.Load() {
			g.refuse(s, r, stops)
		} else {
			next.ServeHTTP(s, r)
		}
		g.counters.answered(s.status, g.clock.Now().Sub(begun))
	})
}

type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
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

// refusal is an answer of our own that is no success.
type refusal struct {
	status int
	why    string
	again  time.Duration // when to come back; zero for none
}

func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, f refusal) {
	caller := platform.ReadCaller(r.Header)
	g.log.Info("request refused", zap.String("request", caller.ID), zap.String("path", r.URL.Path), zap.Int("status", f.status),
		zap.String("why", f.why), zap.Duration("again", f.again), zap.Int64("config", g.configVersion()))
	platform.SetRequestID(w.Header(), caller.ID)
	if f.again > 0 {
		platform.SetRetryAfter(w.Header(), f.again)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(f.why)+1))
	w.WriteHeader(f.status)
	_, _ = io.WriteString(w, f.why+"\n") // the caller may have left; nothing follows
}

func (g *Gateway) configVersion() int64 {
	if c := g.catalog.Load(); c != nil {
		return c.Version
	}
	return 0
}

// stops refuses what comes to an instance that stops; another one takes it at once.
var stops = refusal{http.StatusServiceUnavailable, "the instance stops", batchPause / 3}

// notYet refuses what cannot be decided before a configuration is known.
var notYet = refusal{http.StatusServiceUnavailable, "no configuration is known yet", 500 * time.Millisecond}

// serveRouted serves the declared routes.
func (g *Gateway) serveRouted(w http.ResponseWriter, r *http.Request) {
	c := g.catalog.Load()
	if c == nil {
		g.refuse(w, r, notYet)
		return
	}
	route, ok := c.Match(hostOf(r), r.URL.Path)
	if !ok {
		g.refuse(w, r, refusal{status: http.StatusNotFound, why: "no route"})
		return
	}
	caller := platform.ReadCaller(r.Header)
	team, known := c.Team(caller.Key)
	if !known && c.NeedsKey(route) {
		g.refuse(w, r, refusal{status: http.StatusUnauthorized, why: "unknown key"})
		return
	}
	body, f := readBody(w, r, c.Limits)
	if f != nil {
		g.refuse(w, r, *f)
		return
	}
	switch {
	case route.Kind == catalog.KindRollout:
		g.serveSubmission(w, r, route, team, body)
	case route.Kind == catalog.KindStream:
		g.serveStream(w, r, g.request(r, caller, route, team, body))
	default:
		g.servePlain(w, r, g.request(r, caller, route, team, body))
	}
}

func (g *Gateway) request(r *http.Request, caller platform.Caller, route catalog.Route, team catalog.Team, body []byte) forward.Request {
	return forward.Request{
		Route: route, Model: platform.ModelOf(r.Header),
		Forward: upstream.Forward{
			ID: caller.ID, Method: r.Method, Host: r.Host, Target: targetOf(r), Header: r.Header, Body: body,
			Team: team.Name, Budget: caller.Budget, LastEventID: caller.LastEvent,
		},
	}
}

// targetOf returns path and query as the caller wrote them.
func targetOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

// readBody reads a body within the configured bound.
func readBody(w http.ResponseWriter, r *http.Request, limits catalog.Limits) ([]byte, *refusal) {
	most := limits.BodyBytes
	if most == 0 {
		most = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &large):
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, why: "the body is too large"}
	}
	return nil, &refusal{status: http.StatusBadRequest, why: "the body did not come whole"}
}

// servePlain forwards a request that has one answer.
func (g *Gateway) servePlain(w http.ResponseWriter, r *http.Request, request forward.Request) {
	answer := g.forward.Do(r.Context(), request)
	if r.Context().Err() != nil {
		g.log.Info("caller left", zap.String("request", request.ID), zap.Int("sent", answer.Tally.Sent))
		panic(http.ErrAbortHandler)
	}
	if answer.Header == nil {
		g.log.Info("request found no answer", zap.String("request", request.ID), zap.String("route", request.Route.Name), zap.String("team", request.Team),
			zap.Duration("budget", request.Budget), zap.Duration("timeout", request.Route.Timeout), zap.Int("sent", answer.Tally.Sent),
			zap.Int("open", answer.Tally.Open), zap.Int("refused", answer.Tally.Refused), zap.Bool("mayHaveRun", answer.Tally.MayHaveRun))
		g.refuse(w, r, refusal{answer.Status, "no upstream answered", answer.RetryAfter})
		return
	}
	g.log.Info("request answered", zap.String("request", request.ID), zap.String("route", request.Route.Name), zap.String("team", request.Team),
		zap.Int("status", answer.Status), zap.String("upstream", answer.From), zap.Int("sent", answer.Tally.Sent), zap.Int64("config", g.configVersion()))
	copyHeader(w.Header(), answer.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	if _, err := w.Write(answer.Body); err != nil {
		g.log.Info("answer did not reach its caller", zap.String("request", request.ID), telemetry.Error(err))
	}
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// Pauses that callers of the batch interface are told when it cannot serve.
const (
	batchPause       = 300 * time.Millisecond
	batchPauseSpread = 300 * time.Millisecond
)

func comeBack() time.Duration { return batchPause + rand.N(batchPauseSpread) }

// serveSubmission accepts a batch.
func (g *Gateway) serveSubmission(w http.ResponseWriter, r *http.Request, route catalog.Route, team catalog.Team, body []byte) {
	if r.Method != http.MethodPost {
		g.refuse(w, r, refusal{status: http.StatusMethodNotAllowed, why: "batches are posted"})
		return
	}
	if g.draining.Load() {
		g.refuse(w, r, stops)
		return
	}
	sub, err := platform.DecodeSubmission(platform.ReadCaller(r.Header).ID, body)
	if err != nil {
		g.refuse(w, r, refusal{status: http.StatusBadRequest, why: err.Error()})
		return
	}
	// Not the caller's context: a batch that is stored must run though its caller
	// has left.
	err = g.batches.Submit(context.WithoutCancel(r.Context()), batch.SubmitArgs{Submission: sub, Team: team.Name, Route: route.Name}, g.wall.Now())
	if err != nil {
		g.refuse(w, r, submissionRefusal(err))
		return
	}
	platform.SetRequestID(w.Header(), sub.ID)
	w.WriteHeader(http.StatusAccepted)
}

func submissionRefusal(err error) refusal {
	switch {
	case errors.Is(err, batch.ErrOutcomeUnknown):
		return refusal{status: http.StatusGatewayTimeout, why: "it is not known whether the batch was stored"}
	case errors.Is(err, batch.ErrTooLarge):
		return refusal{status: http.StatusRequestEntityTooLarge, why: "an item is too large"}
	case errors.Is(err, batch.ErrNotFound):
		return refusal{status: http.StatusNotFound, why: "the id belongs to another team's batch"}
	}
	return refusal{http.StatusServiceUnavailable, "the batch could not be stored: " + err.Error(), comeBack()}
}

// withTeam authenticates calls on batches.
func (g *Gateway) withTeam(next func(http.ResponseWriter, *http.Request, catalog.Team)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := g.catalog.Load()
		if c == nil {
			g.refuse(w, r, notYet)
			return
		}
		if !c.HasHost(hostOf(r)) {
			g.refuse(w, r, refusal{status: http.StatusNotFound, why: "no route"})
			return
		}
		team, known := c.Team(platform.ReadCaller(r.Header).Key)
		if !known {
			g.refuse(w, r, refusal{status: http.StatusUnauthorized, why: "unknown key"})
			return
		}
		next(w, r, team)
	}
}

func (g *Gateway) serveResults(w http.ResponseWriter, r *http.Request, team catalog.Team) {
	const longest = time.Second
	args := batch.ReadArgs{ID: r.PathValue("batch"), Team: team.Name, After: platform.ResultOffset(r), Wait: min(longest, platform.ReadCaller(r.Header).Wait)}
	page, err := g.batches.Read(r.Context(), args)
	if err != nil {
		g.refuse(w, r, batchRefusal(err))
		return
	}
	encoded, err := platform.EncodePage(page)
	if err != nil {
		g.refuse(w, r, refusal{status: http.StatusInternalServerError, why: err.Error()})
		return
	}
	g.writeBody(w, r, "application/json", encoded)
}

func (g *Gateway) writeBody(w http.ResponseWriter, r *http.Request, kind string, body []byte) {
	w.Header().Set("Content-Type", kind)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := w.Write(body); err != nil {
		g.log.Info("answer did not reach its caller", zap.String("path", r.URL.Path), telemetry.Error(err))
	}
}

func batchRefusal(err error) refusal {
	if errors.Is(err, batch.ErrNotFound) {
		return refusal{status: http.StatusNotFound, why: "no such batch"}
	}
	return refusal{http.StatusServiceUnavailable, err.Error(), comeBack()}
}

func (g *Gateway) serveEnd(w http.ResponseWriter, r *http.Request, team catalog.Team) {
	if err := g.batches.End(context.WithoutCancel(r.Context()), r.PathValue("batch"), team.Name); err != nil {
		g.refuse(w, r, batchRefusal(err))
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (g *Gateway) serveBody(w http.ResponseWriter, r *http.Request, team catalog.Team) {
	body, err := g.batches.Body(r.Context(), r.PathValue("batch"), team.Name, platform.ItemID(r))
	if err != nil {
		g.refuse(w, r, batchRefusal(err))
		return
	}
	g.writeBody(w, r, "application/octet-stream", body)
}
