// Package queue holds requests until an upstream has a free slot. Engines don't
// support priorities, so requests are ordered here: by class, with a minimum share
// for less urgent classes, then by weighted fair queueing among teams on token cost.
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

// Queue is the request queue of one service. It is safe for concurrent use.
type Queue struct {
	clock clockwork.Clock

	mu        sync.Mutex // guards the fields below; never held during I/O
	scheduler *Scheduler
	waiters   map[*Item]chan *Grant // buffered, so that granting never blocks
}

// Grant is a slot at an upstream. It must be released exactly once.
type Grant struct {
	Upstream         upstream.Upstream
	queue            *Queue
	item             *Item
	grantedAt        time.Time
	timeToFirstToken time.Duration // 0 until the first token
}

// New returns a queue without upstreams.
func New(chooser *route.Chooser) *Queue {
	return NewWithClock(chooser, clockwork.NewRealClock(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// NewWithClock is like New with a given clock and random source.
func NewWithClock(chooser *route.Chooser, clock clockwork.Clock, random *rand.Rand) *Queue {
	return &Queue{clock: clock, scheduler: NewScheduler(Fair, chooser, random), waiters: map[*Item]chan *Grant{}}
}

// Update replaces the upstreams and grants slots to waiting requests that can now
// run.
func (q *Queue) Update(upstreams []Upstream) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.Update(upstreams, q.clock.Now())
	q.dispatch()
}

// Acquire waits for a slot until ctx is done. It returns a *RefusedError at once if
// the request can't be queued or is expected to wait beyond the ticket's deadline,
// which defaults to that of ctx.
func (q *Queue) Acquire(ctx context.Context, ticket Ticket) (*Grant, error) {
	if deadline, ok := ctx.Deadline(); ok && ticket.Deadline.IsZero() {
		ticket.Deadline = q.clock.Now().Add(time.Until(deadline))
	}
	item, granted, err := q.enqueue(ticket)
	if err != nil {
		return nil, err
	}
	select {
	case grant := <-granted:
		return grant, nil
	case <-ctx.Done():
		q.cancel(item, granted)
		return nil, ctx.Err()
	}
}

func (q *Queue) enqueue(ticket Ticket) (*Item, chan *Grant, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	item, err := q.scheduler.Enqueue(ticket, q.clock.Now())
	if err != nil {
		return nil, nil, err
	}
	granted := make(chan *Grant, 1)
	q.waiters[item] = granted
	q.dispatch()
	return item, granted, nil
}

// cancel removes a waiter whose context is done. A slot that was granted in the
// meantime is released at no cost.
func (q *Queue) cancel(item *Item, granted chan *Grant) {
	q.mu.Lock()
	removed := q.scheduler.Remove(item)
	delete(q.waiters, item)
	q.mu.Unlock()
	if !removed {
		(<-granted).Release(0)
	}
}

// dispatch grants free slots to waiting requests. The caller must hold mu.
func (q *Queue) dispatch() {
	for {
		item, chosen := q.scheduler.Next(q.clock.Now())
		if item == nil {
			return
		}
		q.waiters[item] <- &Grant{Upstream: chosen, queue: q, item: item, grantedAt: item.placement.grantedAt}
		delete(q.waiters, item)
	}
}

// Release frees the slot and adjusts the team's charge to actual, the real cost of
// the request in tokens.
func (g *Grant) Release(actual int64) {
	q := g.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.Release(g.item, actual, q.clock.Now())
	q.dispatch()
}

// FirstToken records that the first token has arrived. FirstToken and Observe must
// not be called concurrently on the same grant.
func (g *Grant) FirstToken() {
	if g.timeToFirstToken == 0 {
		g.timeToFirstToken = g.queue.clock.Since(g.grantedAt)
	}
}

// Observe records the outcome of the attempt; failed means that the upstream caused
// a failure. It must be called no more than once, and before Release.
func (g *Grant) Observe(failed bool) {
	q := g.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.Observe(g.item, route.Observation{Failed: failed, FirstToken: g.timeToFirstToken}, q.clock.Now())
}

// Depth returns the number of waiting requests.
func (q *Queue) Depth() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scheduler.waiting
}

// EstimateWait returns how long a new request would wait; 0 if unknown.
func (q *Queue) EstimateWait(ticket Ticket) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scheduler.EstimateWait(ticket)
}

// Stats returns a snapshot of the state.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scheduler.Stats()
}
