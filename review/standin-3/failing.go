//go:build review2

package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// lotItem is an item of a batch.
type lotItem struct {
	ID        string            `json:"Id"`
	Path      string            `json:"Path"`
	Headers   map[string]string `json:"Headers"`
	Body      string            `json:"Body"`
	NumTokens int               `json:"NumTokens"`
	Group     string            `json:"Group"`
}

// step returns the body of a batch of groups of four items.
func step(model, prefix string, groups, output int) []byte {
	var items []lotItem
	for n := range groups * 4 {
		items = append(items, lotItem{
			ID: fmt.Sprintf("%s-%03d", prefix, n), Path: "/train/run", NumTokens: 64 + output, Group: fmt.Sprintf("%s-g%d", prefix, n/4),
			Headers: map[string]string{"X-Pomelocross-Model": model, "X-Pomelocross-Tokens": fmt.Sprintf("64,%d", output), "X-Pomelocross-Prompt-Prefix": fmt.Sprintf("%x:64", n/4)},
			Body:    base64.StdEncoding.EncodeToString([]byte("draft a plan")),
		})
	}
	body, err := json.Marshal(map[string]any{"Step": 1, "Model": model, "MinVersion": 1, "Desired": groups * 9 / 10, "Items": items})
	check(err)
	return body
}

