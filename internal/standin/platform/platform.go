// Package platform is a small test stand-in for the platform: versioned objects
// with conditional updates and watches, the usage and scaling APIs, and the
// instance list. It records every report and order for tests to check.
package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/pomelocross/pomelocross/internal/standin/control"
	"github.com/pomelocross/pomelocross/internal/standin/hold"
	client "github.com/pomelocross/pomelocross/objects"
)

// historyLength is the number of changes kept for watches.
const historyLength = 4096

// Record holds what the stand-in received, in order of receipt.
type Record struct {
	Usage []client.UsageReport `json:"usage"`
	Scale []client.ScaleOrder  `json:"scale"`
	// ScaleTimes are the times of receipt of the orders in Scale.
	ScaleTimes []time.Time `json:"scaleTimes"`
	// Calls counts calls by route pattern (method and path).
	Calls map[string]int64 `json:"calls"`
}

// Server is the stand-in. It implements http.Handler.
type Server struct {
	mux *http.ServeMux
	// Holds lets tests suspend single calls.
	Holds hold.Set

	mu           sync.Mutex // guards all below; handlers run concurrently
	version      client.Version
	objects      map[string]map[string]client.Object
	history      []client.Object
	changed      chan struct{} // closed and replaced on every write
	members      []client.Member
	staleMembers []client.Member // shown while Faults.StaleList is set
	faults       Faults
	limiter      *rate.Limiter
	scaleEpochs  map[string]int64 // highest epoch of the scaling orders, by domain
	record       Record
}

// New returns an empty platform.
func New() *Server {
	s := &Server{
		mux:         http.NewServeMux(),
		objects:     map[string]map[string]client.Object{},
		changed:     make(chan struct{}),
		scaleEpochs: map[string]int64{},
		record:      Record{Calls: map[string]int64{}},
	}
	s.mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.get)
	s.mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.put)
	s.mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.delete)
	s.mux.HandleFunc("GET /v1/objects/{kind}", s.list)
	s.mux.HandleFunc("GET /v1/instances", s.listMembers)
	s.mux.HandleFunc("PUT /v1/instances", control.ReadJSON(s.SetMembers))
	s.mux.HandleFunc("POST /v1/usage", s.usage)
	s.mux.HandleFunc("POST /v1/scale", s.scale)
	s.mux.HandleFunc("PUT /faults", control.ReadJSON(s.SetFaults))
	s.mux.HandleFunc("GET /record", control.ServeJSON(s.Record))
	return s
}

// SetMembers replaces the instance list.
func (s *Server) SetMembers(members []client.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = members
}

// Record returns a copy of the record.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := Record{Calls: map[string]int64{}}
	copied.Usage = append(copied.Usage, s.record.Usage...)
	copied.Scale = append(copied.Scale, s.record.Scale...)
	copied.ScaleTimes = append(copied.ScaleTimes, s.record.ScaleTimes...)
	for k, v := range s.record.Calls {
		copied.Calls[k] = v
	}
	return copied
}

// ServeHTTP implements http.Handler. Faults do not apply to control paths.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/faults" || r.URL.Path == "/record" || (r.Method == http.MethodPut && r.URL.Path == "/v1/instances") {
		s.mux.ServeHTTP(w, r)
		return
	}
	_, pattern := s.mux.Handler(r)
	s.mu.Lock()
	s.record.Calls[pattern]++
	s.mu.Unlock()
	if !s.admit(w) {
		return
	}
	s.Holds.Wait(hold.Arrived, r)
	s.mux.ServeHTTP(w, r)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	control.WriteJSON(w, o)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var value json.RawMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, client.MaxValueBytes)).Decode(&value); err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	s.write(w, r, client.Object{Kind: r.PathValue("kind"), Name: r.PathValue("name"), Value: value})
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	s.write(w, r, client.Object{Kind: r.PathValue("kind"), Name: r.PathValue("name"), Deleted: true})
}

func (s *Server) write(w http.ResponseWriter, r *http.Request, o client.Object) {
	expect, err := strconv.ParseInt(r.URL.Query().Get("expect"), 10, 64)
	if err != nil {
		http.Error(w, "expect is required", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if consumeFault(&s.faults.DropWrites, s.faults.DropKind, o.Kind) {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if s.objects[o.Kind][o.Name].Version != client.Version(expect) {
		s.mu.Unlock()
		http.Error(w, "conflict", http.StatusConflict)
		return
	}
	o = s.commit(o)
	lose := consumeFault(&s.faults.LoseAnswers, s.faults.LoseKind, o.Kind)
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	s.Holds.Wait(hold.Answering, r)
	control.WriteJSON(w, o)
}

// commit stores o with the next version and wakes up the watches. The caller
// holds mu.
func (s *Server) commit(o client.Object) client.Object {
	s.version++
	o.Version = s.version
	if s.objects[o.Kind] == nil {
		s.objects[o.Kind] = map[string]client.Object{}
	}
	if o.Deleted {
		delete(s.objects[o.Kind], o.Name)
	} else {
		s.objects[o.Kind][o.Name] = o
	}
	s.history = append(s.history, o)
	if len(s.history) > historyLength {
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	kind := r.PathValue("kind")
	if !r.URL.Query().Has("after") {
		control.WriteJSON(w, s.listAll(kind))
		return
	}
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		found, changed, gap := s.changesSince(kind, client.Version(after))
		if gap {
			http.Error(w, "gap", http.StatusGone)
			return
		}
		if len(found.Objects) > 0 {
			control.WriteJSON(w, found)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			control.WriteJSON(w, found)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) listAll(kind string) client.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := client.List{Version: s.version, Objects: []client.Object{}}
	for _, o := range s.objects[kind] {
		l.Objects = append(l.Objects, o)
	}
	return l
}

func (s *Server) changesSince(kind string, after client.Version) (client.List, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := client.List{Version: s.version, Objects: []client.Object{}}
	if s.faults.Gaps || len(s.history) > 0 && after < s.history[0].Version-1 {
		return l, s.changed, true
	}
	for _, o := range s.history {
		if o.Version > after && o.Kind == kind {
			l.Objects = append(l.Objects, o)
		}
	}
	return l, s.changed, false
}

// listMembers serves the instance list, or status 304 if the caller's ETag
// matches.
func (s *Server) listMembers(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	members := s.visibleMembers()
	s.mu.Unlock()
	data, err := json.Marshal(members)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("ETag", fmt.Sprintf("\"%x\"", xxhash.Sum64(data)))
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(data))
}

func (s *Server) usage(w http.ResponseWriter, r *http.Request) {
	var report client.UsageReport
	if err := json.NewDecoder(r.Body).Decode(&report); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.UsageDown {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	s.record.Usage = append(s.record.Usage, report)
	control.WriteJSON(w, struct{}{})
}

func (s *Server) scale(w http.ResponseWriter, r *http.Request) {
	var order client.ScaleOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.FenceScale && order.Epoch < s.scaleEpochs[order.Domain] {
		http.Error(w, "old epoch", http.StatusConflict)
		return
	}
	s.scaleEpochs[order.Domain] = max(s.scaleEpochs[order.Domain], order.Epoch)
	s.record.Scale = append(s.record.Scale, order)
	s.record.ScaleTimes = append(s.record.ScaleTimes, time.Now())
	control.WriteJSON(w, struct{}{})
}
