package instance

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"
)

// closeTimeout limits each of two steps: the handover of idempotency keys and the
// closing of idle connections.
const closeTimeout = 2 * time.Second

// inFlight counts running requests by route.
type inFlight struct {
	mu       sync.Mutex // guards the fields below
	byRoute  map[string]int
	total    int
	drained  chan struct{} // closed when no request runs after draining has been set
	draining bool
}

func newInFlight() *inFlight {
	return &inFlight{byRoute: map[string]int{}, drained: make(chan struct{})}
}

func (f *inFlight) begin(route string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byRoute[route]++
	f.total++
}

func (f *inFlight) end(route string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byRoute[route]--
	if f.byRoute[route] == 0 {
		delete(f.byRoute, route)
	}
	f.total--
	f.closeIfDrained()
}

// startDrain marks the start of draining. It returns a channel that is closed when
// no request runs.
func (f *inFlight) startDrain() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
	f.closeIfDrained()
	return f.drained
}

// closeIfDrained closes drained if draining has started and no request runs. The
// caller must hold mu.
func (f *inFlight) closeIfDrained() {
	if !f.draining || f.total > 0 {
		return
	}
	select {
	case <-f.drained:
	default:
		close(f.drained)
	}
}

// counts returns the number of running requests, in total and by route.
func (f *inFlight) counts() (int, map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	byRoute := map[string]int{}
	for route, n := range f.byRoute {
		byRoute[route] = n
	}
	return f.total, byRoute
}

// trackInFlight counts running requests. During a planned stop it also asks
// callers to use another connection. A request is counted before the handler
// checks whether requests are rejected, so drain cannot miss an accepted request.
func (i *Instance) trackInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		route := i.routeLabel(r)
		i.inFlight.begin(route)
		defer i.inFlight.end(route)
		if i.draining.Load() {
			w.Header().Set("Connection", "close") // sent as GOAWAY on HTTP/2
		}
		next.ServeHTTP(w, r)
	})
}

// routeLabel returns the name of a request's route, or "other" without a match.
// Logs contain this name instead of the path, which is chosen by the caller.
func (i *Instance) routeLabel(r *http.Request) string {
	if view := i.view.Load(); view != nil && view.Contract != nil {
		if matched, ok := view.Contract.Match(r.Method, pathOf(r)); ok {
			return matched.Name
		}
	}
	return "other"
}

// Abort ends a planned stop at once and cuts off the requests that still run. If
// called before the stop, it takes effect as soon as the stop begins.
func (i *Instance) Abort() { i.abortOnce.Do(func() { close(i.aborted) }) }

// drain stops the instance in steps. First readiness fails, while requests are
// accepted for DrainGrace, the time in which the load balancer notices. Then new
// requests are rejected, also on open connections, until the running ones end or
// DrainTimeout has passed. Connections are closed last.
func (i *Instance) drain(s *servers) error {
	i.draining.Store(true)
	i.notices.Leave()
	total, byRoute := i.inFlight.counts()
	i.log.Info("draining", zap.Int("running", total), zap.Any("byRoute", byRoute), zap.Duration("grace", i.settings.DrainGrace))
	deadline := i.clock.After(i.settings.DrainTimeout)
	select {
	case <-i.clock.After(i.settings.DrainGrace):
	case <-i.aborted:
	}
	i.rejecting.Store(true)
	i.releaseHomes()
	err := i.awaitRequests(deadline)
	if err == nil {
		i.handOverKeys()
		i.shutdownTraffic(s)
	} else {
		s.traffic.Close()
	}
	s.admin.Close()
	return err
}

// awaitRequests waits until no request runs. It returns an error if requests still
// run at the deadline or when Abort is called.
func (i *Instance) awaitRequests(deadline <-chan time.Time) error {
	select {
	case <-i.inFlight.startDrain():
		return nil
	case <-deadline:
		return i.cutOffError("drain timeout")
	case <-i.aborted:
		return i.cutOffError("second signal")
	}
}

// cutOffError logs and returns an error with the number of requests that are cut
// off, or returns nil if no request runs.
func (i *Instance) cutOffError(reason string) error {
	total, byRoute := i.inFlight.counts()
	if total == 0 {
		return nil
	}
	i.log.Warn("requests were cut off", zap.String("reason", reason), zap.Int("requests", total), zap.Any("byRoute", byRoute))
	return oops.In("instance").With("step", "drain").Errorf("%s: %d requests were cut off", reason, total)
}

// handOverKeys transfers the records of idempotency keys to other instances.
func (i *Instance) handOverKeys() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := i.coordinator.Retire(ctx, i.view.Load().Domain.Entries()); err != nil {
		i.log.Warn("idempotency keys could not be handed over to other instances", zap.Error(err))
	}
}

func (i *Instance) shutdownTraffic(s *servers) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := s.traffic.Shutdown(ctx); err != nil {
		s.traffic.Close()
	}
}
