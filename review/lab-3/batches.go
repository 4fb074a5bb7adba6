package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["foreign"] = foreignText
	cases["budget"] = failuresForgotten
}

// Names of a second tenant and its model.
const (
	otherTenant = "goka901"
	otherKey    = "9n73hh2b9wu3fe3d3zji"
	otherModel  = "rada7437b5"
)

// foreignText: a trainer cancels a batch job right after its acceptance, and a trainer of
// another tenant submits one whose items have the same ids.
func foreignText(l *lab) error {
	config := baseConfig()
	config["Tenants"] = []map[string]any{{"Name": tenant, "ApiKeys": []string{key}}, {"Name": otherTenant, "ApiKeys": []string{otherKey}}}
	config["Services"].([]map[string]any)[1]["Engine"].(map[string]any)["Models"] = []map[string]any{{"Name": model}, {"Name": otherModel}}
	text := func(tenant, id string) []string {
		var pieces []string
		for n := range 25 {
			pieces = append(pieces, fmt.Sprintf("word %d of %s for %s", n, id, tenant))
		}
		return pieces
	}
	err := l.beginDeployment(config, 0, 4, func(s *server) {
		s.models, s.pause = []string{model, otherModel}, 20*time.Millisecond
		s.piecesOf = func(r *http.Request) []string {
			return text(r.Header.Get("X-Pomelocross-Tenant"), r.Header.Get("X-Pomelocross-Request-Id"))
		}
	})
	if err != nil {
		return err
	}
	entry := l.entries()[0]
	items := func(model string) []item {
		var list []item
		for n := range 12 {
			it := newItem(fmt.Sprintf("step0-%04d", n), fmt.Sprintf("/plan/3/%d", n), fmt.Sprintf("g%d", n/4))
			it.Headers["X-Pomelocross-Model"] = model
			list = append(list, it)
		}
		return list
	}
	const first, second = "7c41e09b52d6a3f8", "19d04be86af2c573"
	if a := l.send(entry, request{method: "POST", path: "/plan/" + first, id: first, body: submissionOf(0, model, items(model), 3)}); a.status != http.StatusAccepted {
		return fmt.Errorf("the first batch job was not accepted: %d %v %s", a.status, a.err, a.body)
	}
	if l.trouble {
		time.Sleep(200 * time.Millisecond)
	} else if _, err := l.readAll(first, 12, 15*time.Second); err != nil {
		return err
	}
	if a := l.send(entry, request{method: "DELETE", path: "/lots/" + first}); a.status != http.StatusOK {
		return fmt.Errorf("the first batch job was not ended: %d %v %s", a.status, a.err, a.body)
	}
	time.Sleep(time.Second)
	l.key = otherKey
	if a := l.send(entry, request{method: "POST", path: "/plan/" + second, id: second, body: submissionOf(0, otherModel, items(otherModel), 3)}); a.status != http.StatusAccepted {
		return fmt.Errorf("the second batch job was not accepted: %d %v %s", a.status, a.err, a.body)
	}
	results, err := l.readAll(second, 12, 15*time.Second)
	if err != nil {
		return err
	}
	foreign := 0
	for _, r := range results {
		if want := strings.Join(text(otherTenant, r.ID), "\n"); r.State == "complete" && r.Output != want {
			foreign++
			l.record.line("broken", "MIXED", r.ID, fmt.Sprintf("listed for %s: %q", otherTenant, r.Output[:min(len(r.Output), 160)]))
		}
	}
	if foreign > 0 {
		return brokenError(fmt.Sprintf("MIXED: %d of %d complete results of %s hold text that engines made for %s", foreign, len(results), otherTenant, tenant))
	}
	return nil
}

// failuresForgotten: an item fails at each run, and the machine that sends it is killed twice.
func failuresForgotten(l *lab) error {
	const bad, batch, attempts = "e5b2907c14da6f38", "7c41e09b52d6a3f8", 3
	var mu sync.Mutex
	failures, owners := 0, []string{}
	failed := make(chan string, 100)
	err := l.beginDeploymentIn([]string{"mty-a", "mty-b", "mty-c"}, baseConfig(), 0, 6, func(s *server) {
		s.fail = func(w http.ResponseWriter, r *http.Request, id string) bool {
			if id != bad {
				return false
			}
			time.Sleep(s.pause)
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(http.StatusInternalServerError)
			owner := r.RemoteAddr
			mu.Lock()
			failures++
			owners = append(owners, owner)
			l.record.line("failed", s.id, id, fmt.Sprintf("answer %d of 500", failures))
			mu.Unlock()
			failed <- s.id
			return true
		}
	})
	if err != nil {
		return err
	}
	items := []item{newItem(bad, "/plan/3/0", "g0")}
	for n := range 5 {
		items = append(items, newItem(fmt.Sprintf("a1%014d", n), fmt.Sprintf("/plan/3/%d", n+1), "g1"))
	}
	entries := l.entries()
	if a := l.send(entries[0], request{method: "POST", path: "/plan/" + batch, id: batch, body: submission(0, items, 2)}); a.status != http.StatusAccepted {
		return fmt.Errorf("the batch job was not accepted: %d %v %s", a.status, a.err, a.body)
	}
	listed := make(chan result, 1)
	reader := func(n *node, stop chan struct{}) {
		after := 0
		for {
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
			}
			p, a := l.readPage(n, batch, after)
			if a.err != nil || a.status != http.StatusOK {
				continue
			}
			after += len(p.Results)
			if i := slices.IndexFunc(p.Results, func(r result) bool { return r.ID == bad }); i >= 0 {
				l.record.line("listed", bad, p.Results[i].State)
				select {
				case listed <- p.Results[i]:
				default:
				}
			}
		}
	}
	for i := range 2 {
		stop := make(chan struct{})
		go reader(entries[i], stop)
		for range attempts {
			select {
			case <-failed:
			case <-time.After(15 * time.Second):
				close(stop)
				return fmt.Errorf("the item did not reach an engine in time")
			}
		}
		close(stop)
		if l.trouble {
			l.signal(entries[i], syscall.SIGKILL)
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	go reader(entries[2], stop)
	select {
	case <-listed:
	case <-time.After(25 * time.Second):
	}
	mu.Lock()
	defer mu.Unlock()
	if failures > 3*attempts {
		return brokenError(fmt.Sprintf("BUDGET: an item that fails at each run reached engines %d times; three times Attempts is %d", failures, 3*attempts))
	}
	return nil
}
