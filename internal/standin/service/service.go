// Package service is a small stand-in for a plain service. It answers with what
// it was sent and keeps a record of it.
package service

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pomelocross/pomelocross/internal/standin/control"
	"github.com/pomelocross/pomelocross/upstream"
)

// Faults are switched while the service runs.
type Faults struct {
	// RunThenCut runs the request and cuts the connection without an answer.
	RunThenCut bool `json:"runThenCut"`
	// Refuse answers with status 503 without running anything.
	Refuse bool          `json:"refuse"`
	Delay  time.Duration `json:"delay"` // nanoseconds before each answer
}

// Received is one request that was run.
type Received struct {
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Query  string      `json:"query"`
	Header http.Header `json:"header"`
	Body   string      `json:"body"`
}

// Answer is the body of each answer.
type Answer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Body    string `json:"body"`
}

// Server is the service. It implements http.Handler.
type Server struct {
	name string

	mu       sync.Mutex // guards all below
	faults   Faults
	running  int
	received []Received
}

// New returns a service.
func New(name string) *Server { return &Server{name: name} }

// SetFaults switches faults.
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
		control.Answer(w, upstream.Load{Running: running})
	case "/record":
		control.Answer(w, s.Record())
	case "/faults":
		control.Switch(s.SetFaults)(w, r)
	default:
		s.run(w, r)
	}
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	faults := s.begin(r, string(body))
	defer s.end()
	if faults.Refuse {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(faults.Delay)
	if faults.RunThenCut {
		panic(http.ErrAbortHandler)
	}
	control.Answer(w, Answer{Service: s.name, Path: r.URL.Path, Body: string(body)})
}

func (s *Server) begin(r *http.Request, body string) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	if !s.faults.Refuse {
		s.received = append(s.received, Received{Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Header: r.Header.Clone(), Body: body})
	}
	return s.faults
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
