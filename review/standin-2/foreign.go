//go:build review2

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["foreign-text"] = foreignText }

// foreignText: two tenants train a model each and number their items alike. One engine of six is
// slow during the step of the first, which therefore ends with unfinished items. The second then
// asks for its own step.
func foreignText(w *world) verdict {
	const (
		engines = 6
		slots   = 4
		events  = 100
		pace    = 100 * time.Millisecond
		slower  = 4 // x of srv_slow
		slowFor = 8 * time.Second
		groups  = 6
		size    = 4
		due     = 7500 * time.Millisecond
		aKey    = "3d3zji9n73hh2b9wu3fe"
		bKey    = "8k2mvt0qpx61sy4hd7ra"
	)
	edge := w.addMachine("edge-a-1", "mty-a", true)
	w.addMachine("storage-a-1", "mty-a", false)
	var all []*engine
	for n := range engines {
		e := &engine{id: fmt.Sprintf("i-%d", n), service: "huvo11a", zone: "mty-a", slots: slots, events: events, pace: pace, models: []string{"daka51", "beri77"}, text: textOf}
		all = append(all, w.addEngine(e))
	}
	routes := []object{{
		"Name": "train", "Host": host, "Prefix": "/pufi791/", "Type": "rollout", "Service": "huvo11a", "TimeoutMs": 10000, "GoalMs": 500,
		"Attempts": 3, "Prio": 0, "DueMs": due.Milliseconds(), "MaxQueueS": 12,
	}}
	services := []object{{"Name": "huvo11a", "HealthPath": "/healthz", "MaxConns": 150, "Engine": object{"Slots": slots, "KvCap": 84492, "Models": []object{{"Name": "daka51"}, {"Name": "beri77"}}}}}
	w.configureFor(3, routes, services, []object{{"Name": "nowu640", "ApiKeys": []string{aKey}}, {"Name": "goka901", "ApiKeys": []string{bKey}}})
	for _, m := range w.machines {
		m.start()
	}
	w.awaitReady()
	time.Sleep(4 * time.Second)

	first := &trainer{w: w, key: aKey, edges: []*machine{edge}}
	second := &trainer{w: w, key: bKey, edges: []*machine{edge}}
	if w.trouble {
		all[0].slowDown(slower, slowFor)
		w.note("%s works %d times as long for %v", all[0].id, slower, slowFor)
	}
	a := first.step("7c41e09b52d6a3f8", newLot("daka51", "restock-plan", groups, size), 12*time.Second)
	b := second.step("19d2c0be7715fa04", newLot("beri77", "safety-note", groups, size), 12*time.Second)
	if a == nil || b == nil {
		return notRun
	}
	w.say("first tenant: %d of %d items read before it ended its step", len(a), groups*size)
	bad, foreign := 0, 0
	for id, got := range b {
		want := expected("goka901", "safety-note "+id, events)
		if got == want {
			continue
		}
		bad++
		theirs := 0
		for line := range strings.SplitSeq(got, "\n") {
			if strings.HasPrefix(line, "nowu640/") {
				theirs++
			}
		}
		if theirs > 0 {
			foreign++
		}
		w.note("item %s of goka901 is complete with %d lines, %d of them made for nowu640; its first line: %s", id, strings.Count(got, "\n")+1, theirs, strings.SplitN(got, "\n", 2)[0])
	}
	w.say("second tenant: %d of %d items read, %d whose text isn't the item's output, %d with text of the other tenant", len(b), groups*size, bad, foreign)
	switch {
	case bad > 0:
		return broken
	case len(b) < groups*size/2:
		return notRun
	}
	return held
}

// newLot returns a batch job whose items are numbered by step, group and place.
func newLot(model, prompt string, groups, size int) lot {
	l := lot{Step: 7, Model: model, MinVersion: 1, Desired: groups}
	for g := range groups {
		for n := range size {
			id := fmt.Sprintf("step7-group%d-%d", g, n)
			l.Items = append(l.Items, lotItem{
				ID: id, Path: "/pufi791/3/91c4", Body: b64(prompt + " " + id), Tokens: 40 + 64*100, Group: fmt.Sprintf("step7-group%d", g),
				Headers: map[string]string{"X-Pomelocross-Model": model, "X-Pomelocross-Tokens": fmt.Sprintf("40,%d", 64*100), "X-Pomelocross-Prompt-Prefix": fmt.Sprintf("9c2e4%d:40", g)},
			})
		}
	}
	return l
}

// step submits a batch job, reads it twice a second until all groups that it waits for are
// complete or its time is up, and ends it. It returns the texts by item, nil if it wasn't accepted.
func (t *trainer) step(id string, l lot, budget time.Duration) map[string]string {
	deadline := time.Now().Add(budget)
	if !t.submit(id, l) {
		return nil
	}
	texts, after := map[string]string{}, 0
	for time.Now().Before(deadline) && len(texts) < len(l.Items) {
		p, ok := t.read(id, after, 500*time.Millisecond)
		if !ok {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		for _, r := range p.Results {
			if r.State == "complete" {
				texts[r.ID] = r.Output
			}
		}
		after += len(p.Results)
	}
	if !t.end(id) {
		return nil
	}
	return texts
}

// textOf returns the data of event n of a run: what the engine makes of the request's body for its
// tenant.
func textOf(tenant, body, _ string, n int64) string {
	return fmt.Sprintf("%s/%s/%d", tenant, body, n)
}

// expected returns the whole output of an item.
func expected(tenant, body string, events int) string {
	lines := make([]string, events)
	for n := range lines {
		lines[n] = textOf(tenant, body, "", int64(n))
	}
	return strings.Join(lines, "\n")
}
