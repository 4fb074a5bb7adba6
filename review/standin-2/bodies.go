//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["bodies"] = bodies }

// bodies: a batch job of 64 items with bodies of 240 KB is open. Requesters of its tenant in two
// zones get the bodies of its items again and again; the trainer, in a third zone, reads its
// results. The process that runs the batch job is killed twice.
func bodies(w *world) verdict {
	const (
		downFor   = 3500 * time.Millisecond // of node_kill
		kills     = 4
		between   = 11 * time.Second
		needed    = 3 // ends of processes on each of two machines
		id        = "7c41e09b52d6a3f8"
		bodyBytes = 20 << 20
		items     = 64
	)
	var edges []*machine
	for _, zone := range []string{"a", "b", "c", "d"} {
		edges = append(edges, w.addMachine("edge-"+zone+"-1", "mty-"+zone, true))
	}
	w.addMachine("storage-a-1", "mty-a", false)
	for n := range 6 {
		w.addEngine(&engine{id: fmt.Sprintf("i-%d", n), service: "huvo11a", zone: "mty-a", slots: 12, events: 1000, pace: 100 * time.Millisecond, models: []string{"daka51"}})
	}
	w.configure(3, []object{{
		"Name": "train", "Host": host, "Prefix": "/pufi791/", "Type": "rollout", "Service": "huvo11a", "TimeoutMs": 10000, "GoalMs": 500,
		"Attempts": 3, "Prio": 0, "DueMs": 60000, "MaxQueueS": 100,
	}}, []object{{"Name": "huvo11a", "HealthPath": "/healthz", "MaxConns": 150, "Engine": object{"Slots": 12, "KvCap": 84492, "Models": []object{{"Name": "daka51"}}}}})
	for _, m := range w.machines {
		m.start()
	}
	w.awaitReady()
	limiter := w.watchMemory()
	time.Sleep(4 * time.Second)
	// The channels of a requester go to one machine, and to another while that one isn't ready.
	t := &trainer{w: w, key: key, edges: edges[:1]}
	if a := edges[0].send("POST", "/pufi791/"+id, id, map[string]string{"Content-Type": "application/json"}, largeItems(bodyBytes), 10*time.Second, 12*time.Second); a.Status != http.StatusAccepted {
		return notRun
	}
	stop := make(chan struct{})
	var background, restarts sync.WaitGroup
	background.Go(func() { // the trainer reads twice a second
		for {
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
				t.edges = edges[:1]
				if !edges[0].isReady() {
					t.edges = edges[1:2]
				}
				t.read(id, 0, 0)
			}
		}
	})
	got, failed := 0, 0
	var mu sync.Mutex // guards them
	fetch := func(m *machine) {
		var all sync.WaitGroup
		for n := range items {
			all.Go(func() {
				a := m.send("GET", fmt.Sprintf("/items/%s?Id=%x", id, n), "", nil, nil, 10*time.Second, 12*time.Second)
				mu.Lock()
				defer mu.Unlock()
				if a.Status == http.StatusOK && a.Whole {
					got++
				} else {
					failed++
				}
			})
		}
		all.Wait()
	}
	for _, m := range edges[2:] {
		background.Go(func() { // a requester in each of the other zones
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
				if m.isReady() {
					fetch(m)
				}
			}
		})
	}
	killed := 0
	for range kills {
		time.Sleep(between)
		owner := w.ownerOf(id)
		for _, m := range edges {
			if !w.trouble || m.name != owner || m.ended() {
				continue
			}
			w.note("%s, which runs the batch job, is killed", m.name)
			limiter.pause(m)
			m.kill()
			killed++
			restarts.Go(func() {
				time.Sleep(downFor)
				m.start()
				limiter.resume(m)
			})
		}
	}
	time.Sleep(between)
	close(stop)
	background.Wait()
	restarts.Wait()
	limiter.end()
	machines := 0
	for name, n := range limiter.kills {
		w.say("%s was killed %d times for its memory", name, n)
		if n >= needed {
			machines++
		}
	}
	w.say("%d kills; peak memory in MB: %v; %d bodies came, %d requests failed", killed, limiter.peak, got, failed)
	if machines >= 2 {
		return broken
	}
	return held
}
