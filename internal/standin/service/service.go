// Package service is a small test stand-in for a service of kind plain. It echoes
// the requests it receives and records them.
package service

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pomelocross/pomelocross/internal/standin/control"
	"github.com/pomelocross/pomelocross/upstream"
)

// Faults are the injected faults. They can be changed while the service runs.
type Faults struct {
	// RunThenCut runs the request and then aborts the connection without a response.
	RunThenCut bool `json:"runThenCut"`
	// Refuse rejects requests with status 503 without running them.
	Refuse bool          `json:"refuse"`
	Delay  time.Duration `json:"delay"` // nanoseconds before each response
}

// Received is a request that was run.
type Received struct {
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Query  string      `json:"query"`
	Header http.Header `json:"header"`
	Body   string      `json:"body"`
}

// Answer is the body of each response.
type Answer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Body    string `json:"body"`
}

// Server is the service stand-in. It implements http.Handler.
type Server struct {
	name string

	mu       sync.Mutex // guards all below
	faults   Faults
	running  int
	received []Received
}

// New returns a service with the given name.
func New(name string) *Server { return &Server{name: name} }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Record returns the requests that were run, in order.
func (s *Server) Record() []Received {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Received(nil), s.received...)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/load":
		s.mu.Lock()
		running := s.running
		s.mu.Unlock()
		control.WriteJSON(w, upstream.Load{Running: running})
	case "/record":
		control.WriteJSON(w, s.Record())
	case "/faults":
		control.ReadJSON(s.SetFaults)(w, r)
	default:
		s.run(w, r)
	}
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	faults := s.beginRequest(r, string(body))
	defer s.endRequest()
	if faults.Refuse {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(faults.Delay)
	if faults.RunThenCut {
		panic(http.ErrAbortHandler)
	}
	control.WriteJSON(w, Answer{Service: s.name, Path: r.URL.Path, Body: string(body)})
}

func (s *Server) beginRequest(r *http.Request, body string) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	if !s.faults.Refuse {
		s.received = append(s.received, Received{Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Header: r.Header.Clone(), Body: body})
	}
	return s.faults
}

func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
