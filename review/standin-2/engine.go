//go:build review2

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// action is what an engine does with a request.
type action int

const (
	serveIt action = iota
	hangIt         // runs it and never answers, on a channel that stays open
	failIt         // answers 500: the engine ran it, and it failed
)

// engine is a server of a service. It registers itself in the store.
type engine struct {
	w       *world
	id      string
	service string
	zone    string
	at      string
	slots   int
	events  int           // of a stream or item; 0 for a plain answer
	pace    time.Duration // between events, or until a plain answer
	// failPace is the time until an answer of 500.
	failPace time.Duration
	models   []string
	choose   func(run) action // nil to serve all
	// text returns the data of an event of a run by tenant, body and ID.
	text func(tenant, body, id string, n int64) string

	mu      sync.Mutex // guards all below
	busy    int
	runs    []run
	ended   []string // IDs of runs that were answered completely
	version int64
	seq     int64
	slow    int       // how many times as long the engine works
	until   time.Time // end of that
}

// slowDown makes the engine work several times as long for a time.
func (e *engine) slowDown(x int, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow, e.until = x, time.Now().Add(d)
}

// step returns the time between two events now.
func (e *engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.until) {
		return e.pace * time.Duration(e.slow)
	}
	return e.pace
}

// served returns the models of the engine.
func (e *engine) served() []object {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []object
	for _, m := range e.models {
		list = append(list, object{"Name": m, "Version": e.version, "Adapters": []string{}})
	}
	return list
}

// run is one request that an engine began to work on.
type run struct {
	ID     string
	Engine string
	After  int64 // Last-Event-Id; -1 for none
	At     time.Time
	From   string // address of the sender's end
}

func (w *world) addEngine(e *engine) *engine {
	e.w, e.version = w, 1
	e.at = serve(e)
	go func() {
		for seq := 1; ; seq++ {
			w.store.Set("servers", e.id, e.entry(seq))
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return e
}

var bornAt = time.Now().UnixMilli()

func (e *engine) entry(seq int) object {
	entry := object{"Service": e.service, "Addr": e.at, "Zone": e.zone, "Version": "1.4.0", "Slots": e.slots, "State": "ready", "ColdLeftMs": 0, "Seq": seq, "born": bornAt}
	if e.models != nil {
		entry["Stage"], entry["Models"] = "both", e.served()
	}
	return entry
}

// begin takes a slot; it reports false if none is free.
func (e *engine) begin(r run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy >= e.slots {
		return false
	}
	e.busy++
	e.runs = append(e.runs, r)
	return true
}

func (e *engine) end() {
	e.mu.Lock()
	e.busy--
	e.mu.Unlock()
}

func (e *engine) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", e.busy, e.slots)
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if id := r.Header.Get("X-Pomelocross-Request-Id"); id != "" {
		h.Set("X-Pomelocross-Request-Id", id)
	}
	if expected := r.Header.Get("X-Pomelocross-Expect-Instance"); expected != "" && expected != e.id {
		h.Set("X-Pomelocross-Instance", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h.Set("X-Pomelocross-Load", e.load())
	if r.URL.Path == "/report" {
		models := e.served()
		e.mu.Lock()
		report := object{"Stage": "both", "Models": models, "Busy": false, "Seq": e.seq, "NumWaiting": 0, "NumRunning": e.busy}
		e.mu.Unlock()
		h.Set("Content-Type", "application/json")
		_, _ = w.Write(encode(report))
		return
	}
	this := run{ID: r.Header.Get("X-Pomelocross-Request-Id"), Engine: e.id, After: -1, At: time.Now(), From: r.RemoteAddr}
	if n, err := strconv.ParseInt(r.Header.Get("Last-Event-Id"), 10, 64); err == nil {
		this.After = n
	}
	if this.ID == "" {
		h.Set("X-Pomelocross-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !e.begin(this) {
		h.Set("X-Pomelocross-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.end()
	act := serveIt
	if e.choose != nil {
		act = e.choose(this)
	}
	e.w.note("%s begins %s after event %d%s", e.id, this.ID, this.After, [...]string{"", ", and never answers", ", and fails"}[act])
	var giveUp <-chan time.Time // an engine stops work at the deadline that it gets
	if ms, err := strconv.Atoi(r.Header.Get("X-Pomelocross-Deadline-Ms")); err == nil {
		giveUp = time.After(time.Duration(ms) * time.Millisecond)
	}
	switch act {
	case hangIt:
		<-r.Context().Done()
		return
	case failIt:
		select {
		case <-time.After(e.failPace):
			h.Set("X-Pomelocross-Server-Seal", seal(this.ID))
			w.WriteHeader(http.StatusInternalServerError)
		case <-r.Context().Done():
		}
		return
	}
	h.Set("X-Pomelocross-Server-Seal", seal(this.ID))
	if e.events == 0 {
		select {
		case <-time.After(e.pace):
		case <-r.Context().Done():
			return
		}
		_, _ = w.Write(answerTo(this.ID, body))
		e.finish(this.ID)
		return
	}
	e.mu.Lock()
	h.Set("X-Pomelocross-Weight-Versions", strconv.FormatInt(e.version, 10))
	e.mu.Unlock()
	h.Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	text := e.text
	if text == nil {
		text = func(_, _, id string, n int64) string { return eventData(id, n) }
	}
	for n := this.After + 1; n < int64(e.events); n++ {
		select {
		case <-time.After(e.step()):
		case <-giveUp:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, text(r.Header.Get("X-Pomelocross-Tenant"), string(body), this.ID, n))
		if flush.Flush() != nil {
			return
		}
	}
	e.finish(this.ID)
}

func (e *engine) finish(id string) {
	e.mu.Lock()
	e.ended = append(e.ended, id)
	e.mu.Unlock()
	e.w.note("%s has answered %s", e.id, id)
}

func seal(id string) string               { return "3e1b.07." + id }
func eventData(id string, n int64) string { return fmt.Sprintf("%s/%d", id, n) }
func answerTo(id string, body []byte) []byte {
	return []byte(fmt.Sprintf("answer to %s with %d bytes", id, len(body)))
}
