// Package hold lets a test suspend individual calls to a stand-in at a given point
// and wait until they have reached it.
package hold

import (
	"net/http"
	"sync"
)

// Point is a point in the handling of a call.
type Point int

// Points at which a call can be suspended.
const (
	// Arrived is after the header and before the body is read.
	Arrived Point = iota
	// Answering is after the call took effect and before its response is sent.
	Answering
)

// Held is a call that a test suspends.
type Held struct {
	// Reached is closed when the call has reached the point.
	Reached  chan struct{}
	released chan struct{}
	point    Point
	match    func(*http.Request) bool
}

// Release resumes the call. It must be called only once.
func (h *Held) Release() { close(h.released) }

// Set holds the calls to suspend at one stand-in. It is safe for concurrent use.
type Set struct {
	mu   sync.Mutex // guards held
	held []*Held
}

// Next suspends the next call that matches at point. Later calls pass.
func (s *Set) Next(point Point, match func(*http.Request) bool) *Held {
	h := &Held{Reached: make(chan struct{}), released: make(chan struct{}), point: point, match: match}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = append(s.held, h)
	return h
}

// Wait blocks while a test suspends the call at point.
func (s *Set) Wait(point Point, r *http.Request) {
	if h := s.remove(point, r); h != nil {
		close(h.Reached)
		<-h.released
	}
}

func (s *Set) remove(point Point, r *http.Request) *Held {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, h := range s.held {
		if h.point == point && h.match(r) {
			s.held = append(s.held[:n:n], s.held[n+1:]...)
			return h
		}
	}
	return nil
}
