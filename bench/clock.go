// Package bench is a discrete-event simulation of a deployment. It runs the
// production code of queue, slots and route against a simple cost model of upstreams,
// under seeded load and faults, and reports latency, fairness, trainer idle time and
// cost.
package bench

import (
	"container/heap"
	"time"
)

// clock is a simulated clock that runs events in order of time.
type clock struct {
	now          time.Time
	events       eventHeap
	lastSequence int
}

type event struct {
	at       time.Time
	sequence int // events at the same time run in the order they were scheduled
	run      func()
}

func newClock() *clock { return &clock{now: time.Unix(0, 0)} }

// after schedules run after d; a negative d counts as 0.
func (c *clock) after(d time.Duration, run func()) {
	c.lastSequence++
	heap.Push(&c.events, &event{at: c.now.Add(max(d, 0)), sequence: c.lastSequence, run: run})
}

// every schedules run at intervals of d, for the first time after d.
func (c *clock) every(d time.Duration, run func()) {
	c.after(d, func() {
		run()
		c.every(d, run)
	})
}

// runUntil runs all events before end and sets the clock to end.
func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && c.events[0].at.Before(end) {
		next := heap.Pop(&c.events).(*event)
		c.now = next.at
		next.run()
	}
	c.now = end
}

type eventHeap []*event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
