package instance

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"
)

// closeTimeout bounds the closing of connections on which nothing runs.
const closeTimeout = 2 * time.Second

// inFlight counts the requests that run, by what they do.
type inFlight struct {
	mu      sync.Mutex // guards all below
	byPath  map[string]int
	total   int
	drained chan struct{} // closed at the first moment without requests after drain
	drain   bool
}

func newInFlight() *inFlight {
	return &inFlight{byPath: map[string]int{}, drained: make(chan struct{})}
}

func (f *inFlight) begin(path string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byPath[path]++
	f.total++
}

func (f *inFlight) end(path string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byPath[path]--
	if f.byPath[path] == 0 {
		delete(f.byPath, path)
	}
	f.total--
	f.finish()
}

// whenDrained returns a channel that is closed once nothing runs.
func (f *inFlight) whenDrained() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drain = true
	f.finish()
	return f.drained
}

// finish closes drained when it is time. The caller holds mu.
func (f *inFlight) finish() {
	if !f.drain || f.total > 0 {
		return
	}
	select {
	case <-f.drained:
	default:
		close(f.drained)
	}
}

// running returns how many requests run, in all and by path.
func (f *inFlight) running() (int, map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	byPath := map[string]int{}
	for path, n := range f.byPath {
		byPath[path] = n
	}
	return f.total, byPath
}

// counted counts requests and, during a planned stop, asks callers to use
// another connection. A request counts before it is seen whether requests are
// refused, so none is taken unseen.
func (i *Instance) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path := i.pathLabel(r)
		i.inFlight.begin(path)
		defer i.inFlight.end(path)
		if i.draining.Load() {
			w.Header().Set("Connection", "close") // HTTP/2 turns it into GOAWAY
		}
		next.ServeHTTP(w, r)
	})
}

// pathLabel names a request in logs without any of the caller's text: by its
// route, or "other".
func (i *Instance) pathLabel(r *http.Request) string {
	if view := i.view.Load(); view != nil && view.Contract != nil {
		if matched, ok := view.Contract.Match(r.Method, r.URL.Path); ok {
			return matched.Name
		}
	}
	return "other"
}

// Abort ends a planned stop at once. It does nothing before one has begun.
func (i *Instance) Abort() { i.abort.Do(func() { close(i.aborted) }) }

// drain stops in steps: readiness fails, and requests are still taken while the
// balancer has not noticed; then new ones are refused, on open connections too,
// until running ones have ended. Connections are closed last.
func (i *Instance) drain(s *servers) error {
	i.draining.Store(true)
	i.notices.Leave()
	total, byPath := i.inFlight.running()
	i.log.Info("draining", zap.Int("running", total), zap.Any("byRoute", byPath), zap.Duration("grace", i.settings.DrainGrace))
	deadline := i.clock.After(i.settings.DrainTimeout)
	select {
	case <-i.clock.After(i.settings.DrainGrace):
	case <-i.aborted:
	}
	i.refusing.Store(true)
	i.closeHomes()
	err := i.awaitRequests(deadline)
	if err == nil {
		i.retireKeys()
		i.closeIdle(s)
	} else {
		s.traffic.Close()
	}
	s.admin.Close()
	return err
}

// awaitRequests waits for running requests. An error says that some are given up.
func (i *Instance) awaitRequests(deadline <-chan time.Time) error {
	select {
	case <-i.inFlight.whenDrained():
		return nil
	case <-deadline:
		return i.givenUp("drain timeout")
	case <-i.aborted:
		return i.givenUp("second signal")
	}
}

func (i *Instance) givenUp(reason string) error {
	total, byPath := i.inFlight.running()
	if total == 0 {
		return nil
	}
	i.log.Warn("requests were cut off", zap.String("reason", reason), zap.Int("requests", total), zap.Any("byRoute", byPath))
	return oops.In("instance").With("step", "drain").Errorf("%s: %d requests were cut off", reason, total)
}

// retireKeys hands the records of idempotency keys over.
func (i *Instance) retireKeys() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := i.coordinator.Retire(ctx, i.view.Load().Domain.Entries()); err != nil {
		i.log.Warn("idempotency keys were not handed over", zap.Error(err))
	}
}

func (i *Instance) closeIdle(s *servers) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := s.traffic.Shutdown(ctx); err != nil {
		s.traffic.Close()
	}
}
