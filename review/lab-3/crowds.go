package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["items"] = manyItems }

// residentMB returns the memory that a process uses; 0 if it is gone.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// guardMemory does as the platform does: it kills a process that uses more memory than its
// machine allows, and starts it again after a short delay. It calls enough after each kill, with
// the numbers by node. It returns a function that ends this and returns these numbers.
func (l *lab) guardMemory(limit int, enough func(kills map[string]int)) (end func() map[string]int) {
	var mu sync.Mutex
	kills, most, over := map[string]int{}, map[string]int{}, false
	var wait sync.WaitGroup
	for _, n := range l.nodes {
		wait.Go(func() {
			for {
				time.Sleep(5 * time.Millisecond)
				mu.Lock()
				stop := over
				mu.Unlock()
				if stop {
					return
				}
				used := residentMB(n.command.Process.Pid)
				mu.Lock()
				most[n.name] = max(most[n.name], used)
				mu.Unlock()
				if used <= limit {
					continue
				}
				mu.Lock()
				kills[n.name]++
				enough(kills)
				l.record.line("ended by memory", n.name, fmt.Sprintf("%d MB, allowed %d", used, limit))
				mu.Unlock()
				l.signal(n, syscall.SIGKILL)
				<-n.exited
				time.Sleep(500 * time.Millisecond)
				if l.start(n) != nil {
					return
				}
			}
		})
	}
	return func() map[string]int {
		mu.Lock()
		over = true
		mu.Unlock()
		wait.Wait()
		for name, mb := range most {
			l.record.line("memory", name, fmt.Sprintf("%d MB at most", mb))
		}
		return kills
	}
}

// manyItems: a trainer's batch job of legal size has very many small items.
func manyItems(l *lab) error {
	const limit, size = 284, 400_000
	config := baseConfig()
	if err := l.beginDeployment(config, 2, 4, func(*server) {}); err != nil {
		return err
	}
	var broken atomic.Bool
	end := l.guardMemory(limit, func(kills map[string]int) { broken.Store(endedThrice(kills) >= 2) })
	var body strings.Builder
	fmt.Fprintf(&body, `{"Step":0,"Model":%q,"MinVersion":1,"Desired":1,"Items":[`, model)
	count := 24
	if l.trouble {
		count = size
	}
	for n := range count {
		if n > 0 {
			body.WriteByte(',')
		}
		fmt.Fprintf(&body, `{"Id":"%x","Path":"/plan/1"}`, n)
	}
	body.WriteString("]}")
	l.record.line("submission", fmt.Sprintf("%d items, %d bytes; MaxBodyBytes is 33554432", count, body.Len()))
	var accepted atomic.Int64
	var wait sync.WaitGroup
	stop := time.Now().Add(60 * time.Second)
	for t := range 2 { // two trainers, which begin at different machines
		wait.Go(func() {
			step := 0
			for k := 0; time.Now().Before(stop) && step < 3 && !broken.Load(); k++ {
				batch := fmt.Sprintf("7c41e09b52d6a%d%02d", t, step)
				n := l.entries()[(t+k)%2]
				if a := l.send(n, request{method: "POST", path: "/plan/" + batch, id: batch, body: []byte(body.String()), deadline: 10 * time.Second}); a.status == http.StatusAccepted {
					accepted.Add(1)
					step++
				}
				time.Sleep(time.Second)
			}
		})
	}
	wait.Wait()
	time.Sleep(3 * time.Second)
	kills := end()
	l.record.line("counted", fmt.Sprintf("%d batch jobs accepted, ends by memory: %v", accepted.Load(), kills))
	if machines := endedThrice(kills); machines >= 2 {
		return brokenError(fmt.Sprintf("Fault: the processes of %d machines of %d ended by themselves three times or more: %v", machines, len(l.nodes), kills))
	}
	return nil
}

// endedThrice returns the number of nodes that were ended three times or more.
func endedThrice(kills map[string]int) int {
	machines := 0
	for _, n := range kills {
		if n >= 3 {
			machines++
		}
	}
	return machines
}
