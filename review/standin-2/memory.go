//go:build review2

package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

func init() { cases["many-items"] = manyItems }

// memoryMB is the memory of an edge machine of bnr-pomelo.
const memoryMB = 284

// manyItems: a tenant submits a batch job whose body is of legal size and holds very many small
// items. A process that uses more than MemoryMb is killed and started again, as on the platform.
func manyItems(w *world) verdict {
	const (
		bodyBytes = 20 << 20
		needed    = 3 // ends of processes on each of two machines
	)
	edges := []*machine{w.addMachine("edge-a-1", "mty-a", true), w.addMachine("edge-b-1", "mty-b", true)}
	w.addMachine("storage-a-1", "mty-a", false)
	for n := range 4 {
		w.addEngine(&engine{id: fmt.Sprintf("i-%d", n), service: "huvo11a", zone: "mty-a", slots: 12, events: 4, pace: 20 * time.Millisecond, models: []string{"daka51"}})
	}
	w.configure(3, []object{{
		"Name": "train", "Host": host, "Prefix": "/pufi791/", "Type": "rollout", "Service": "huvo11a", "TimeoutMs": 10000, "GoalMs": 500,
		"Attempts": 3, "Prio": 0, "DueMs": 7500, "MaxQueueS": 12,
	}}, []object{{"Name": "huvo11a", "HealthPath": "/healthz", "MaxConns": 150, "Engine": object{"Slots": 12, "KvCap": 84492, "Models": []object{{"Name": "daka51"}}}}})
	for _, m := range w.machines {
		m.start()
	}
	w.awaitReady()
	limiter := w.watchMemory()
	time.Sleep(4 * time.Second)
	body := smallItems(bodyBytes)
	if !w.trouble {
		body = largeItems(bodyBytes)
	}
	t := &trainer{w: w, key: key, edges: edges}
	statuses := map[int]int{}
	for n := 0; n < 10 && time.Since(w.began) < 95*time.Second; n++ {
		id := fmt.Sprintf("7c41e09b52d6a%03x", n)
		m := t.node()
		for wait := 0; !m.isReady() && wait < 100; wait++ {
			time.Sleep(50 * time.Millisecond)
		}
		a := m.send("POST", "/pufi791/"+id, id, map[string]string{"Content-Type": "application/json"}, body, 12*time.Second, 12*time.Second)
		statuses[a.Status]++
		time.Sleep(500 * time.Millisecond)
	}
	limiter.end()
	machines := 0
	for name, n := range limiter.kills {
		w.say("%s was killed %d times for its memory", name, n)
		if n >= needed {
			machines++
		}
	}
	w.say("body of %d bytes; peak memory in MB: %v; answers by status (0: none): %v", len(body), limiter.peak, statuses)
	if machines >= 2 {
		return broken
	}
	return held
}

// residentMB returns the memory of the process of the machine; 0 if it has none.
func (m *machine) residentMB() int {
	if m.cmd == nil || m.ended() {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			return kb >> 10
		}
	}
	return 0
}

// smallItems returns the body of a batch job of a size that holds as many items as fit.
func smallItems(size int) []byte {
	var b bytes.Buffer
	b.WriteString(`{"Step":7,"Model":"daka51","MinVersion":1,"Desired":1,"Items":[`)
	for n := 0; b.Len() < size; n++ {
		if n > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"Id":"%x","Path":"/a","Headers":{},"Body":"","NumTokens":8,"Group":"a"}`, n)
	}
	b.WriteString("]}")
	return b.Bytes()
}

// largeItems returns the body of a batch job of a size that holds 64 items.
func largeItems(size int) []byte { return manySized(size, 64) }

// manySized returns the body of a batch job of about a size that holds a number of items.
func manySized(size, items int) []byte {
	var b bytes.Buffer
	b.WriteString(`{"Step":7,"Model":"daka51","MinVersion":1,"Desired":1,"Items":[`)
	for n := range items {
		if n > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"Id":"%x","Path":"/pufi791/3","Headers":{"X-Pomelocross-Model":"daka51","X-Pomelocross-Tokens":"40,160"},"Body":"%s","NumTokens":200,"Group":"g%d"}`, n, strings.Repeat("q83v", size/items/4), n/4)
	}
	b.WriteString("]}")
	return b.Bytes()
}
