//go:build review2

package main

import (
	"sync"
	"time"
)

// limiter does as the platform does: it kills a process that uses more than the memory of its
// machine, and starts it again.
type limiter struct {
	w     *world
	stop  chan struct{}
	ended chan struct{}

	mu     sync.Mutex // guards all below
	paused map[*machine]bool
	kills  map[string]int // by machine
	peak   map[string]int // in MB, by machine
}

func (w *world) watchMemory() *limiter {
	l := &limiter{w: w, stop: make(chan struct{}), ended: make(chan struct{}), paused: map[*machine]bool{}, kills: map[string]int{}, peak: map[string]int{}}
	go l.run()
	return l
}

func (l *limiter) run() {
	defer close(l.ended)
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		for _, m := range l.w.machines {
			l.check(m)
		}
	}
}

func (l *limiter) check(m *machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused[m] {
		return
	}
	used := m.residentMB()
	l.peak[m.name] = max(l.peak[m.name], used)
	if used > memoryMB {
		m.kill()
		l.kills[m.name]++
		l.w.note("%s uses %d MB of %d: the platform kills it", m.name, used, memoryMB)
		m.start()
	}
}

// pause leaves a machine alone while its process is down.
func (l *limiter) pause(m *machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused[m] = true
}

func (l *limiter) resume(m *machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.paused, m)
}

func (l *limiter) end() {
	close(l.stop)
	<-l.ended
}
