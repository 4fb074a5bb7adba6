package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. Its calls are linearizable.
type store struct {
	mu       sync.Mutex // guards all below
	busy     bool       // all calls are answered 503
	revision int64
	kinds    map[string]map[string]object
	events   []event
	changed  chan struct{} // closed and replaced at each change
}

type object struct {
	Meta   meta            `json:"Meta"`
	Spec   json.RawMessage `json:"Spec"`
	Status json.RawMessage `json:"Status,omitempty"`
}

type meta struct {
	Name       string   `json:"Name"`
	Revision   int64    `json:"Revision"`
	Created    int64    `json:"Created"`
	Finalizers []string `json:"Finalizers"`
	Deleting   bool     `json:"Deleting,omitempty"`
}

type event struct {
	kind     string
	revision int64
	Object   object `json:"Object"`
	Deleted  bool   `json:"Deleted"`
}

// valueBytes is the maximum size of an object.
const valueBytes = 1 << 20

func newStore() *store {
	return &store{revision: 1, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
}

// set writes an object as an operator, a trainer or an engine does.
func (s *store) set(kind, name string, spec any) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Meta.Name, o.Spec = name, encoded
	s.put(kind, o)
}

// setBusy begins or ends a time in which the store turns all calls away.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
	close(s.changed) // ends the watches
	s.changed = make(chan struct{})
}

func (s *store) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, name)
}

// put stores an object. The caller holds mu.
func (s *store) put(kind string, o object) object {
	s.revision++
	if o.Meta.Created == 0 {
		o.Meta.Created = s.revision
	}
	if o.Meta.Finalizers == nil {
		o.Meta.Finalizers = []string{}
	}
	o.Meta.Revision = s.revision
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][o.Meta.Name] = o
	s.notify(event{kind: kind, revision: s.revision, Object: o})
	return o
}

// drop removes an object. The caller holds mu.
func (s *store) drop(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.kinds[kind], name)
	o.Meta.Revision = s.revision
	s.notify(event{kind: kind, revision: s.revision, Object: o, Deleted: true})
}

// notify records a change and wakes watches. The caller holds mu.
func (s *store) notify(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.isBusy() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind, name, query := parts[0], "", r.URL.Query()
	if len(parts) > 1 {
		name = parts[1]
	}
	var sent object
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(sent.Spec)+len(sent.Status) > valueBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	switch {
	case r.Method == http.MethodGet && query.Get("Watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("After"))
	default:
		s.change(w, r, kind, name, len(parts) == 3, sent)
	}
}

// change serves the calls on one object.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, status bool, sent object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	expect, _ := strconv.ParseInt(r.URL.Query().Get("Revision"), 10, 64)
	if expect == 0 {
		expect = sent.Meta.Revision
	}
	if r.Method == http.MethodPost {
		name = sent.Meta.Name
	}
	known, exists := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && expect != 0 && expect != known.Meta.Revision:
		reply(w, http.StatusConflict, known)
	case r.Method == http.MethodPost:
		reply(w, http.StatusOK, s.put(kind, object{Meta: meta{Name: name, Finalizers: sent.Meta.Finalizers}, Spec: sent.Spec}))
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet:
		reply(w, http.StatusOK, known)
	case r.Method == http.MethodDelete:
		s.drop(kind, name)
		reply(w, http.StatusOK, known)
	case r.Method == http.MethodPut && status:
		known.Status = sent.Status
		reply(w, http.StatusOK, s.put(kind, known))
	case r.Method == http.MethodPut && string(known.Spec) == string(sent.Spec):
		reply(w, http.StatusOK, known)
	case r.Method == http.MethodPut:
		known.Spec = sent.Spec
		reply(w, http.StatusOK, s.put(kind, known))
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// listItems is the number of objects in a page of a list.
const listItems = 500

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, truncated := []object{}, false
	for _, o := range s.kinds[kind] {
		if o.Meta.Name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Meta.Name < items[b].Meta.Name })
	if len(items) > listItems {
		items, truncated = items[:listItems], true
	}
	reply(w, http.StatusOK, map[string]any{"Items": items, "Truncated": truncated, "AsOf": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		found := []event{}
		s.mu.Lock()
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				found = append(found, e)
			}
		}
		asOf, changed, busy := s.revision, s.changed, s.busy
		s.mu.Unlock()
		if busy {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "AsOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": found, "AsOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded) // the caller may have left
}
