// Package memstore is an in-memory objects.Store with fault injection, for tests of
// code that keeps its state in the store. Values are stored encoded and so share no
// memory with the caller.
package memstore

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/pomelocross/pomelocross/objects"
)

// Errors of calls with an injected fault. The caller cannot tell whether the call
// took effect.
var (
	ErrLost = errors.New("response was lost")
	ErrDown = errors.New("platform is down")
)

// Fault is a fault injected into one call.
type Fault int

// The faults.
const (
	None    Fault = iota
	Down          // the call has no effect
	Lost          // the call takes effect, but its response is lost
	Delayed       // the response is lost, and the call takes effect before the next write or call of Names
)

// Write is a call that changed the store.
type Write struct {
	Kind, Name string
	Bytes      int // of the encoded value; 0 for a deletion
}

// Store is the in-memory store. It is safe for concurrent use.
type Store struct {
	// Fault selects the fault of a call; nil means no faults. It is called with
	// the store's lock held.
	Fault func(kind, name string, write bool) Fault

	mu      sync.Mutex // guards all below
	version objects.Version
	objects map[string]map[string]objects.Object
	delayed func()
	writes  []Write
}

var _ objects.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store { return &Store{objects: map[string]map[string]objects.Object{}} }

// Writes returns the calls that took effect, in order.
func (s *Store) Writes() []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Write(nil), s.writes...)
}

// Names returns the names of the objects of a kind.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyDelayed()
	var names []string
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	return names
}

// Get implements objects.Store.
func (s *Store) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return objects.Object{}, err
	}
	if s.fault(kind, name, false) != None {
		return objects.Object{}, ErrDown
	}
	o, ok := s.objects[kind][name]
	if !ok {
		return objects.Object{}, objects.ErrNotFound
	}
	return o, nil
}

// Put implements objects.Store.
func (s *Store) Put(ctx context.Context, kind, name string, expect objects.Version, value any) (objects.Object, error) {
	data, err := objects.Encode(value)
	if err != nil {
		return objects.Object{}, err
	}
	o := objects.Object{Kind: kind, Name: name, Value: data}
	err = s.write(ctx, &o, expect)
	return o, err
}

// Delete implements objects.Store.
func (s *Store) Delete(ctx context.Context, kind, name string, expect objects.Version) error {
	return s.write(ctx, &objects.Object{Kind: kind, Name: name, Deleted: true}, expect)
}

func (s *Store) write(ctx context.Context, o *objects.Object, expect objects.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return err
	}
	switch s.fault(o.Kind, o.Name, true) {
	case Down:
		return ErrDown
	case Lost:
		_ = s.apply(o, expect)
		return ErrLost
	case Delayed:
		delayed := *o
		s.delayed = func() { _ = s.apply(&delayed, expect) }
		return ErrLost
	}
	return s.apply(o, expect)
}

// fault returns the fault of a call that is about to run. Before a write it applies
// a delayed write. The caller holds mu.
func (s *Store) fault(kind, name string, write bool) Fault {
	fault := None
	if s.Fault != nil {
		fault = s.Fault(kind, name, write)
	}
	if write {
		s.applyDelayed() // reads may still see the state before the delayed write
	}
	return fault
}

func (s *Store) applyDelayed() {
	if s.delayed != nil {
		apply := s.delayed
		s.delayed = nil
		apply()
	}
}

// apply executes a write. The caller holds mu.
func (s *Store) apply(o *objects.Object, expect objects.Version) error {
	existing, ok := s.objects[o.Kind][o.Name]
	if o.Deleted && !ok {
		return objects.ErrNotFound
	}
	if existing.Version != expect {
		return objects.ErrConflict
	}
	s.version++
	o.Version = s.version
	s.writes = append(s.writes, Write{o.Kind, o.Name, len(o.Value)})
	if o.Deleted {
		delete(s.objects[o.Kind], o.Name)
		return nil
	}
	if s.objects[o.Kind] == nil {
		s.objects[o.Kind] = map[string]objects.Object{}
	}
	s.objects[o.Kind][o.Name] = *o
	return nil
}

// List implements objects.Store.
func (s *Store) List(ctx context.Context, kind string) (objects.List, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault(kind, "", false) != None {
		return objects.List{}, ErrDown
	}
	l := objects.List{Version: s.version}
	for _, o := range s.objects[kind] {
		l.Objects = append(l.Objects, o)
	}
	return l, ctx.Err()
}

// Watch implements objects.Store. It reports no changes and returns when ctx
// ends.
func (s *Store) Watch(ctx context.Context, _ string, after objects.Version, _ time.Duration) (objects.List, error) {
	<-ctx.Done()
	return objects.List{Version: after}, ctx.Err()
}
