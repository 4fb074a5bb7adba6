package queue

import (
	"math/rand/v2"
	"time"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/route"
	"github.com/pomelocross/pomelocross/upstream"
)

const (
	// MaxWaiting bounds the requests that wait for one service at one instance.
	// A team may use as many places as are left free, so that one team alone
	// gets half and any other team still finds room.
	MaxWaiting = 16384

	// rolloutFloor and draftFloor are the parts of what more urgent classes are
	// granted that waiting rollouts and drafts are owed.
	rolloutFloor = 0.1
	draftFloor   = 0.05

	// sweepInterval is how many grants lie between two sweeps of idle accounts.
	sweepInterval = 1024
	// holdSmoothing is the part of a new holding time in the running mean.
	holdSmoothing = 1.0 / 64
	// holdSamples is how many ended requests an estimate needs.
	holdSamples = 16

	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Order is the order in which requests are served.
type Order int

// The orders.
const (
	// Fair serves classes by urgency and teams by weighted shares.
	Fair Order = iota
	// Arrival serves requests as they came; for comparison.
	FIFO
)

// running is what is known of a granted entry.
type running struct {
	upstream string
	since    time.Time
}

// Scheduler decides the order of requests for one service. It does no I/O,
// reads no clock and is not safe for concurrent use.
type Scheduler struct {
	order   Order
	set     *route.Set
	lanes   []*lane // most urgent first
	waiting int
	number  int64
	grants  int
	// held and heldCost are running means over ended requests: seconds a slot
	// was held and the tokens expected.
	held, heldCost float64
	ended          int
	blocked        map[need]bool // scratch of Next
}

// NewScheduler returns a scheduler without upstreams.
func NewScheduler(order Order, chooser *route.Chooser, random *rand.Rand) *Scheduler {
	s := &Scheduler{order: order, set: route.NewSet(chooser, random), blocked: map[need]bool{}}
	for _, floor := range []float64{0, rolloutFloor, draftFloor} {
		s.lanes = append(s.lanes, &lane{floor: floor, accounts: map[string]*account{}})
	}
	return s
}

var classRank = map[contract.Class]int{contract.ClassDesk: 0, contract.ClassRollout: 1, contract.ClassDraft: 2}

// Update replaces the upstreams.
func (s *Scheduler) Update(upstreams []Upstream, now time.Time) {
	candidates := make([]route.Candidate, len(upstreams))
	for i, u := range upstreams {
		candidates[i] = route.Candidate{Upstream: u.Upstream, Slots: u.Slots, Capacity: u.Capacity}
	}
	s.set.Replace(candidates)
	s.set.Readmit(now)
}

// Enter takes a request in, or returns a *RefusedError.
func (s *Scheduler) Enqueue(ticket Ticket, now time.Time) (*Item, error) {
	if s.set.Len() == 0 {
		return nil, &RefusedError{Err: ErrNoUpstream, After: minRetryAfter}
	}
	ticket.Cost = max(ticket.Cost, 1)
	ticket.Route.Class = ticket.Class
	l, team := s.lanes[classRank[ticket.Class]], ticket.Team
	if s.order == FIFO {
		l, ticket.Team = s.lanes[0], ""
	}
	wait := s.estimate(l, &ticket)
	if s.teamWaiting(ticket.Team) >= MaxWaiting-s.waiting {
		return nil, &RefusedError{Err: ErrFull, After: bounded(wait / 2)}
	}
	if late := now.Add(wait).Sub(ticket.Deadline); !ticket.Deadline.IsZero() && wait > 0 && late > 0 {
		return nil, &RefusedError{Err: ErrDeadline, After: bounded(late)}
	}
	s.number++
	e := &Item{ticket: ticket, need: needOf(ticket.Route), lane: l, account: l.account(&ticket), number: s.number}
	e.ticket.Team = team
	l.push(e)
	s.waiting++
	return e, nil
}

func bounded(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// teamWaiting returns how many of a team's requests wait in all classes.
func (s *Scheduler) teamWaiting(team string) int {
	sum := 0
	for _, l := range s.lanes {
		if a := l.accounts[team]; a != nil {
			sum += a.waiting
		}
	}
	return sum
}

// estimate returns how long a new request would wait: the tokens that would be
// served before it, at the rate at which slots have lately been freed. It is 0
// when nothing is known or nothing waits.
func (s *Scheduler) estimate(l *lane, t *Ticket) time.Duration {
	if s.ended < holdSamples || s.set.Slots() == 0 || s.waiting == 0 {
		return 0
	}
	ahead := 0.0
	for _, urgent := range s.lanes {
		if urgent == l {
			break
		}
		ahead += float64(urgent.cost)
	}
	own := float64(l.cost)
	if a := l.accounts[t.Team]; a == nil || a.waiting == 0 {
		own = 0 // a team without waiting requests is next in turn
	} else {
		own = min(own, float64(a.cost)*float64(l.weights)/float64(a.weight))
	}
	perToken := s.held / s.heldCost
	return time.Duration((ahead + own) * perToken / float64(s.set.Slots()) * float64(time.Second))
}

// EstimateWait returns how long a request would wait now.
func (s *Scheduler) EstimateWait(t Ticket) time.Duration {
	return s.estimate(s.lanes[classRank[t.Class]], &t)
}

// Leave takes a waiting request out; it reports false when it is not waiting.
func (s *Scheduler) Remove(e *Item) bool {
	if e.element == nil {
		return false
	}
	e.lane.remove(e)
	e.lane.forget(e.account)
	s.waiting--
	return true
}

// Next grants a slot to the request whose turn it is. It returns nil when no
// waiting request can be placed.
func (s *Scheduler) Next(now time.Time) (*Item, upstream.Upstream) {
	s.set.Readmit(now)
	if s.waiting == 0 || !s.set.HasFree() {
		return nil, upstream.Upstream{}
	}
	clear(s.blocked)
	var chosen *route.Candidate
	placeable := func(e *Item) bool {
		if s.blocked[e.need] {
			return false
		}
		candidate := s.set.Choose(e.ticket.Route)
		if candidate == nil {
			s.blocked[e.need] = true
			return false
		}
		chosen = candidate
		return true
	}
	for _, l := range s.turns() {
		if l == nil {
			continue
		}
		if e := l.pick(placeable); e != nil {
			u := chosen.Upstream
			s.grant(e, u, now)
			return e, u
		}
	}
	return nil, upstream.Upstream{}
}

// turns returns the lanes in the order in which they may use the next slot: one
// that is owed a whole request first, then by urgency.
func (s *Scheduler) turns() [4]*lane {
	var turns [4]*lane
	for i, l := range s.lanes {
		turns[i+1] = l
		if len(l.heap) > 0 && l.floor > 0 && l.owed >= float64(l.heap[0].flows[0].head().ticket.Cost) {
			turns[0] = l
		}
	}
	return turns
}

func (s *Scheduler) grant(e *Item, u upstream.Upstream, now time.Time) {
	l := e.lane
	l.virtual = max(l.virtual, e.account.pass)
	e.account.running++
	l.remove(e)
	l.charge(e, e.ticket.Cost)
	s.settleFloors(l, e.ticket.Cost)
	s.waiting--
	s.set.Acquire(u.Name, e.ticket.Route.Prefix)
	e.run = running{upstream: u.Name, since: now}
	s.grants++
	if s.grants%sweepInterval == 0 {
		for _, swept := range s.lanes {
			swept.sweep()
		}
	}
}

// settleFloors owes less urgent lanes that wait their part of a grant and takes
// what the served lane was owed.
func (s *Scheduler) settleFloors(served *lane, cost int64) {
	served.owed = max(0, served.owed-float64(cost))
	lower := false
	for _, l := range s.lanes {
		if lower && l.cost > 0 {
			l.owed += l.floor * float64(cost)
		}
		lower = lower || l == served
	}
}

// Release ends a granted request. Actual is what it really cost in tokens; the
// difference to what was expected is settled with the team.
func (s *Scheduler) Release(e *Item, actual int64, now time.Time) {
	e.account.running--
	e.lane.charge(e, max(actual, 1)-e.ticket.Cost)
	e.lane.forget(e.account)
	s.set.Release(e.run.upstream)
	s.ended++
	s.held += holdSmoothing * (now.Sub(e.run.since).Seconds() - s.held)
	s.heldCost += holdSmoothing * (float64(e.ticket.Cost) - s.heldCost)
}

// Observe takes in what an attempt of a granted request showed.
func (s *Scheduler) Observe(e *Item, o route.Observation, now time.Time) {
	s.set.Observe(e.run.upstream, o, now)
}

// Stats is the state of a scheduler at one moment.
type Stats struct {
	Waiting  int            // requests
	Ejected  int            // upstreams
	Slots    int            // this instance's share over all upstreams
	InFlight map[string]int // requests by upstream
}

// Stats returns the present state.
func (s *Scheduler) Stats() Stats {
	copied := make(map[string]int, len(s.set.InFlight()))
	for name, n := range s.set.InFlight() {
		copied[name] = n
	}
	return Stats{Waiting: s.waiting, Ejected: s.set.Ejected(), Slots: s.set.Slots(), InFlight: copied}
}
