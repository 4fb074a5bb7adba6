//go:build review

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

// engine is a model engine that keeps a record of its runs.
type engine struct {
	id       string
	service  string
	slots    int
	interval time.Duration // between two events
	// fails reports whether an item fails at each run.
	fails func(item string) bool
	rec   *record

	mu      sync.Mutex // guards all below
	running int
	runs    []*engineRun
}

// engineRun is one request that an engine ran.
type engineRun struct {
	item, tenant string
	after        int64 // Last-Event-Id; -1 if absent
	began, ended time.Time
	status       int
	complete     bool
}

// registration returns what the engine writes into the store.
func (e *engine) registration(address string, models ...string) any {
	var served []map[string]any
	for _, m := range models {
		served = append(served, map[string]any{"Name": m, "Version": 1, "Adapters": []string{}})
	}
	return map[string]any{
		"Service": e.service, "Addr": address, "Zone": "a", "Version": "v1", "Slots": e.slots, "State": "ready", "ColdLeftMs": 0, "Stage": "both",
		"Models": served, "Seq": 1, "born": time.Now().UnixMilli(),
	}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Pomelocross-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Pomelocross-Instance", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		e.mu.Lock()
		running := e.running
		e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"Stage": "both", "Models": []any{}, "Busy": false, "Seq": 0, "NumRunning": running, "NumWaiting": 0, "KvUsed": 0, "KvTotal": 84492})
		return
	case "/healthz":
		w.Header().Set("X-Pomelocross-Instance", e.id)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	run := &engineRun{item: r.Header.Get("X-Pomelocross-Request-Id"), tenant: r.Header.Get("X-Pomelocross-Tenant"), after: -1, began: time.Now()}
	if last, err := strconv.ParseInt(r.Header.Get("Last-Event-Id"), 10, 64); err == nil {
		run.after = last
	}
	h := w.Header()
	h.Set("X-Pomelocross-Request-Id", run.item)
	e.mu.Lock()
	full := e.running >= e.slots
	if !full {
		e.running++
		e.runs = append(e.runs, run)
	}
	h.Set("X-Pomelocross-Load", fmt.Sprintf("%d,0,%d", e.running, e.slots))
	e.mu.Unlock()
	if full {
		h.Set("X-Pomelocross-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
		run.ended = time.Now()
		e.rec.say("%s: %s of tenant %s ran for %d ms, status %d, complete %v", e.id, run.item, run.tenant, run.ended.Sub(run.began).Milliseconds(), run.status, run.complete)
	}()
	h.Set("X-Pomelocross-Server-Seal", "seal."+run.item)
	if e.fails != nil && e.fails(run.item) {
		run.status = http.StatusInternalServerError
		w.WriteHeader(run.status)
		return
	}
	run.status = http.StatusOK
	_, output, _ := strings.Cut(r.Header.Get("X-Pomelocross-Tokens"), ",")
	tokens, _ := strconv.Atoi(output)
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Pomelocross-Weight-Versions", "1")
	flush := http.NewResponseController(w)
	for n := run.after + 1; n < int64(max(1, tokens/64)); n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.interval):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s of %s, part %d\n\n", n, run.item, run.tenant, n); err != nil || flush.Flush() != nil {
			return
		}
	}
	run.complete = true
}

// history returns the runs of all engines so far.
func history(engines []*engine) []engineRun {
	var all []engineRun
	for _, e := range engines {
		e.mu.Lock()
		for _, r := range e.runs {
			all = append(all, *r)
		}
		e.mu.Unlock()
	}
	return all
}
