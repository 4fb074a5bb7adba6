package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["silent"] = silentStreams }

// silentStreams: two of thirteen engines leave one of three of their requests without an answer,
// for 6 s.
func silentStreams(l *lab) error {
	const timeout, patience, hangsFor = 2 * time.Second, 4 * time.Second, 6 * time.Second
	config := baseConfig()
	for _, r := range config["Routes"].([]map[string]any) {
		if r["Name"] == "chat" {
			r["GoalMs"] = 1000 // requesters leave after a gap of four times this
		}
	}
	var hanging atomic.Bool
	var begun atomic.Int64
	err := l.beginDeployment(config, 0, 13, func(s *server) {
		s.pause = 20 * time.Millisecond
		s.pieces = func(id string) []string {
			var pieces []string
			for n := range 40 {
				pieces = append(pieces, fmt.Sprintf("piece %d of %s", n, id))
			}
			return pieces
		}
		if s.id != "i-lm-0" && s.id != "i-lm-1" {
			return
		}
		s.fail = func(_ http.ResponseWriter, r *http.Request, id string) bool {
			if !hanging.Load() || begun.Add(1)%3 != 0 {
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
	if l.trouble {
		hanging.Store(true)
		time.AfterFunc(hangsFor, func() { hanging.Store(false) })
	}
	var unanswered, late atomic.Int64
	var wait sync.WaitGroup
	for n := range 800 {
		wait.Go(func() {
			id := fmt.Sprintf("chat%012d", n)
			a := l.send(l.entries()[n%2], request{
				method: "POST", path: "/chat/" + id, id: id, body: []byte("a note"), deadline: patience,
				header: map[string]string{"X-Pomelocross-Model": model, "X-Pomelocross-Tokens": "10,100"},
			})
			if a.took > timeout {
				unanswered.Add(1)
			}
			if a.took > timeout+500*time.Millisecond {
				late.Add(1)
				l.record.line("broken", "CONFIG", id, fmt.Sprintf("no answer %.0f ms after it was sent", a.took.Seconds()*1000))
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	wait.Wait()
	l.record.line("counted", fmt.Sprintf("unanswered at TimeoutMs: %d, half a second later: %d", unanswered.Load(), late.Load()))
	if late.Load() >= 8 && 2*late.Load() > unanswered.Load() {
		return brokenError(fmt.Sprintf("CONFIG: of %d requests that were unanswered at their route's TimeoutMs, %d had no answer half a second later", unanswered.Load(), late.Load()))
	}
	return nil
}
