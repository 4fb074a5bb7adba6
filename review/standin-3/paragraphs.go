//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

const paragraphEvents = 6

// paragraphs: engines write texts of several paragraphs; some events begin with a line feed.
func paragraphs(w *world) {
	w.storeAddress, w.cloudAddress = w.serve(w.store), w.serve(w.cloud)
	text := func(item string, event int64) string {
		part := fmt.Sprintf("%s, part %d", item, event)
		if w.trouble && event%2 == 1 {
			return "\n\n" + part
		}
		return part
	}
	var engines []*engine
	for n := range 2 {
		e := &engine{id: fmt.Sprintf("engine-%d", n), service: "lm", slots: 8, interval: 20 * time.Millisecond, text: text, rec: w.rec}
		engines = append(engines, e)
		w.store.Set("servers", e.id, e.registration(w.serve(e), "m0"))
	}
	w.configure([]map[string]any{{"Name": "plans", "Host": host, "Prefix": "/train/", "Type": "rollout", "TimeoutMs": 10000, "GoalMs": 500, "Service": "lm", "Attempts": 3, "MaxQueueS": 40, "DueMs": 7500, "Resumable": true}}, []map[string]any{
		{"Name": "lm", "HealthPath": "/healthz", "MaxConns": 150, "Engine": map[string]any{"Slots": 8, "KvCap": 84492, "Models": []map[string]any{{"Name": "m0"}}}},
	})
	n := w.addNode("edge-a-1")
	w.start(n, "a")
	w.awaitReady(n)
	time.Sleep(time.Second)
	w.rec.say("north hands in its step: answer %d", call(n, key, "lot-north", "/train/1", step("m0", "north", 18, paragraphEvents*64), 4*time.Second))
	time.Sleep(6 * time.Second)
	all := outputs(n, key, "lot-north")
	other := 0
	for _, r := range all {
		var parts []string
		for event := range int64(paragraphEvents) {
			parts = append(parts, text(r.ID, event))
		}
		if want := strings.Join(parts, "\n"); r.State == "complete" && r.Output != want {
			other++
			w.rec.say("%s: read %q, the engine's events hold %q", r.ID, r.Output, want)
		}
	}
	w.finish(other > 0, "MIXED: %d of the %d complete results aren't what the engines' events hold", other, len(all))
}
