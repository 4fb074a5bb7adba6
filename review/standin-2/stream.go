//go:build review2

package main

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["stream-timeout"] = streamTimeout }

// streamTimeout: one of eight engines of a service hangs on 40% of its requests while its other
// requests are served. The route's TimeoutMs is 2,000.
func streamTimeout(w *world) verdict {
	const (
		engines  = 8
		timeout  = 2 * time.Second
		late     = 500 * time.Millisecond
		goal     = time.Second
		patience = 4 * goal // before the first event: two seconds, four times the objective or eight times the pause
		budget   = 10 * time.Second
		requests = 960
		every    = 30 * time.Millisecond
	)
	zones := []string{"mty-a", "mty-b", "mty-c", "mty-d"}
	edges := []*machine{w.addMachine("edge-a-1", "mty-a", true), w.addMachine("edge-b-1", "mty-b", true)}
	w.addMachine("storage-a-1", "mty-a", false)
	var hung atomic.Int64
	for n := range engines {
		e := &engine{id: "i-" + strconv.Itoa(n), service: "huvo11a", zone: zones[n%len(zones)], slots: 24, events: 10, pace: 20 * time.Millisecond}
		if n == 0 && w.trouble {
			var turn atomic.Int64
			e.choose = func(run) action {
				if turn.Add(1)%5 < 2 {
					hung.Add(1)
					return hangIt
				}
				return serveIt
			}
		}
		w.addEngine(e)
	}
	w.configure(3, []object{{
		"Name": "draft", "Host": host, "Prefix": "/pufi791/", "Type": "stream", "Service": "huvo11a", "TimeoutMs": timeout.Milliseconds(),
		"GoalMs": goal.Milliseconds(), "Attempts": 3, "Prio": 0,
	}}, []object{{"Name": "huvo11a", "HealthPath": "/healthz", "MaxConns": 150}})
	for _, m := range w.machines {
		m.start()
	}
	w.awaitReady()
	time.Sleep(4 * time.Second) // machines are in touch ContactMs after their start
	answers := make([]answer, requests)
	var wg sync.WaitGroup
	for n := range requests {
		wg.Go(func() {
			headers := map[string]string{"X-Pomelocross-Deadline-Ms": strconv.Itoa(int(budget.Milliseconds()))}
			answers[n] = edges[n%len(edges)].send("POST", "/pufi791/draft", requestID(n), headers, []byte("q83vEjRWeJA="), patience, budget)
		})
		time.Sleep(every)
	}
	wg.Wait()
	long, unanswered, never, served := 0, 0, 0, 0
	for _, a := range answers {
		at := a.StatusAt
		if a.Status == 0 {
			at = a.EndAt // when the requester left
			never++
		}
		if a.Status == 200 && a.Whole {
			served++
		}
		if at.Sub(a.SentAt) >= timeout {
			long++
			if at.Sub(a.SentAt) >= timeout+late {
				unanswered++
			}
		}
	}
	w.say("%d requests, %d served, %d that the engine hung on", requests, served, hung.Load())
	w.say("%d without an answer at TimeoutMs, %d of them without one 0.5 s later; %d never answered", long, unanswered, never)
	if long >= 8 && unanswered*2 > long {
		return broken
	}
	if served < requests*8/10 {
		return notRun
	}
	return held
}
