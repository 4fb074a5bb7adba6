//go:build review

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pomelocross/pomelocross/platform/standin"
)

const (
	memoryLimitMB = 284 // MemoryMb of an entry machine
	manyItems     = 400_000
	usualItems    = 72 // 18 groups of 4
	crowdedLots   = 3
	crowdedTime   = 60 * time.Second
)

// residentMB returns the resident memory of a gateway in MB; -1 if it has ended.
func residentMB(n *node) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	if err != nil {
		return -1
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, err := strconv.Atoi(f[1])
			check(err)
			return kb >> 10
		}
	}
	return -1
}

// crowdedLot returns the body of a batch of many small items.
func crowdedLot(items int) []byte {
	var s bytes.Buffer
	s.WriteString(`{"Step":1,"Model":"m0","MinVersion":1,"Desired":1,"Items":[`)
	for i := range items {
		if i > 0 {
			s.WriteByte(',')
		}
		fmt.Fprintf(&s, `{"Id":"%d","Path":"/train/1"}`, i)
	}
	s.WriteString("]}")
	return s.Bytes()
}

// call sends a request to a gateway and returns the status of its answer; 0 if there is none.
func call(n *node, key, id, path string, body []byte, budget time.Duration) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+n.front+path, bytes.NewReader(body))
	check(err)
	r.Host = host
	r.Header.Set("X-Api-Key", key)
	r.Header.Set("X-Pomelocross-Request-Id", id)
	r.Header.Set("X-Pomelocross-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	resp, err := (&http.Client{Timeout: budget, Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// crowded: a client of one tenant hands in batches of legal size that hold very many small
// items, while a client of another tenant asks for kit counts. The platform ends a process that
// uses more than its memory.
func crowded(w *world) {
	w.storeAddress, w.cloudAddress = w.serve(w.store), w.serve(w.cloud)
	desk := &standin.Engine{ID: "desk-0", Service: "desk", Slots: 6}
	w.store.Set("servers", desk.ID, desk.Registration(w.serve(desk), "a", "ready"))
	engine := &standin.Engine{ID: "engine-0", Service: "lm", Slots: 8, Events: 5, EventInterval: 5 * time.Millisecond}
	engine.SetVersion(model, 1)
	w.store.Set("servers", engine.ID, engine.Registration(w.serve(engine), "a", "ready"))
	w.configure([]map[string]any{
		{"Name": "desk", "Host": host, "Prefix": "/kits/", "Type": "safe", "TimeoutMs": 2000, "GoalMs": 150, "Service": "desk", "Attempts": 2},
		{"Name": "lots", "Host": host, "Prefix": "/train/", "Type": "rollout", "Service": "lm", "Attempts": 3, "MaxQueueS": 40, "DueMs": 7500},
	}, []map[string]any{
		{"Name": "lm", "HealthPath": "/healthz", "MaxConns": 150, "Engine": map[string]any{"Slots": 8, "KvCap": 84492, "Models": []map[string]any{{"Name": model}}}},
		{"Name": "desk", "HealthPath": "/healthz", "MaxConns": 100},
	})
	n := w.addNode("edge-a-1")
	w.start(n, "a")
	w.awaitReady(n)
	items := usualItems
	if w.trouble {
		items = manyItems
	}
	lot := crowdedLot(items)
	w.rec.say("a batch has %d items and %d bytes; MaxBodyBytes is 33554432", items, len(lot))
	go func() {
		for b := range crowdedLots {
			w.rec.say("tenant south hands in lot-%d", b)
			status := call(n, "key-of-south", fmt.Sprint("lot-", b), "/train/lot", lot, 15*time.Second)
			w.rec.say("lot-%d: answer %d", b, status)
		}
	}()
	go func() {
		for c := 0; ; c++ {
			began := time.Now()
			status := call(n, key, fmt.Sprint("count-", c), "/kits/7", []byte("hi"), 2*time.Second)
			w.rec.say("count-%d of tenant north: answer %d after %d ms", c, status, time.Since(began).Milliseconds())
			time.Sleep(500 * time.Millisecond)
		}
	}()
	most := 0
	for began, said := time.Now(), 0; time.Since(began) < crowdedTime; time.Sleep(20 * time.Millisecond) {
		now := residentMB(n)
		if now < 0 {
			w.finish(true, "Fault: the gateway has ended by itself")
		}
		most = max(most, now)
		if most >= said+50 {
			said = most
			w.rec.say("the gateway uses %d MB", now)
		}
		if now > memoryLimitMB {
			n.signal(syscall.SIGKILL)
			w.rec.say("the platform ends the gateway: it uses %d MB, its machine has %d MB", now, memoryLimitMB)
			w.finish(true, "Fault: a process used %d MB of the %d MB of its machine and was ended", now, memoryLimitMB)
		}
		if !w.trouble && time.Since(began) > 20*time.Second {
			break
		}
	}
	w.finish(false, "the gateway lives and used %d MB at most", most)
}
