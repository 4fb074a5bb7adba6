package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// cases are the scripts by name.
var cases = map[string]func(*lab) error{
	"refused": refusedAfterRun,
	"text":    textWithEmptyLines,
	"silent":  silentStreams,
}

// beginDeployment starts a platform, engines and nodes in two zones.
func (l *lab) beginDeployment(config map[string]any, desks, engines int, prepare func(*server)) error {
	return l.beginDeploymentIn([]string{"mty-a", "mty-b"}, config, desks, engines, prepare)
}

// beginDeploymentIn is beginDeployment with other zones.
func (l *lab) beginDeploymentIn(zones []string, config map[string]any, desks, engines int, prepare func(*server)) error {
	if err := l.beginPlatform(config); err != nil {
		return err
	}
	for i := range desks + engines {
		s := newServer(l.record, fmt.Sprintf("i-desk-%d", i), "desk", zones[i%len(zones)], "")
		if i >= desks {
			s = newServer(l.record, fmt.Sprintf("i-lm-%d", i-desks), "lm", zones[i%len(zones)], model)
			s.pieces = func(id string) []string { return []string{id + " one", id + " two", id + " three"} }
		}
		prepare(s)
		if err := l.addServer(s); err != nil {
			return err
		}
	}
	l.heartbeats()
	return l.beginNodes(zones...)
}

// ran returns how often all servers began to work on a request.
func (l *lab) ran(id string) int {
	n := 0
	for _, s := range l.servers {
		n += s.ran(id)
	}
	return n
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// refusedAfterRun: one of eight servers fails two of five of its requests for 6 s, with a 503 of
// its own after it has begun to work on them.
func refusedAfterRun(l *lab) error {
	const failsFor = 6 * time.Second
	var failing atomic.Bool
	var begun atomic.Int64
	err := l.beginDeployment(baseConfig(), 8, 2, func(s *server) {
		if s.id != "i-desk-0" {
			return
		}
		s.fail = func(w http.ResponseWriter, _ *http.Request, id string) bool {
			if !failing.Load() || begun.Add(1)%5 >= 2 {
				return false
			}
			time.Sleep(s.pause)
			l.record.line("fails", s.id, id, "503 without X-Pomelocross-Not-Run")
			w.Header().Set("Content-Length", "8")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte("failing\n"))
			return true
		}
	})
	if err != nil {
		return err
	}
	if l.trouble {
		failing.Store(true)
		time.AfterFunc(failsFor, func() { failing.Store(false) })
	}
	var broken []string
	for n := range 200 {
		id := fmt.Sprintf("hold%012d", n)
		a := l.send(l.entries()[n%2], request{method: "POST", path: "/hold/" + id, id: id, body: []byte("hold one pin"), deadline: 4 * time.Second})
		if ran := l.ran(id); isPromise(a.status) && ran > 0 {
			broken = append(broken, id)
			l.record.line("broken", "REFUSED", id, fmt.Sprintf("answered %d, begun %d times", a.status, ran))
		}
		time.Sleep(20 * time.Millisecond)
	}
	if len(broken) > 0 {
		return brokenError(fmt.Sprintf("REFUSED: %d unsafe requests were answered with a promise and had run, first %s", len(broken), broken[0]))
	}
	return nil
}

// textWithEmptyLines: the text of an event begins with line feeds.
func textWithEmptyLines(l *lab) error {
	text := func(id string) []string {
		if l.trouble {
			return []string{"Plan for " + id + ":", "\n\n1. Count the gauze.", "\n2. Order two rolls.", "done"}
		}
		return []string{"Plan for " + id + ":", "1. Count the gauze.\n\nThen:", "2. Order two rolls.", "done"}
	}
	err := l.beginDeployment(baseConfig(), 0, 4, func(s *server) { s.pieces = text })
	if err != nil {
		return err
	}
	var items []item
	for n := range 12 {
		items = append(items, newItem(fmt.Sprintf("a1%014d", n), fmt.Sprintf("/plan/3/%d", n), fmt.Sprintf("g%d", n/4)))
	}
	const batch = "7c41e09b52d6a3f8"
	if a := l.send(l.entries()[0], request{method: "POST", path: "/plan/" + batch, id: batch, body: submission(0, items, 3)}); a.status != http.StatusAccepted {
		return fmt.Errorf("the batch job was not accepted: %d %v %s", a.status, a.err, a.body)
	}
	results, err := l.readAll(batch, len(items), 15*time.Second)
	if err != nil {
		return err
	}
	wrong := 0
	for _, r := range results {
		if want := strings.Join(text(r.ID), "\n"); r.State == "complete" && r.Output != want {
			wrong++
			l.record.line("broken", "MIXED", r.ID, fmt.Sprintf("listed %q", r.Output), fmt.Sprintf("engine made %q", want))
		}
	}
	if wrong > 0 {
		return brokenError(fmt.Sprintf("MIXED: the texts of %d of %d complete results aren't the items' whole output", wrong, len(results)))
	}
	return nil
}

// readAll reads a batch job about twice a second until all results are listed.
func (l *lab) readAll(batch string, total int, within time.Duration) ([]result, error) {
	var results []result
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		p, a := l.readPage(l.entries()[len(results)%2], batch, len(results))
		if a.err != nil || a.status != http.StatusOK {
			continue
		}
		results = append(results, p.Results...)
		if len(results) >= total {
			return results, nil
		}
	}
	return results, fmt.Errorf("%d of %d results were listed in time", len(results), total)
}

// silentStreams: two of twelve engines leave two of five of their streams without an answer.
func silentStreams(l *lab) error {
	config := baseConfig()
	const timeout, patience = 2 * time.Second, 4 * time.Second
	for _, r := range config["Routes"].([]map[string]any) {
		if r["Name"] == "chat" {
			r["GoalMs"] = 1000
		}
	}
	var begun atomic.Int64
	err := l.beginDeployment(config, 0, 12, func(s *server) {
		if !l.trouble || s.id != "i-lm-0" && s.id != "i-lm-1" {
			return
		}
		s.fail = func(w http.ResponseWriter, r *http.Request, id string) bool {
			if begun.Add(1)%5 >= 2 {
				return false
			}
			l.record.line("hangs", s.id, id)
			<-r.Context().Done()
			return true
		}
	})
	if err != nil {
		return err
	}
	var unanswered, late atomic.Int64
	var wait sync.WaitGroup
	for n := range 160 {
		wait.Go(func() {
			id := fmt.Sprintf("chat%012d", n)
			a := l.send(l.entries()[n%2], request{method: "POST", path: "/chat/" + id, id: id, body: []byte("a note"), deadline: patience, header: map[string]string{"X-Pomelocross-Model": model, "X-Pomelocross-Tokens": "10,100"}})
			if a.took > timeout {
				unanswered.Add(1)
			}
			if a.took > timeout+500*time.Millisecond {
				late.Add(1)
				l.record.line("late", id, fmt.Sprintf("no answer %.0f ms after it was sent", a.took.Seconds()*1000))
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wait.Wait()
	l.record.line("counted", fmt.Sprintf("unanswered at TimeoutMs: %d, half a second later: %d", unanswered.Load(), late.Load()))
	if late.Load() >= 4 && 2*late.Load() > unanswered.Load() {
		return brokenError(fmt.Sprintf("CONFIG: of %d requests that were unanswered at their route's TimeoutMs, %d had no answer half a second later", unanswered.Load(), late.Load()))
	}
	return nil
}
