package instance

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/pomelocross/pomelocross/contract"
)

// errKeyWithdrawn is the cancellation cause of requests whose key is no longer
// declared.
var errKeyWithdrawn = errors.New("key was withdrawn")

// errIsolated is the cancellation cause of requests of services that reject
// requests during isolation.
var errIsolated = errors.New("the instance is isolated from the platform")

// sessions tracks running requests by key, in order to cancel them when the key is
// withdrawn.
type sessions struct {
	mu   sync.Mutex // guards keys
	keys map[contract.Key]map[*session]struct{}
}

type session struct {
	cancel   context.CancelCauseFunc
	services []string // used by the request, if known
}

func newSessions() *sessions {
	return &sessions{keys: map[contract.Key]map[*session]struct{}{}}
}

// begin registers a request and returns its context and a function to remove it. The
// context is canceled with errKeyWithdrawn when key is withdrawn, and with
// errIsolated when one of the services rejects requests during isolation. After
// begin, the caller must check the key against the newest snapshot, since it may
// have been withdrawn just before.
func (s *sessions) begin(ctx context.Context, key contract.Key, services ...string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	running := &session{cancel: cancel, services: services}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys[key] == nil {
		s.keys[key] = map[*session]struct{}{}
	}
	s.keys[key][running] = struct{}{}
	return ctx, func() { s.end(key, running) }
}

func (s *sessions) end(key contract.Key, ended *session) {
	ended.cancel(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.keys[key], ended)
	if len(s.keys[key]) == 0 {
		delete(s.keys, key)
	}
}

// cancelWithdrawn cancels the requests of keys that snapshot does not declare.
func (s *sessions) cancelWithdrawn(snapshot *contract.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, running := range s.keys {
		if snapshot.HasKey(key) {
			continue
		}
		for request := range running {
			request.cancel(errKeyWithdrawn)
		}
	}
}

// cancelServices cancels the requests of services for which rejects returns true.
func (s *sessions) cancelServices(rejects func(service string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, running := range s.keys {
		for request := range running {
			if slices.ContainsFunc(request.services, rejects) {
				request.cancel(errIsolated)
			}
		}
	}
}
