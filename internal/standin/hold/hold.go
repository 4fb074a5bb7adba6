// Package hold lets a test stop single calls to a stand-in at a chosen point
// and tells it that they have got there.
package hold

import (
	"net/http"
	"sync"
)

// Point is where a call is held.
type Point int

// The points of a call.
const (
	// Arrived is after the header was read and before the body is asked for.
	Arrived Point = iota
	// Answering is after the call took effect and before its answer is sent.
	Answering
)

// Held is one call that a test waits for.
type Held struct {
	// Reached is closed when the call is at the point.
	Reached chan struct{}
	free    chan struct{}
	point   Point
	match   func(*http.Request) bool
}

// Release lets the call go on.
func (h *Held) Release() { close(h.free) }

// Set is the calls that tests wait for at one stand-in.
type Set struct {
	mu   sync.Mutex // guards held
	held []*Held
}

// Next holds the next call that matches, once.
func (s *Set) Next(point Point, match func(*http.Request) bool) *Held {
	h := &Held{Reached: make(chan struct{}), free: make(chan struct{}), point: point, match: match}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = append(s.held, h)
	return h
}

// Wait returns at once unless a test holds the call at the point.
func (s *Set) Wait(point Point, r *http.Request) {
	if h := s.take(point, r); h != nil {
		close(h.Reached)
		<-h.free
	}
}

func (s *Set) take(point Point, r *http.Request) *Held {
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
