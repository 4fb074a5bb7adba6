//go:build review2

package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"time"
)

const leaseTime = 3 * time.Second // LeaseMs

// ordersByItem: a client of one tenant hands in a batch with one item whose path and body are
// those of an order to an engine. Meanwhile a trainer names two versions.
func ordersByItem(w *world) {
	w.storeAddress, w.cloudAddress = w.serve(w.store), w.serve(w.cloud)
	var engines []*engine
	for n := range 2 {
		e := &engine{id: fmt.Sprintf("engine-%d", n), service: "lm", slots: 8, interval: 20 * time.Millisecond, rec: w.rec}
		engines = append(engines, e)
		w.store.Set("servers", e.id, e.registration(w.serve(e), "m0"))
	}
	w.configure([]map[string]any{{"Name": "plans", "Host": host, "Prefix": "/train/", "Type": "rollout", "TimeoutMs": 10000, "GoalMs": 500, "Service": "lm", "Attempts": 3, "MaxQueueS": 40, "DueMs": 7500, "Resumable": true}}, []map[string]any{
		{"Name": "lm", "HealthPath": "/healthz", "MaxConns": 150, "Engine": map[string]any{"Slots": 8, "KvCap": 84492, "Models": []map[string]any{{"Name": "m0"}}}},
	})
	holder, n := w.addStorageNode("storage-a-1"), w.addNode("edge-a-1")
	w.start(holder, "a")
	w.start(n, "a")
	w.awaitReady(n)
	time.Sleep(3 * time.Second) // a holder of the control role is found
	w.name(2)
	time.Sleep(2500 * time.Millisecond) // the engines have loaded it
	order, err := json.Marshal(map[string]any{"Op": "Version", "Model": "m0", "Version": 2, "Mode": "abort", "Owner": "south", "Fence": 1})
	check(err)
	path := "/train/run"
	if w.trouble {
		path = "/order"
	}
	lot, err := json.Marshal(map[string]any{"Step": 1, "Model": "m0", "MinVersion": 1, "Desired": 1, "Items": []lotItem{{
		ID: "south-1", Path: path, NumTokens: 128, Group: "g", Body: base64.StdEncoding.EncodeToString(order),
		Headers: map[string]string{"X-Pomelocross-Model": "m0", "X-Pomelocross-Tokens": "64,64", "X-Pomelocross-Prompt-Prefix": "a:64"},
	}}})
	check(err)
	w.rec.say("south hands in a batch with one item, path %s: answer %d", path, call(n, "key-of-south", "lot-south", "/train/1", lot, 4*time.Second))
	time.Sleep(200 * time.Millisecond)
	w.name(3)
	time.Sleep(6 * time.Second)
	broken := 0
	for _, e := range engines {
		e.mu.Lock()
		broken += w.judgeOrders(e)
		e.mu.Unlock()
	}
	w.finish(broken > 0, "ONE: %d times an engine got orders of two holders with one fence number, or of holders that took turns within LeaseMs", broken)
}

// name names a version, as a trainer does.
func (w *world) name(version int64) {
	w.store.Set("versions", "m0", map[string]any{"Model": "m0", "Version": version})
	w.rec.say("the trainer names version %d of m0", version)
}

// judgeOrders checks ONE for the orders of an engine. The caller holds the engine's mutex.
func (w *world) judgeOrders(e *engine) (broken int) {
	owners := map[int64]string{}
	for n, o := range e.orders {
		if other, known := owners[o.fence]; known && other != o.owner {
			broken++
			w.rec.say("%s: fence %d was sent by %q and by %q", e.id, o.fence, other, o.owner)
		}
		owners[o.fence] = o.owner
		if n > 1 && e.orders[n-2].owner == o.owner && e.orders[n-1].owner != o.owner && o.at.Sub(e.orders[n-2].at) < leaseTime {
			broken++
			w.rec.say("%s: %q, %q and %q ordered within %d ms", e.id, o.owner, e.orders[n-1].owner, o.owner, o.at.Sub(e.orders[n-2].at).Milliseconds())
		}
	}
	return broken
}
