package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// batch is what callers have seen of one batch.
type batch struct {
	id, key  string
	items    int
	least    int64
	accepted bool
	denied   bool // every submission was refused with a promise
	tried    int
	ended    bool
	results  []result // by position, as first read
}

type result struct {
	Id       string
	State    string
	Output   string
	Versions []int64
}

// desk is what a caller has seen of one single request.
type desk struct {
	id     string
	unsafe bool
	status int // 0 when no whole answer came
	body   string
}

// record is all that callers have seen.
type record struct {
	mu      sync.Mutex // guards all below and every batch
	batches []*batch
	desks   []desk
	faults  []string // broken promises
}

func (r *record) broken(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

func call(w *world, r *rand.Rand, method, path, key, id string, body []byte, patience time.Duration) (int, []byte) {
	g := w.gateways[r.IntN(len(w.gateways))]
	request, err := http.NewRequest(method, "http://"+g.front+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("X-Api-Key", key)
	request.Header.Set("X-Pomelocross-Request-Id", id)
	request.Header.Set("X-Pomelocross-Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	request.Header.Set("X-Pomelocross-Wait-Ms", "300")
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer answer.Body.Close()
	read, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, read
}

// order sends single requests until stop is closed.
func order(w *world, seen *record, r *rand.Rand, who int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(10+r.IntN(60)) * time.Millisecond):
		}
		d := desk{id: fmt.Sprintf("d%d-%d", who, n), unsafe: r.IntN(2) == 0}
		path := "/kits/1"
		if d.unsafe {
			path = "/orders/1"
		}
		status, body := call(w, r, "POST", path, "key-north", d.id, []byte("pins"), time.Second)
		d.status, d.body = status, string(body)
		seen.mu.Lock()
		seen.desks = append(seen.desks, d)
		seen.mu.Unlock()
	}
}

func (b *batch) body(w *world) []byte {
	lot := map[string]any{"Step": 1, "Model": model, "MinVersion": b.least, "Desired": b.items / 2}
	var items []map[string]any
	for n := range b.items {
		items = append(items, map[string]any{
			"Id": fmt.Sprintf("%s-%d", b.id, n), "Path": "/train/x/" + b.id, "Body": []byte("prompt"), "NumTokens": 100, "Group": fmt.Sprint(b.id, n/2),
			"Headers": map[string]string{"X-Pomelocross-Model": model, "X-Pomelocross-Tokens": "20,80"},
		})
	}
	lot["Items"] = items
	encoded, err := json.Marshal(lot)
	if err != nil {
		panic(err)
	}
	return encoded
}

// train hands batches in, reads and ends them until stop is closed.
func train(w *world, seen *record, r *rand.Rand, who int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		w.mu.Lock()
		least := max(1, w.weights-1)
		w.mu.Unlock()
		b := &batch{id: fmt.Sprintf("b%d-%d", who, n), key: "key-south", items: 4 + r.IntN(12), least: least, denied: true}
		seen.mu.Lock()
		seen.batches = append(seen.batches, b)
		seen.mu.Unlock()
		if submit(w, seen, r, b, stop) {
			follow(w, seen, r, b, stop)
		}
		if r.IntN(3) == 0 {
			w.note("version %d is named", w.nameVersion())
		}
	}
}

// submit hands a batch in, again after each answer that is no acceptance.
func submit(w *world, seen *record, r *rand.Rand, b *batch, stop <-chan struct{}) bool {
	body := b.body(w)
	for range 12 {
		status, _ := call(w, r, "POST", "/train/"+b.id, b.key, b.id, body, 4*time.Second)
		seen.mu.Lock()
		b.tried++
		b.accepted = status == http.StatusAccepted
		b.denied = b.denied && status == http.StatusServiceUnavailable
		seen.mu.Unlock()
		if b.accepted {
			return true
		}
		select {
		case <-stop:
			return false
		case <-time.After(200 * time.Millisecond):
		}
	}
	return false
}

// follow reads a batch at any gateways until it is whole or ends it early.
func follow(w *world, seen *record, r *rand.Rand, b *batch, stop <-chan struct{}) {
	early := r.IntN(4) == 0
	for {
		select {
		case <-stop:
			return
		default:
		}
		read(w, seen, r, b, 1500*time.Millisecond)
		seen.mu.Lock()
		whole := len(b.results) == b.items
		seen.mu.Unlock()
		if !whole && !early {
			continue
		}
		if status, _ := call(w, r, "DELETE", "/lots/"+b.id, b.key, b.id, nil, 3*time.Second); status == http.StatusOK {
			seen.mu.Lock()
			b.ended = true
			seen.mu.Unlock()
			return
		}
	}
}

// read reads results from any position and compares them with earlier ones.
func read(w *world, seen *record, r *rand.Rand, b *batch, patience time.Duration) {
	seen.mu.Lock()
	after := r.IntN(len(b.results) + 1)
	seen.mu.Unlock()
	status, body := call(w, r, "GET", fmt.Sprintf("/lots/%s?After=%d", b.id, after), b.key, "", nil, patience)
	if status == http.StatusNotFound {
		seen.broken("batch %s was accepted and is unknown", b.id)
	}
	if status != http.StatusOK {
		time.Sleep(50 * time.Millisecond)
		return
	}
	var page struct {
		Total   int
		Results []result
	}
	if err := json.Unmarshal(body, &page); err != nil {
		seen.broken("batch %s: page cannot be read: %v", b.id, err)
		return
	}
	if page.Total != b.items {
		seen.broken("batch %s has %d items, the page says %d", b.id, b.items, page.Total)
	}
	seen.mu.Lock()
	defer seen.mu.Unlock()
	for n, got := range page.Results {
		at := after + n
		if at < len(b.results) {
			if was := b.results[at]; was.Id != got.Id || was.Output != got.Output || was.State != got.State {
				seen.faults = append(seen.faults, fmt.Sprintf("batch %s: position %d was %s and is %s", b.id, at, was.Id, got.Id))
			}
			continue
		}
		b.results = append(b.results, got)
	}
}
