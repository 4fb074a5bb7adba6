package instance

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/pomelocross/pomelocross/contract"
)

// errWithdrawn ends requests whose key is no longer declared.
var errWithdrawn = errors.New("key was withdrawn")

// errIsolated ends requests of services that refuse while isolated.
var errIsolated = errors.New("the instance does not hear the platform")

// sessions indexes running requests by key, so that withdrawing a key ends them.
type sessions struct {
	mu   sync.Mutex // guards keys
	keys map[contract.Key]map[*session]struct{}
}

type session struct {
	cancel   context.CancelCauseFunc
	services []string // that the request runs on, as far as known
}

func newSessions() *sessions {
	return &sessions{keys: map[contract.Key]map[*session]struct{}{}}
}

// begin returns a context that ends with errWithdrawn when key is withdrawn. The
// caller must check the key against the newest snapshot after begin, since it
// may have been withdrawn just before. It ends with errIsolated when one of the
// services refuses work in isolation.
func (s *sessions) begin(ctx context.Context, key contract.Key, services ...string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	one := &session{cancel: cancel, services: services}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys[key] == nil {
		s.keys[key] = map[*session]struct{}{}
	}
	s.keys[key][one] = struct{}{}
	return ctx, func() { s.end(key, one) }
}

func (s *sessions) end(key contract.Key, one *session) {
	one.cancel(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.keys[key], one)
	if len(s.keys[key]) == 0 {
		delete(s.keys, key)
	}
}

// cancelWithdrawn ends the requests of keys that snapshot does not declare.
func (s *sessions) cancelWithdrawn(snapshot *contract.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, running := range s.keys {
		if snapshot.HasKey(key) {
			continue
		}
		for one := range running {
			one.cancel(errWithdrawn)
		}
	}
}

// cancelServices ends the requests of services for which refused is true.
func (s *sessions) cancelServices(refused func(service string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, running := range s.keys {
		for one := range running {
			if slices.ContainsFunc(one.services, refused) {
				one.cancel(errIsolated)
			}
		}
	}
}