// call sends a request to a gateway and returns the status of its answer; 0 if there is none.
func call(n *node, key, id, path string, body []byte, budget time.Duration) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+n.front+path, bytes.NewReader(body))
	check(err)
	r.Host = host
	r.Header.Set("X-Api-Key", key)
	r.Header.Set("X-Pomelocross-Request-Id", id)
	r.Header.Set("X-Pomelocross-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	resp, err := (&http.Client{Timeout: budget, Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// results reads the results of a batch from a position on.
func results(n *node, key, lot string, after int) (ids []string, total, status int) {
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/lots/%s?After=%d", n.front, lot, after), nil)
	check(err)
	r.Host = host
	r.Header.Set("X-Api-Key", key)
	resp, err := (&http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return nil, 0, 0
	}
	defer resp.Body.Close()
	var page struct {
		Total   int
		Results []struct {
			ID    string `json:"Id"`
			State string
		}
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&page) != nil {
		return nil, 0, resp.StatusCode
	}
	for _, result := range page.Results {
		ids = append(ids, result.ID+" "+result.State)
	}
	return ids, page.Total, resp.StatusCode
}

const (
	stepTime  = 12 * time.Second // time budget of the trainer
	idleTime  = 5 * time.Second  // of LOST
	stepItems = 72
	// failingRounds is how often it is tried. Where the pauses of all engines end together, north's items
	// may fill them for a moment.
	failingRounds = 3
	// failingBelow is the number of the first item of south's step that doesn't fail: three of four do.
	failingBelow = "054"
)

// failing: the trainers of two tenants hand in a step each. Three of four items of one fail at each
// run.
func failing(w *world) {
	w.storeAddress, w.cloudAddress = w.serve(w.store), w.serve(w.cloud)
	var engines []*engine
	for n := range 3 {
		e := &engine{id: fmt.Sprintf("engine-%d", n), service: "lm", slots: 8, interval: 20 * time.Millisecond, rec: w.rec}
		e.fails = func(item string) bool {
			return w.trouble && strings.HasPrefix(item, "south") && item[len(item)-3:] < failingBelow
		}
		engines = append(engines, e)
		w.store.Set("servers", e.id, e.registration(w.serve(e), "m0"))
	}
	route := func(name, prefix string) map[string]any {
		return map[string]any{"Name": name, "Host": host, "Prefix": prefix, "Type": "rollout", "TimeoutMs": 10000, "GoalMs": 500, "Service": "lm", "Attempts": 3, "MaxQueueS": 40, "DueMs": 7500, "Resumable": true}
	}
	w.configure([]map[string]any{route("plans", "/train/plans/"), route("notes", "/train/notes/")}, []map[string]any{
		{"Name": "lm", "HealthPath": "/healthz", "MaxConns": 150, "Engine": map[string]any{"Slots": 8, "KvCap": 84492, "Models": []map[string]any{{"Name": "m0"}}}},
	})
	n := w.addNode("edge-a-1")
	w.start(n, "a")
	w.awaitReady(n)
	time.Sleep(time.Second)
	for round := range failingRounds {
		name := func(tenant string) string { return fmt.Sprintf("%s%d", tenant, round) }
		north, south := step("m0", name("north"), 18, 16*64), step("m0", name("south"), 18, 64*64)
		w.rec.say("north hands in its step: answer %d", call(n, key, name("lot-north"), "/train/plans/1", north, 4*time.Second))
		began := time.Now()
		w.rec.say("south hands in its step: answer %d", call(n, "key-of-south", name("lot-south"), "/train/notes/1", south, 4*time.Second))
		listed := 0
		for time.Since(began) < stepTime && listed < stepItems {
			ids, total, status := results(n, key, name("lot-north"), listed)
			if len(ids) > 0 || status != http.StatusOK {
				w.rec.say("north reads %d results more from position %d of %d (status %d)", len(ids), listed, total, status)
			}
			listed += len(ids)
			time.Sleep(500 * time.Millisecond)
		}
		over := time.Now()
		w.rec.say("north's trainer has read %d of %d results after %d ms", listed, stepItems, over.Sub(began).Milliseconds())
		if listed < stepItems {
			if waiting, begun := judgeIdle(w, engines, name("north"), stepItems, began, over); waiting > 0 && begun > 0 {
				w.finish(true, "LOST: %d items of north's step were at no engine for 5 s while engines were under half full; %d of its items had begun (round %d)", waiting, begun, round+1)
			}
		}
		w.rec.say("both trainers end their steps: answers %d and %d", end(n, key, name("lot-north")), end(n, "key-of-south", name("lot-south")))
		time.Sleep(idleTime)
	}
	w.finish(false, "LOST held in %d rounds", failingRounds)
}

// end ends a batch and returns the status of the answer.
func end(n *node, key, lot string) int {
	r, err := http.NewRequest(http.MethodDelete, fmt.Sprintf("http://%s/lots/%s", n.front, lot), nil)
	check(err)
	r.Host = host
	r.Header.Set("X-Api-Key", key)
	resp, err := (&http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// judgeIdle checks LOST: the step is over, and one of its items, which no engine has finished
// or failed, was at no engine for five seconds, while engines were under half full.
func judgeIdle(w *world, engines []*engine, prefix string, items int, began, over time.Time) (waiting, begun int) {
	runs := history(engines)
	slots := 0
	for _, e := range engines {
		slots += e.slots
	}
	at := func(item string, t time.Time) bool {
		for _, r := range runs {
			if r.item == item && !r.began.After(t) && (r.ended.IsZero() || r.ended.After(t)) {
				return true
			}
		}
		return false
	}
	done := map[string]bool{}
	seen := map[string]bool{}
	for _, r := range runs {
		done[r.item] = done[r.item] || r.complete || r.status >= 400
		seen[r.item] = true
	}
	for item := range seen {
		if strings.HasPrefix(item, prefix) {
			begun++
		}
	}
	first := ""
	for n := range items {
		item := fmt.Sprintf("%s-%03d", prefix, n)
		if done[item] {
			continue
		}
		var since time.Time
		for t := began; t.Before(over); t = t.Add(20 * time.Millisecond) {
			busy := 0
			for _, r := range runs {
				if !r.began.After(t) && (r.ended.IsZero() || r.ended.After(t)) {
					busy++
				}
			}
			if at(item, t) || 2*busy >= slots {
				since = time.Time{}
				continue
			}
			if since.IsZero() {
				since = t
			}
			if t.Sub(since) >= idleTime {
				waiting++
				if first == "" {
					first = item
					w.rec.say("%s was at no engine from %.1f s to %.1f s of the step and longer, and under half of the %d places were taken", item, since.Sub(began).Seconds(), t.Sub(began).Seconds(), slots)
				}
				break
			}
		}
	}
	return waiting, begun
}
