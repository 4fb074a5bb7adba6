//go:build review2

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

	mu       sync.Mutex // guards all below
	running  int
	runs     []*engineRun
	versions map[string]int64 // by model; 1 if missing
	orders   []engineOrder    // accepted ones
	loading  time.Time        // end of the load in progress
}

// engineOrder is an order that an engine has accepted.
type engineOrder struct {
	at      time.Time
	owner   string
	fence   int64
	model   string
	version int64
}

// loadTime is the time that a load of weights takes.
const loadTime = 900 * time.Millisecond

// order handles POST /order.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Model, Mode, Owner string
		Version, Fence         int64
		Expect                 *int64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "Version" || o.Owner == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Before(e.loading) || o.Expect != nil && *o.Expect != int64(len(e.orders)) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.orders = append(e.orders, engineOrder{now, o.Owner, o.Fence, o.Model, o.Version})
	e.loading, e.versions[o.Model] = now.Add(loadTime), o.Version
	e.rec.say("%s: accepts order %d: version %d of %s, owner %q, fence %d", e.id, len(e.orders), o.Version, o.Model, o.Owner, o.Fence)
	w.WriteHeader(http.StatusAccepted)
}

// report handles GET /report.
func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	models := []map[string]any{}
	for m, v := range e.versions {
		models = append(models, map[string]any{"Name": m, "Version": v, "Adapters": []string{}})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Stage": "both", "Models": models, "Busy": time.Now().Before(e.loading), "Seq": len(e.orders), "NumRunning": e.running, "NumWaiting": 0, "KvUsed": 0, "KvTotal": 84492, "Handles": 0,
	})
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
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.versions == nil {
		e.versions = map[string]int64{}
	}
	for _, m := range models {
		e.versions[m] = 1
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
		e.report(w)
		return
	case "/order":
		e.order(w, r)
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
