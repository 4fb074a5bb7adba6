package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a stand-in of an engine: a model engine if pieces is set, else a plain service.
type server struct {
	id, service, zone, model string
	slots                    int
	born                     int64
	record                   *record
	// pieces returns the data of the events of a request.
	pieces func(id string) []string
	pause  time.Duration // between two events, or the time of a plain request
	// pauseOf, if set, returns the pause for a request.
	pauseOf func(id string) time.Duration
	// fail, if set, serves a request in another way, after the engine has begun to work on
	// it. It returns false if the request is served as usual.
	fail    func(w http.ResponseWriter, r *http.Request, id string) bool
	models  []string // that a model engine serves; model by default
	address string

	mu       sync.Mutex // guards all below
	running  int
	version  int64
	orders   int64
	runs     map[string]int  // requests that the engine began to work on, by id
	finished map[string]bool // streams of which the engine made all events, by id
}

func newServer(record *record, id, service, zone, model string) *server {
	return &server{id: id, service: service, zone: zone, model: model, slots: 12, born: time.Now().UnixMilli(), record: record, version: 1, runs: map[string]int{}, finished: map[string]bool{}, pause: 10 * time.Millisecond, models: []string{model}}
}

// registration is the entry of the server in the list.
func (s *server) registration(state string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := map[string]any{"Service": s.service, "Addr": s.address, "Zone": s.zone, "Version": "1", "Slots": s.slots, "State": state, "ColdLeftMs": 0, "Seq": 1, "born": s.born}
	if s.model != "" {
		entry["Stage"] = "both"
		entry["Models"] = s.served()
	}
	return entry
}

// served returns the models that the server serves. The caller holds mu.
func (s *server) served() []map[string]any {
	models := []map[string]any{}
	for _, name := range s.models {
		models = append(models, map[string]any{"Name": name, "Version": s.version, "Adapters": []string{}})
	}
	return models
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Pomelocross-Request-Id")
	if id != "" {
		w.Header().Set("X-Pomelocross-Request-Id", id)
	}
	if expected := r.Header.Get("X-Pomelocross-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Pomelocross-Instance", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Pomelocross-Instance", s.id)
		w.Header().Set("X-Pomelocross-Load", s.load())
	case r.URL.Path == "/report":
		s.report(w)
	case r.URL.Path == "/order":
		s.order(w, r)
	default:
		s.serve(w, r, id)
	}
}

func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", s.running, s.slots)
}

func (s *server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"Stage": "both", "Models": s.served(), "Busy": false, "Seq": s.orders,
		"NumWaiting": 0, "NumRunning": s.running, "KvUsed": 0, "KvTotal": 80000, "Handles": 0,
	})
}

func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Version int64
		Owner   string
		Fence   int64
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Owner == "" || order.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders++
	s.version = max(s.version, order.Version)
	w.WriteHeader(http.StatusAccepted)
}

// begin takes a slot; it returns false if none is free.
func (s *server) begin(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots {
		return false
	}
	s.running++
	s.runs[id]++
	return true
}

func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// ran returns how often the server began to work on a request.
func (s *server) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *server) serve(w http.ResponseWriter, r *http.Request, id string) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	w.Header().Set("X-Pomelocross-Load", s.load())
	if id == "" || !s.begin(id) {
		w.Header().Set("X-Pomelocross-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	s.record.line("run", s.id, id, r.Method+" "+r.URL.Path, "last-event="+r.Header.Get("Last-Event-Id"))
	w.Header().Set("X-Pomelocross-Server-Seal", "seal-"+id)
	if s.fail != nil && s.fail(w, r, id) {
		return
	}
	if s.pieces == nil {
		time.Sleep(s.pause)
		text := "answer to " + id
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text)
		return
	}
	s.stream(w, r, id)
}

func (s *server) stream(w http.ResponseWriter, r *http.Request, id string) {
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Pomelocross-Weight-Versions", strconv.FormatInt(version, 10))
	flush := http.NewResponseController(w)
	pieces, pause := s.pieces(id), s.pause
	if s.pauseOf != nil {
		pause = s.pauseOf(id)
	}
	for n := first; n < len(pieces); n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pause):
		}
		if _, err := io.WriteString(w, eventText(n, pieces[n])); err != nil || flush.Flush() != nil {
			return
		}
	}
	s.mu.Lock()
	s.finished[id] = true
	s.mu.Unlock()
	s.record.line("finished", s.id, id, fmt.Sprintf("%d events", len(pieces)))
}

// eventText encodes an event as text/event-stream: each line of its data is a data field.
func eventText(n int, data string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.ReplaceAll(data, "\n", "\ndata: "))
}
