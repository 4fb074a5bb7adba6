package instance

import (
	"context"
	"errors"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/queue"
	"github.com/pomelocross/pomelocross/route"
)

// TimeoutHeader is the request header with the caller's timeout in seconds.
const TimeoutHeader = "X-Request-Timeout"

var tracer = otel.Tracer("github.com/pomelocross/pomelocross/instance")

func newRequestID() string { return uuid.NewString() }

// request is an admitted request with its route, service and key.
type request struct {
	id       string
	view     *View
	route    contract.Route
	service  contract.Service
	key      contract.Key // empty on open routes
	received time.Time
}

// ticket returns the ticket with which the request enters the queue of its service.
func (r *request) ticket(domain string, cost int64) queue.Ticket {
	return queue.Ticket{
		Team: r.key.Team, Weight: weightOf(r.view.Contract, r.key.Team), Class: r.route.Class, Cost: cost,
		Route: route.Request{Service: r.service.Name, Domain: domain},
	}
}

func weightOf(c *contract.Snapshot, team string) int {
	t, _ := c.Team(team)
	return max(1, t.Weight)
}

func (i *Instance) trafficHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/runs", i.withTeam(i.createRun))
	mux.HandleFunc("GET /v1/runs/{run}", i.withTeam(i.getRun))
	mux.HandleFunc("DELETE /v1/runs/{run}", i.withTeam(i.deleteRun))
	mux.HandleFunc("POST /v1/runs/{run}/steps", i.withTeam(i.postStep))
	mux.HandleFunc("POST /v1/runs/{run}/pull", i.withTeam(i.postPull))
	mux.HandleFunc("/", i.serveRouted)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !isClean(pathOf(r)) { // the mux would redirect the caller to another path
			i.serveRouted(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// pathOf returns the path of a request as sent, with its escapes. It selects the route, and
// services get it unchanged.
func pathOf(r *http.Request) string { return r.URL.EscapedPath() }

// isClean reports whether a path has no empty segments and none named "." or "..".
func isClean(urlPath string) bool {
	clean := path.Clean(urlPath)
	return clean == urlPath || clean+"/" == urlPath
}

// serveRouted serves requests of the declared routes.
func (i *Instance) serveRouted(w http.ResponseWriter, r *http.Request) {
	ctx, span := tracer.Start(callerTrace(r), "entry", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	admitted, response := i.admit(r)
	if response != nil {
		response.write(w)
		return
	}
	span.SetAttributes(attribute.String("route", admitted.route.Name), attribute.String("team", admitted.key.Team))
	ctx, end := i.sessions.begin(ctx, admitted.key, admitted.service.Name)
	defer end()
	if admitted.key.ID != "" && !i.view.Load().Contract.HasKey(admitted.key) {
		keyRejected().write(w)
		return
	}
	timeout, err := requestTimeout(r, admitted.route)
	if err != nil {
		badRequest(err).write(w)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if admitted.service.Kind == contract.KindEngine {
		i.serveCompletion(ctx, w, r, admitted)
		return
	}
	i.servePlain(ctx, w, r, admitted)
}

// admit matches a request to its route and authenticates it. It returns an error
// response if the request is rejected.
func (i *Instance) admit(r *http.Request) (*request, *errorResponse) {
	view := i.view.Load()
	if response := i.notServing(view); response != nil {
		return nil, response
	}
	matched, ok := view.Contract.Match(r.Method, pathOf(r))
	if !ok {
		return nil, &errorResponse{status: http.StatusNotFound, code: "no_route", notRun: true}
	}
	service, _ := view.Contract.Service(matched.Service)
	admitted := &request{id: newRequestID(), view: view, route: matched, service: service, received: i.clock.Now()}
	key, ok := view.Contract.Authenticate(bearerToken(r))
	if !ok && !matched.Open {
		return nil, keyRejected()
	}
	admitted.key = key
	if i.rejectsWhileIsolated(view, service) {
		return nil, isolatedError()
	}
	return admitted, nil
}

// bearerToken returns the bearer token of a request, or an empty string.
func bearerToken(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// requestTimeout returns the timeout requested by the caller, or that of the route if
// the caller requests none or a longer one.
func requestTimeout(r *http.Request, matched contract.Route) (time.Duration, error) {
	limit := matched.Timeout.Std()
	value := r.Header.Get(TimeoutHeader)
	if value == "" {
		return limit, nil
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds > 0) {
		return 0, errors.New(TimeoutHeader + " must be a number of seconds above 0")
	}
	if seconds >= limit.Seconds() {
		return limit, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// withTeam authenticates requests of the rollout API and passes the team to next.
func (i *Instance) withTeam(next func(http.ResponseWriter, *http.Request, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		view := i.view.Load()
		if response := i.notServing(view); response != nil {
			response.write(w)
			return
		}
		key, ok := view.Contract.Authenticate(bearerToken(r))
		if !ok {
			keyRejected().write(w)
			return
		}
		ctx, end := i.sessions.begin(r.Context(), key)
		defer end()
		if !i.view.Load().Contract.HasKey(key) {
			keyRejected().write(w)
			return
		}
		next(w, r.WithContext(ctx), key.Team)
	}
}
