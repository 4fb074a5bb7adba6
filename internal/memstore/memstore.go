// Package memstore is an in-memory platform.Store with faults, for tests of what
// keeps its state there. It holds values in their encoded form, so that nothing
// is shared with the caller.
package memstore

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/pomelocross/pomelocross/platform"
)

// Errors of calls that a fault has hit. They leave the outcome unknown.
var (
	ErrLost = errors.New("answer was lost")
	ErrDown = errors.New("platform is down")
)

// Fault is what happens to one call.
type Fault int

// The faults.
const (
	None    Fault = iota
	Down          // the call has no effect
	Lost          // the call takes effect, its answer is lost
	Delayed       // the answer is lost; the call takes effect before the next one
)

// Write is one call that changes the store.
type Write struct {
	Kind, Name string
	Bytes      int // of the encoded value; 0 for a deletion
}

// Store is the fake. It is safe for concurrent use.
type Store struct {
	// Fault decides what happens to a call, if it is not nil. It is called with
	// the store's lock held.
	Fault func(kind, name string, write bool) Fault

	mu      sync.Mutex // guards all below
	version platform.Version
	objects map[string]map[string]platform.Object
	late    func()
	writes  []Write
}

var _ platform.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store { return &Store{objects: map[string]map[string]platform.Object{}} }

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
	s.runLate()
	var names []string
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	return names
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return platform.Object{}, err
	}
	if s.fault(kind, name, false) != None {
		return platform.Object{}, ErrDown
	}
	o, ok := s.objects[kind][name]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return o, nil
}

// Put implements platform.Store.
func (s *Store) Put(ctx context.Context, kind, name string, expect platform.Version, value any) (platform.Object, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return platform.Object{}, err
	}
	if len(data) > platform.MaxValueBytes {
		return platform.Object{}, errors.New("value is too large")
	}
	o := platform.Object{Kind: kind, Name: name, Value: data}
	err = s.write(ctx, &o, expect)
	return o, err
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, kind, name string, expect platform.Version) error {
	return s.write(ctx, &platform.Object{Kind: kind, Name: name, Deleted: true}, expect)
}

func (s *Store) write(ctx context.Context, o *platform.Object, expect platform.Version) error {
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
		late := *o
		s.late = func() { _ = s.apply(&late, expect) }
		return ErrLost
	}
	return s.apply(o, expect)
}

// fault lets a delayed write take effect and decides on the next call. The
// caller holds mu.
func (s *Store) fault(kind, name string, write bool) Fault {
	decided := None
	if s.Fault != nil {
		decided = s.Fault(kind, name, write)
	}
	if write {
		s.runLate() // reads may still see the state before it
	}
	return decided
}

func (s *Store) runLate() {
	if s.late != nil {
		late := s.late
		s.late = nil
		late()
	}
}

// apply carries out a write. The caller holds mu.
func (s *Store) apply(o *platform.Object, expect platform.Version) error {
	existing, ok := s.objects[o.Kind][o.Name]
	if o.Deleted && !ok {
		return platform.ErrNotFound
	}
	if existing.Version != expect {
		return platform.ErrConflict
	}
	s.version++
	o.Version = s.version
	s.writes = append(s.writes, Write{o.Kind, o.Name, len(o.Value)})
	if o.Deleted {
		delete(s.objects[o.Kind], o.Name)
		return nil
	}
	if s.objects[o.Kind] == nil {
		s.objects[o.Kind] = map[string]platform.Object{}
	}
	s.objects[o.Kind][o.Name] = *o
	return nil
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, kind string) (platform.List, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault(kind, "", false) != None {
		return platform.List{}, ErrDown
	}
	l := platform.List{Version: s.version}
	for _, o := range s.objects[kind] {
		l.Objects = append(l.Objects, o)
	}
	return l, ctx.Err()
}

// Watch implements platform.Store. It never sees changes.
func (s *Store) Watch(ctx context.Context, _ string, after platform.Version, _ time.Duration) (platform.List, error) {
	<-ctx.Done()
	return platform.List{Version: after}, ctx.Err()
}
