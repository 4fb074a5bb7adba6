// Package queue holds requests until an upstream has a slot for them. Engines
// know no priorities, so order is decided here: by class, with a floor for the
// less urgent ones, then by weighted fair sharing among teams on token cost.
package queue

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pomelocross/pomelocross/route"
	"github.com/pomelocross/pomelocross/upstream"
)

// Queue holds the requests for one service. It is safe for concurrent use.
type Queue struct {
	clock clockwork.Clock

	mu        sync.Mutex // guards all below; every critical section is free of I/O
	scheduler *Scheduler
	waiters   map[*Item]chan *Grant // each buffered, so that a grant never blocks
}

// Grant is a slot at an upstream. It must be released exactly once.
type Grant struct {
	Upstream upstream.Upstream
	queue    *Queue
	entry    *Item
	granted  time.Time
	first    time.Duration // to the first token; 0 before it
}

// New returns a queue without upstreams.
func New(chooser *route.Chooser) *Queue {
	return NewWith(chooser, clockwork.NewRealClock(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// NewWith is New with a clock and a source of randomness.
func NewWith(chooser *route.Chooser, clock clockwork.Clock, random *rand.Rand) *Queue {
	return &Queue{clock: clock, scheduler: NewScheduler(Fair, chooser, random), waiters: map[*Item]chan *Grant{}}
}

// Update replaces the upstreams and wakes requests that can now run.
func (q *Queue) Update(upstreams []Upstream) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.Update(upstreams, q.clock.Now())
	q.dispatch()
}

// Acquire waits for a slot until ctx ends. A request whose wait is expected to
// outlast the ticket's or the context's deadline is refused at once.
func (q *Queue) Acquire(ctx context.Context, ticket Ticket) (*Grant, error) {
	if deadline, ok := ctx.Deadline(); ok && ticket.Deadline.IsZero() {
		ticket.Deadline = q.clock.Now().Add(time.Until(deadline))
	}
	entry, granted, err := q.enter(ticket)
	if err != nil {
		return nil, err
	}
	select {
	case grant := <-granted:
		return grant, nil
	case <-ctx.Done():
		q.leave(entry, granted)
		return nil, ctx.Err()
	}
}

func (q *Queue) enter(ticket Ticket) (*Item, chan *Grant, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	entry, err := q.scheduler.Enqueue(ticket, q.clock.Now())
	if err != nil {
		return nil, nil, err
	}
	granted := make(chan *Grant, 1)
	q.waiters[entry] = granted
	q.dispatch()
	return entry, granted, nil
}

// leave removes a waiter whose caller has gone, and returns a slot granted
// meanwhile, for which nothing was run.
func (q *Queue) leave(entry *Item, granted chan *Grant) {
	q.mu.Lock()
	left := q.scheduler.Remove(entry)
	delete(q.waiters, entry)
	q.mu.Unlock()
	if !left {
		(<-granted).Release(0)
	}
}

// dispatch grants slots in order. The caller holds mu.
func (q *Queue) dispatch() {
	for {
		entry, chosen := q.scheduler.Next(q.clock.Now())
		if entry == nil {
			return
		}
		q.waiters[entry] <- &Grant{Upstream: chosen, queue: q, entry: entry, granted: entry.run.since}
		delete(q.waiters, entry)
	}
}

// Release returns the slot and settles the team's account: actual is what the
// request really cost in tokens.
func (g *Grant) Release(actual int64) {
	q := g.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.Release(g.entry, actual, q.clock.Now())
	q.dispatch()
}

// FirstToken tells that the upstream has begun to answer. Like Observe it must
// not be called by two goroutines at once.
func (g *Grant) FirstToken() {
	if g.first == 0 {
		g.first = g.queue.clock.Since(g.granted)
	}
}

// Observe tells whether the attempt failed for the upstream's sake. It is called
// at most once, before Release.
func (g *Grant) Observe(failed bool) {
	q := g.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.Observe(g.entry, route.Observation{Failed: failed, FirstToken: g.first}, q.clock.Now())
}

// Depth returns how many requests wait.
func (q *Queue) Depth() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scheduler.waiting
}

// EstimateWait returns how long a request would wait now; 0 when not known.
func (q *Queue) EstimateWait(ticket Ticket) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scheduler.EstimateWait(ticket)
}

// Stats returns the present state.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scheduler.Stats()
}
