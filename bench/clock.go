// Package bench runs the real queue, slot and routing decisions against a simple
// cost model of upstreams on a virtual clock, under seeded load and faults, and
// reports latency, fairness, trainer idle time and cost.
package bench

import (
	"container/heap"
	"time"
)

// clock runs events in order of time.
type clock struct {
	now    time.Time
	events eventHeap
	number int
}

type event struct {
	at     time.Time
	number int // events of one time run in the order they were set
	run    func()
}

func newClock() *clock { return &clock{now: time.Unix(0, 0)} }

// after sets an event.
func (c *clock) after(d time.Duration, run func()) {
	c.number++
	heap.Push(&c.events, &event{at: c.now.Add(max(d, 0)), number: c.number, run: run})
}

// every sets an event that recurs.
func (c *clock) every(d time.Duration, run func()) {
	c.after(d, func() {
		run()
		c.every(d, run)
	})
}

// runUntil runs all events before end.
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
	return h[i].number < h[j].number
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
