package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["foreign"] = foreignText }

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
