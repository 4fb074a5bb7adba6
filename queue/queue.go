// Package queue holds requests until an upstream has a slot for them. Engines
// know no priorities, so order is decided here: by class, then by weighted fair
// sharing among teams on token cost.
package queue

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/route"
	"github.com/pomelocross/pomelocross/upstream"
)

// MaxWaiting bounds the requests that wait for one service at one instance.
const MaxWaiting = 8192

// Errors of Acquire. The request was not run.
var (
	ErrFull      = errors.New("queue is full")
	ErrNoService = errors.New("service has no upstream")
)

// Ticket is a request's place in the queue.
type Ticket struct {
	Team   string
	Weight int // of the team
	Class  contract.Class
	Cost   int64 // expected tokens
	Route  route.Request
}

// Grant is a slot at an upstream. It must be released exactly once.
type Grant struct {
	Upstream upstream.Upstream
	queue    *Queue
	ticket   Ticket
}

// Slotted is an upstream with this instance's share of its slots.
type Slotted struct {
	upstream.Upstream
	Slots int
}

// Queue holds the requests for one service.
type Queue struct {
	chooser *route.Chooser

	mu         sync.Mutex // guards all below; every critical section is free of I/O
	candidates []route.Candidate
	waiting    []*waiter
	finish     map[string]float64 // virtual finish time of each team's last request
	virtual    float64
}

type waiter struct {
	ticket  Ticket
	start   float64 // virtual start time
	arrived time.Time
	granted chan *Grant // buffered, so that a grant never blocks
}

// New returns a queue without upstreams.
func New(chooser *route.Chooser) *Queue {
	return &Queue{chooser: chooser, finish: map[string]float64{}}
}

// Update replaces the upstreams and wakes requests that can now run.
func (q *Queue) Update(upstreams []Slotted) {
	q.mu.Lock()
	defer q.mu.Unlock()
	inFlight := map[string]int{}
	for _, c := range q.candidates {
		inFlight[c.Name] = c.InFlight
	}
	q.candidates = q.candidates[:0]
	for _, u := range upstreams {
		q.candidates = append(q.candidates, route.Candidate{Upstream: u.Upstream, Slots: u.Slots, InFlight: inFlight[u.Name]})
	}
	q.dispatch()
}

// Acquire waits for a slot until ctx ends.
func (q *Queue) Acquire(ctx context.Context, ticket Ticket) (*Grant, error) {
	w, err := q.enter(ticket)
	if err != nil {
		return nil, err
	}
	select {
	case grant := <-w.granted:
		return grant, nil
	case <-ctx.Done():
		q.leave(w)
		return nil, ctx.Err()
	}
}

func (q *Queue) enter(ticket Ticket) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.candidates) == 0 {
		return nil, ErrNoService
	}
	if len(q.waiting) >= MaxWaiting {
		return nil, ErrFull
	}
	w := &waiter{ticket: ticket, start: max(q.virtual, q.finish[ticket.Team]), arrived: time.Now(), granted: make(chan *Grant, 1)}
	q.finish[ticket.Team] = w.start + float64(ticket.Cost)/float64(max(ticket.Weight, 1))
	at, _ := slices.BinarySearchFunc(q.waiting, w, before)
	q.waiting = slices.Insert(q.waiting, at, w)
	q.dispatch()
	return w, nil
}

// leave removes a waiter whose caller has gone, and returns a slot granted meanwhile.
func (q *Queue) leave(w *waiter) {
	q.mu.Lock()
	at := slices.Index(q.waiting, w)
	if at >= 0 {
		q.waiting = slices.Delete(q.waiting, at, at+1)
	}
	q.mu.Unlock()
	if at < 0 {
		grant := <-w.granted
		grant.Release(0)
	}
}

// dispatch grants slots in order. The caller holds mu.
func (q *Queue) dispatch() {
	for i := 0; i < len(q.waiting); {
		w := q.waiting[i]
		chosen := q.chooser.Choose(w.ticket.Route, q.candidates)
		if chosen == nil {
			i++
			continue
		}
		chosen.InFlight++
		q.virtual = max(q.virtual, w.start)
		q.waiting = slices.Delete(q.waiting, i, i+1)
		w.granted <- &Grant{Upstream: chosen.Upstream, queue: q, ticket: w.ticket}
	}
}

// Release returns the slot and settles the team's account: actual is what the
// request really cost in tokens.
func (g *Grant) Release(actual int64) {
	q := g.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	difference := float64(actual-g.ticket.Cost) / float64(max(g.ticket.Weight, 1))
	q.finish[g.ticket.Team] += difference
	for i := range q.candidates {
		if q.candidates[i].Name == g.Upstream.Name {
			q.candidates[i].InFlight--
		}
	}
	q.dispatch()
}

// Depth returns how many requests wait.
func (q *Queue) Depth() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

var classRank = map[contract.Class]int{contract.ClassDesk: 0, contract.ClassRollout: 1, contract.ClassDraft: 2}

// before orders waiters by class, virtual start time and arrival.
func before(a, b *waiter) int {
	if d := classRank[a.ticket.Class] - classRank[b.ticket.Class]; d != 0 {
		return d
	}
	if a.start != b.start {
		if a.start < b.start {
			return -1
		}
		return 1
	}
	return a.arrived.Compare(b.arrived)
}
