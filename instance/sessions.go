package instance

import (
	"context"
	"errors"
	"sync"

	"github.com/pomelocross/pomelocross/contract"
)

// errWithdrawn ends requests whose key is no longer declared.
var errWithdrawn = errors.New("key was withdrawn")

// sessions indexes running requests by key, so that withdrawing a key ends them.
type sessions struct {
	mu   sync.Mutex // guards keys
	keys map[contract.Key]map[*session]struct{}
}

type session struct{ cancel context.CancelCauseFunc }

func newSessions() *sessions {
	return &sessions{keys: map[contract.Key]map[*session]struct{}{}}
}

// begin returns a context that ends with errWithdrawn when key is withdrawn. The
// caller must check the key against the newest snapshot after begin, since it
// may have been withdrawn just before.
func (s *sessions) begin(ctx context.Context, key contract.Key) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	one := &session{cancel: cancel}
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
