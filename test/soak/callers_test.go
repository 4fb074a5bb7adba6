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

// batchRecord holds what the callers observed of one batch.
type batchRecord struct {
	id, key    string
	items      int
	minVersion int64
	accepted   bool
	allRefused bool // every submission got 503, which states that nothing ran
	attempts   int
	deleted    bool
	results    []result // by position, as read the first time
}

type result struct {
	Id       string
	State    string
	Output   string
	Versions []int64
}

// requestRecord holds what a caller observed of one single request.
type requestRecord struct {
	id     string
	unsafe bool
	status int // 0 if no complete response was received
	body   string
	// gateway took the request; the response said that its upstream leaves.
	gateway    string
	leaving    bool
	sent, done time.Time
}

// observations holds everything the callers observed.
type observations struct {
	mu         sync.Mutex // guards the fields below and every batchRecord
	batches    []*batchRecord
	requests   []requestRecord
	violations []string // guarantees found broken, one message each
}

func (o *observations) violationf(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// reply is the response to a request and the gateway that took it; status is 0 if no
// complete response was received.
type reply struct {
	gateway string
	status  int
	header  http.Header
	body    []byte
}

// send is exchange without gateway and header.
func send(d *deployment, r *rand.Rand, method, path, key, id string, body []byte, timeout time.Duration) (int, []byte) {
	a := exchange(d, r, method, path, key, id, body, timeout)
	return a.status, a.body
}

// exchange sends a request through a random gateway and waits for timeout at most.
func exchange(d *deployment, r *rand.Rand, method, path, key, id string, body []byte, timeout time.Duration) reply {
	g := d.gateways[r.IntN(len(d.gateways))]
	request, err := http.NewRequest(method, "http://"+g.listen+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("X-Api-Key", key)
	request.Header.Set("X-Pomelocross-Request-Id", id)
	request.Header.Set("X-Pomelocross-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	request.Header.Set("X-Pomelocross-Wait-Ms", "300")
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return reply{gateway: g.name}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{gateway: g.name}
	}
	return reply{g.name, response.StatusCode, response.Header, data}
}

// sendRequests sends single requests, half of them unsafe, until stop is closed.
func sendRequests(d *deployment, obs *observations, r *rand.Rand, caller int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(10+r.IntN(60)) * time.Millisecond):
		}
		request := requestRecord{id: fmt.Sprintf("d%d-%d", caller, n), unsafe: r.IntN(2) == 0}
		path := "/kits/1"
		if request.unsafe {
			path = "/orders/1"
		}
		request.sent = time.Now()
		reply := exchange(d, r, "POST", path, "key-north", request.id, []byte("pins"), time.Second)
		request.done = time.Now()
		request.status, request.body = reply.status, string(reply.body)
		request.gateway, request.leaving = reply.gateway, reply.header.Get("Server-Leaving") == "1"
		obs.mu.Lock()
		obs.requests = append(obs.requests, request)
		obs.mu.Unlock()
	}
}

// requestBody encodes the submission of the batch.
func (b *batchRecord) requestBody(d *deployment) []byte {
	request := map[string]any{"Step": 1, "Model": model, "MinVersion": b.minVersion, "Desired": b.items / 2}
	var items []map[string]any
	for n := range b.items {
		items = append(items, map[string]any{
			"Id": fmt.Sprintf("%s-%d", b.id, n), "Path": "/train/x/" + b.id, "Body": []byte("prompt"), "NumTokens": 100, "Group": fmt.Sprint(b.id, n/2),
			"Headers": map[string]string{"X-Pomelocross-Model": model, "X-Pomelocross-Tokens": "20,80"},
		})
	}
	request["Items"] = items
	encoded, err := json.Marshal(request)
	if err != nil {
		panic(err)
	}
	return encoded
}

// submitBatches submits batches, reads their results and deletes them until stop is
// closed.
func submitBatches(d *deployment, obs *observations, r *rand.Rand, caller int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		d.mu.Lock()
		minVersion := max(1, d.weightVersion-1)
		d.mu.Unlock()
		b := &batchRecord{id: fmt.Sprintf("b%d-%d", caller, n), key: "key-south", items: 4 + r.IntN(12), minVersion: minVersion, allRefused: true}
		obs.mu.Lock()
		obs.batches = append(obs.batches, b)
		obs.mu.Unlock()
		if submit(d, obs, r, b, stop) {
			readUntilDone(d, obs, r, b, stop)
		}
		if r.IntN(3) == 0 {
			d.logf("published weight version %d", d.publishWeights())
		}
	}
}

// submit submits a batch up to 12 times until a gateway accepts it, and reports
// whether one did.
func submit(d *deployment, obs *observations, r *rand.Rand, b *batchRecord, stop <-chan struct{}) bool {
	body := b.requestBody(d)
	for range 12 {
		status, _ := send(d, r, "POST", "/train/"+b.id, b.key, b.id, body, 4*time.Second)
		obs.mu.Lock()
		b.attempts++
		b.accepted = status == http.StatusAccepted
		b.allRefused = b.allRefused && status == http.StatusServiceUnavailable
		obs.mu.Unlock()
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

// readUntilDone reads a batch through random gateways until it is complete and then
// deletes it. One batch in four is deleted before it is complete.
func readUntilDone(d *deployment, obs *observations, r *rand.Rand, b *batchRecord, stop <-chan struct{}) {
	deleteEarly := r.IntN(4) == 0
	for {
		select {
		case <-stop:
			return
		default:
		}
		readPage(d, obs, r, b, 1500*time.Millisecond)
		obs.mu.Lock()
		complete := len(b.results) == b.items
		obs.mu.Unlock()
		if !complete && !deleteEarly {
			continue
		}
		if status, _ := send(d, r, "DELETE", "/lots/"+b.id, b.key, b.id, nil, 3*time.Second); status == http.StatusOK {
			obs.mu.Lock()
			b.deleted = true
			obs.mu.Unlock()
			return
		}
	}
}

// readPage reads a page of results from a random position and checks that results
// read before have not changed.
func readPage(d *deployment, obs *observations, r *rand.Rand, b *batchRecord, timeout time.Duration) {
	obs.mu.Lock()
	after := r.IntN(len(b.results) + 1)
	obs.mu.Unlock()
	status, body := send(d, r, "GET", fmt.Sprintf("/lots/%s?After=%d", b.id, after), b.key, "", nil, timeout)
	if status == http.StatusNotFound {
		obs.violationf("batch %s was accepted, but a gateway answers 404 for it", b.id)
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
		obs.violationf("batch %s: page of results cannot be decoded: %v", b.id, err)
		return
	}
	if page.Total != b.items {
		obs.violationf("batch %s has %d items, but the page gives a total of %d", b.id, b.items, page.Total)
	}
	obs.mu.Lock()
	defer obs.mu.Unlock()
	for n, got := range page.Results {
		position := after + n
		if position < len(b.results) {
			if earlier := b.results[position]; earlier.Id != got.Id || earlier.Output != got.Output || earlier.State != got.State {
				obs.violations = append(obs.violations, fmt.Sprintf("batch %s: the result at position %d changed between two reads (item %s, then item %s)", b.id, position, earlier.Id, got.Id))
			}
			continue
		}
		b.results = append(b.results, got)
	}
}
