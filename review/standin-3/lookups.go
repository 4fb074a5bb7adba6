//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelocross/pomelocross/platform/standin"
)

// Limits of the platform's store for bnr-pomelo, and bounds of the rules.
const (
	readsPerS     = 2000
	writesPerS    = 400
	configApply   = 2 * time.Second
	drainTime     = 2 * time.Second
	lookupNodes   = 4
	lookupClients = 64
	lookupTime    = 14 * time.Second
)

// rateLimited is a store that answers calls beyond its rates with 429.
type rateLimited struct {
	next          http.Handler
	mu            sync.Mutex // guards all below
	reads, writes float64    // calls that may be made now
	at            time.Time
	refused       int
	served        int
}

func (l *rateLimited) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !l.admit(r) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	l.next.ServeHTTP(w, r)
}

// admit takes a call from the rates. Stale reads don't count toward them.
func (l *rateLimited) admit(r *http.Request) bool {
	if r.URL.Query().Get("StaleOk") == "1" {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	passed := now.Sub(l.at).Seconds()
	l.at = now
	l.reads = min(readsPerS, l.reads+passed*readsPerS)
	l.writes = min(writesPerS, l.writes+passed*writesPerS)
	left := &l.writes
	if r.Method == http.MethodGet {
		left = &l.reads
	}
	if *left < 1 {
		l.refused++
		return false
	}
	*left--
	l.served++
	return true
}

// lookups: a client of one tenant reads batch jobs that don't exist, as fast as it gets its
// answers. Meanwhile the operator takes a key of another tenant away.
func lookups(w *world) {
	store := &rateLimited{next: w.store, at: time.Now()}
	w.storeAddress, w.cloudAddress = w.serve(store), w.serve(w.cloud)
	desk := &standin.Engine{ID: "desk-0", Service: "desk", Slots: 6}
	gone := &standin.Engine{ID: "desk-1", Service: "desk", Slots: 6}
	goneAt := w.serve(gone)
	w.store.Set("servers", desk.ID, desk.Registration(w.serve(desk), "a", "ready"))
	w.store.Set("servers", gone.ID, gone.Registration(goneAt, "a", "ready"))
	routes := []map[string]any{
		{"Name": "desk", "Host": host, "Prefix": "/kits/", "Type": "safe", "TimeoutMs": 2000, "GoalMs": 150, "Service": "desk", "Attempts": 2},
	}
	services := []map[string]any{{"Name": "desk", "HealthPath": "/healthz", "MaxConns": 100}}
	w.configure(routes, services)
	var nodes []*node
	for c := range lookupNodes {
		nodes = append(nodes, w.addNode(fmt.Sprintf("edge-a-%d", c)))
	}
	for _, n := range nodes {
		w.start(n, "a")
	}
	for _, n := range nodes {
		w.awaitReady(n)
	}
	time.Sleep(2 * time.Second)
	stop := time.Now().Add(lookupTime)
	var asked atomic.Int64
	if w.trouble {
		w.rec.say("%d channels of tenant south read batch jobs that don't exist", lookupClients)
		for c := range lookupClients {
			go func() {
				to := nodes[c%lookupNodes]
				conn, err := net.Dial("tcp", to.front)
				check(err)
				defer conn.Close()
				b := bufio.NewReader(conn)
				for k := 0; time.Now().Before(stop); k++ {
					_, _ = fmt.Fprintf(conn, "GET /lots/none-%d-%d?After=0 HTTP/1.1\r\nHost: %s\r\nX-Api-Key: key-of-south\r\n\r\n", c, k, host)
					resp, err := http.ReadResponse(b, nil)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					asked.Add(1)
				}
			}()
		}
	}
	time.Sleep(4 * time.Second)
	w.version++
	w.store.Set("config", "main", map[string]any{
		"Version": w.version, "Routes": routes, "Services": services,
		"Tenants": []map[string]any{{"Name": "north", "ApiKeys": []string{"another-key-of-north"}}, {"Name": "south", "ApiKeys": []string{"key-of-south"}}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	w.store.Set("servers", gone.ID, gone.Registration(goneAt, "a", "draining"))
	confirmed := time.Now()
	w.rec.say("the store confirms a config without a key of north, and that desk-1 drains")
	old, fresh, late := 0, 0, 0
	for k := 0; time.Since(confirmed) < 8*time.Second; k++ {
		for _, to := range nodes {
			sent := time.Now()
			a := call(to, key, fmt.Sprintf("old-%s-%d", to.name, k), "/kits/7", []byte("hi"), 2*time.Second)
			b := call(to, "another-key-of-north", fmt.Sprintf("new-%s-%d", to.name, k), "/kits/7", []byte("hi"), 2*time.Second)
			if after := sent.Sub(confirmed); after > configApply {
				if a == http.StatusOK {
					old++
				}
				if b == http.StatusUnauthorized {
					fresh++
				}
			}
			w.rec.say("%d ms after the confirmation, %s: old key %d, new key %d", sent.Sub(confirmed).Milliseconds(), to.name, a, b)
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, at := range gone.Arrivals() {
		if at.Sub(confirmed) > drainTime {
			late++
		}
	}
	store.mu.Lock()
	w.rec.say("the store served %d calls and refused %d; %d lookups were answered", store.served, store.refused, asked.Load())
	store.mu.Unlock()
	w.finish(old > 0 || fresh > 0 || late > 0, "CONFIG: %d requests ran with a key that was taken away and %d were refused with a key that was added, over ConfigApplyMs after the confirmation; DRAIN: %d requests reached desk-1 over DrainMs after it", old, fresh, late)
}
