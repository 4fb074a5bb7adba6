//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["failed-again"] = failedAgain }

// failedAgain: two items of a batch job fail at each run. The process that runs the batch job is
// killed, as is the next one that runs it.
func failedAgain(w *world) verdict {
	const (
		attempts = 3
		engines  = 6
		downFor  = 3500 * time.Millisecond
		kills    = 4
		contact  = 3 * time.Second
		id       = "7c41e09b52d6a3f8"
	)
	var edges []*machine
	for n := range 5 {
		edges = append(edges, w.addMachine(fmt.Sprintf("edge-a-%d", n+1), "mty-a", true))
	}
	w.addMachine("storage-a-1", "mty-a", false)
	fails := map[string]bool{"e5b2907c14da6f00": true, "e5b2907c14da6f01": true}
	var mu sync.Mutex
	answers := map[string]int{} // answers of 500 by item
	var lastSent time.Time
	again := 0 // sendings after three times Attempts answers, by machines in touch
	disturbed := map[string]time.Time{}
	for n := range engines {
		e := &engine{id: fmt.Sprintf("i-%d", n), service: "huvo11a", zone: "mty-a", slots: 12, events: 250, pace: 100 * time.Millisecond, models: []string{"daka51"}, text: textOf}
		e.choose = func(r run) action {
			if !fails[r.ID] {
				return serveIt
			}
			owner := w.ownerOf(id)
			mu.Lock()
			defer mu.Unlock()
			lastSent = time.Now()
			if answers[r.ID] >= 3*attempts {
				if time.Since(disturbed[owner]) > contact {
					again++
					w.note("item %s reaches %s again from %s, after %d answers of 500", r.ID, e.id, owner, answers[r.ID])
				}
			}
			answers[r.ID]++
			return failIt
		}
		e.failPace = 300 * time.Millisecond
		w.addEngine(e)
	}
	w.configure(3, []object{{
		"Name": "train", "Host": host, "Prefix": "/pufi791/", "Type": "rollout", "Service": "huvo11a", "TimeoutMs": 10000, "GoalMs": 500,
		"Attempts": attempts, "Prio": 0, "DueMs": 30000, "MaxQueueS": 60,
	}}, []object{{"Name": "huvo11a", "HealthPath": "/healthz", "MaxConns": 150, "Engine": object{"Slots": 12, "KvCap": 84492, "Models": []object{{"Name": "daka51"}}}}})
	for _, m := range w.machines {
		m.start()
	}
	w.awaitReady()
	time.Sleep(4 * time.Second)

	t := &trainer{w: w, key: key, edges: edges}
	l := lot{Step: 7, Model: "daka51", MinVersion: 1, Desired: 2}
	for n := range 12 {
		l.Items = append(l.Items, lotItem{
			ID: fmt.Sprintf("e5b2907c14da6f%02x", n), Path: "/pufi791/3/91c4", Body: b64(fmt.Sprint("restock-plan ", n)), Tokens: 40 + 64*250, Group: fmt.Sprintf("g1002%c", 'a'+n/4),
			Headers: map[string]string{"X-Pomelocross-Model": "daka51", "X-Pomelocross-Tokens": fmt.Sprintf("40,%d", 64*250), "X-Pomelocross-Prompt-Prefix": "9c2e41:40"},
		})
	}
	if !t.submit(id, l) {
		return notRun
	}
	began, killed, dead := time.Now(), 0, 0
	heldSince, holder := time.Now(), ""
	for after := 0; time.Since(began) < 45*time.Second && dead < len(fails); {
		if p, ok := t.read(id, after, 200*time.Millisecond); ok {
			for _, r := range p.Results {
				w.note("result of %s: %s", r.ID, r.State)
				if r.State == "dead" {
					dead++
				}
			}
			after += len(p.Results)
		} else {
			time.Sleep(100 * time.Millisecond)
		}
		owner := w.ownerOf(id)
		if owner != holder {
			holder, heldSince = owner, time.Now()
			w.note("%s runs the batch job", owner)
		}
		mu.Lock()
		quiet := !lastSent.IsZero() && time.Since(lastSent) > 500*time.Millisecond && lastSent.After(heldSince)
		mu.Unlock()
		if !w.trouble || !quiet || killed == kills || dead > 0 {
			continue
		}
		for _, m := range edges {
			if m.name != owner || m.ended() {
				continue
			}
			killed++
			mu.Lock()
			disturbed[m.name] = time.Now().Add(downFor)
			w.note("%s is killed; answers of 500 so far: %v", m.name, answers)
			mu.Unlock()
			m.kill()
			time.AfterFunc(downFor, m.start)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	w.say("%d kills; answers of 500 by item: %v; %d sendings after %d of them", killed, answers, again, 3*attempts)
	if again > 0 {
		return broken
	}
	return held
}

// ownerOf returns the machine that runs a batch job, as the system has stored it.
func (w *world) ownerOf(id string) string {
	resp, err := http.Get("http://" + w.storeAt + "/objects/batches/" + id)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var o struct {
		Spec struct{ Owner string }
	}
	if json.NewDecoder(resp.Body).Decode(&o) != nil {
		return ""
	}
	return o.Spec.Owner
}
