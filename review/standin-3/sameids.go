//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// result is one result of a batch.
type result struct {
	ID     string `json:"Id"`
	State  string
	Output string
}

// outputs reads all results of a batch so far.
func outputs(n *node, key, lot string) (all []result) {
	for {
		r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/lots/%s?After=%d", n.front, lot, len(all)), nil)
		check(err)
		r.Host = host
		r.Header.Set("X-Api-Key", key)
		resp, err := (&http.Client{Timeout: 2 * time.Second}).Do(r)
		if err != nil {
			return all
		}
		var page struct{ Results []result }
		err = json.NewDecoder(resp.Body).Decode(&page)
		_ = resp.Body.Close()
		if err != nil || len(page.Results) == 0 {
			return all
		}
		all = append(all, page.Results...)
	}
}

// end ends a batch and returns the status of the answer.
func end(n *node, key, lot string) int {
	r, err := http.NewRequest(http.MethodDelete, fmt.Sprintf("http://%s/lots/%s", n.front, lot), nil)
	check(err)
	r.Host = host
	r.Header.Set("X-Api-Key", key)
	resp, err := (&http.Client{Timeout: 2 * time.Second}).Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

const (
	usualInterval = 60 * time.Millisecond // between two events
	slowness      = 4                     // of engines that turn slow
)

// sameIDs: the trainers of two tenants number their items alike. One engine of six turns slow, and
// the trainer of one tenant ends its step at its time budget; then the other hands in its step.
func sameIDs(w *world) {
	w.storeAddress, w.cloudAddress = w.serve(w.store), w.serve(w.cloud)
	var engines []*engine
	for n := range 6 {
		e := &engine{id: fmt.Sprintf("engine-%d", n), service: "lm", slots: 4, interval: usualInterval, rec: w.rec}
		if w.trouble && n == 0 {
			e.interval *= slowness
		}
		engines = append(engines, e)
		w.store.Set("servers", e.id, e.registration(w.serve(e), "m0"))
	}
	w.configure([]map[string]any{{"Name": "plans", "Host": host, "Prefix": "/train/", "Type": "rollout", "TimeoutMs": 10000, "GoalMs": 500, "Service": "lm", "Attempts": 3, "MaxQueueS": 40, "DueMs": 7500, "Resumable": true}}, []map[string]any{
		{"Name": "lm", "HealthPath": "/healthz", "MaxConns": 150, "Engine": map[string]any{"Slots": 4, "KvCap": 84492, "Models": []map[string]any{{"Name": "m0"}}}},
	})
	n := w.addNode("edge-a-1")
	w.start(n, "a")
	w.awaitReady(n)
	time.Sleep(time.Second)
	plan := step("m0", "step-1", 18, 58*64)
	if w.trouble {
		w.rec.say("engine-0 takes %d times as long", slowness)
	}
	w.rec.say("north hands in its step: answer %d", call(n, key, "lot-north", "/train/1", plan, 4*time.Second))
	time.Sleep(stepTime)
	w.rec.say("north has read %d of 72 results and ends its step: answer %d", len(outputs(n, key, "lot-north")), end(n, key, "lot-north"))
	for _, e := range engines {
		e.setInterval(usualInterval)
	}
	w.rec.say("all engines are as fast as usual")
	w.rec.say("south hands in its step: answer %d", call(n, "key-of-south", "lot-south", "/train/1", plan, 4*time.Second))
	time.Sleep(stepTime)
	foreign := 0
	all := outputs(n, "key-of-south", "lot-south")
	for _, r := range all {
		if strings.Contains(r.Output, "of north") {
			foreign++
			w.rec.say("south reads %s: %.120q", r.ID, r.Output)
		}
	}
	w.finish(foreign > 0, "MIXED: %d of the %d results that south has read hold text that was made for north", foreign, len(all))
}
