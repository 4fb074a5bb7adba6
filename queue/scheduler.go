package queue

import (
	"math/rand/v2"
	"time"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/route"
	"github.com/pomelocross/pomelocross/upstream"
)

const (
	// MaxWaiting bounds the requests waiting for one service at one instance. A team
	// may have no more requests waiting than there are free places in the queue. A
	// single team can therefore fill only half of it.
	MaxWaiting = 16384

	// rolloutMinShare and draftMinShare are the minimum shares of rollouts and
	// drafts while any wait, as fractions of the tokens granted to more urgent
	// classes.
	rolloutMinShare = 0.1
	draftMinShare   = 0.05

	// sweepInterval is the number of grants between two sweeps for idle teams.
	sweepInterval = 1024
	// holdEWMAWeight is the weight of a new sample in the moving averages of how
	// long slots are held and what their requests cost.
	holdEWMAWeight = 1.0 / 64
	// minHoldSamples is the number of completed requests needed before wait times
	// are estimated.
	minHoldSamples = 16

	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Order is the policy by which requests are ordered.
type Order int

// The order policies.
const (
	// Fair serves classes by urgency and teams within a class by weighted fair
	// sharing.
	Fair Order = iota
	// FIFO serves requests in order of arrival. It is a baseline for comparison.
	FIFO
)

// placement is the upstream of a granted item and the time of the grant.
type placement struct {
	upstream  string
	grantedAt time.Time
}

// Scheduler decides the order of requests for one service. It does no I/O,
// reads no clock and is not safe for concurrent use.
type Scheduler struct {
	order        Order
	set          *route.Set
	classes      []*classQueue // most urgent first
	waiting      int
	lastSequence int64
	grants       int
	// meanHoldSeconds and meanHoldCost are moving averages over completed requests:
	// the time a slot was held and the expected tokens.
	meanHoldSeconds, meanHoldCost float64
	completed                     int
	blocked                       map[constraints]bool // reused by Next
}

// NewScheduler returns a scheduler without upstreams.
func NewScheduler(order Order, chooser *route.Chooser, random *rand.Rand) *Scheduler {
	s := &Scheduler{order: order, set: route.NewSet(chooser, random), blocked: map[constraints]bool{}}
	for _, minShare := range []float64{0, rolloutMinShare, draftMinShare} {
		s.classes = append(s.classes, &classQueue{minShare: minShare, teams: map[string]*teamQueue{}})
	}
	return s
}

// classRank maps a class to its index in Scheduler.classes.
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

// Enqueue adds a request to the queue or returns a *RefusedError.
func (s *Scheduler) Enqueue(ticket Ticket, now time.Time) (*Item, error) {
	if s.set.Len() == 0 {
		return nil, &RefusedError{Err: ErrNoUpstream, After: minRetryAfter}
	}
	ticket.Cost = max(ticket.Cost, 1)
	ticket.Route.Class = ticket.Class
	c, team := s.classes[classRank[ticket.Class]], ticket.Team
	if s.order == FIFO {
		c, ticket.Team = s.classes[0], ""
	}
	wait := s.estimate(c, &ticket)
	if s.teamWaiting(ticket.Team) >= MaxWaiting-s.waiting {
		return nil, &RefusedError{Err: ErrFull, After: clampRetryAfter(wait / 2)}
	}
	if overrun := now.Add(wait).Sub(ticket.Deadline); !ticket.Deadline.IsZero() && wait > 0 && overrun > 0 {
		return nil, &RefusedError{Err: ErrDeadline, After: clampRetryAfter(overrun)}
	}
	s.lastSequence++
	item := &Item{ticket: ticket, constraints: constraintsOf(ticket.Route), class: c, team: c.team(&ticket), sequence: s.lastSequence}
	item.ticket.Team = team
	c.push(item)
	s.waiting++
	return item, nil
}

func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// teamWaiting returns the number of a team's waiting requests over all classes.
func (s *Scheduler) teamWaiting(team string) int {
	sum := 0
	for _, c := range s.classes {
		if t := c.teams[team]; t != nil {
			sum += t.waiting
		}
	}
	return sum
}

// estimate returns how long a new request would wait: the tokens to be served before
// it, divided by the recent token rate over all slots. It returns 0 if there are too
// few samples or nothing waits.
func (s *Scheduler) estimate(c *classQueue, ticket *Ticket) time.Duration {
	if s.completed < minHoldSamples || s.set.Slots() == 0 || s.waiting == 0 {
		return 0
	}
	ahead := 0.0
	for _, urgent := range s.classes {
		if urgent == c {
			break
		}
		ahead += float64(urgent.waitingCost)
	}
	own := float64(c.waitingCost)
	if t := c.teams[ticket.Team]; t == nil || t.waiting == 0 {
		own = 0 // a team without waiting requests is served next
	} else {
		own = min(own, float64(t.waitingCost)*float64(c.activeWeight)/float64(t.weight))
	}
	perToken := s.meanHoldSeconds / s.meanHoldCost
	return time.Duration((ahead + own) * perToken / float64(s.set.Slots()) * float64(time.Second))
}

// EstimateWait returns how long a new request would wait; 0 if unknown.
func (s *Scheduler) EstimateWait(ticket Ticket) time.Duration {
	return s.estimate(s.classes[classRank[ticket.Class]], &ticket)
}

// Remove removes a waiting request and reports whether it was waiting.
func (s *Scheduler) Remove(item *Item) bool {
	if item.element == nil {
		return false
	}
	item.class.remove(item)
	item.class.dropIfIdle(item.team)
	s.waiting--
	return true
}

// Next grants a slot to the next request and returns it with its upstream. It returns
// nil if no waiting request can be placed.
func (s *Scheduler) Next(now time.Time) (*Item, upstream.Upstream) {
	s.set.Readmit(now)
	if s.waiting == 0 || !s.set.HasFree() {
		return nil, upstream.Upstream{}
	}
	clear(s.blocked)
	var chosen *route.Candidate
	placeable := func(item *Item) bool {
		if s.blocked[item.constraints] {
			return false
		}
		candidate := s.set.Choose(item.ticket.Route)
		if candidate == nil {
			s.blocked[item.constraints] = true
			return false
		}
		chosen = candidate
		return true
	}
	for _, c := range s.serviceOrder() {
		if c == nil {
			continue
		}
		if item := c.next(placeable); item != nil {
			u := chosen.Upstream
			s.grant(item, u, now)
			return item, u
		}
	}
	return nil, upstream.Upstream{}
}

// serviceOrder returns the classes in the order in which they may use the next slot:
// first the least urgent class whose deficit covers its next request, if any, then
// all by urgency.
func (s *Scheduler) serviceOrder() [4]*classQueue {
	var order [4]*classQueue
	for i, c := range s.classes {
		order[i+1] = c
		if len(c.heap) > 0 && c.minShare > 0 && c.deficit >= float64(c.heap[0].flows[0].head().ticket.Cost) {
			order[0] = c
		}
	}
	return order
}

func (s *Scheduler) grant(item *Item, u upstream.Upstream, now time.Time) {
	c := item.class
	c.virtualTime = max(c.virtualTime, item.team.virtualTime)
	item.team.running++
	c.remove(item)
	c.charge(item, item.ticket.Cost)
	s.updateDeficits(c, item.ticket.Cost)
	s.waiting--
	s.set.Acquire(u.Name, item.ticket.Route.Prefix)
	item.placement = placement{upstream: u.Name, grantedAt: now}
	s.grants++
	if s.grants%sweepInterval == 0 {
		for _, class := range s.classes {
			class.dropIdleTeams()
		}
	}
}

// updateDeficits reduces the deficit of the served class by cost and credits less
// urgent classes with waiting requests with their minimum share of cost.
func (s *Scheduler) updateDeficits(served *classQueue, cost int64) {
	served.deficit = max(0, served.deficit-float64(cost))
	lessUrgent := false
	for _, c := range s.classes {
		if lessUrgent && c.waitingCost > 0 {
			c.deficit += c.minShare * float64(cost)
		}
		lessUrgent = lessUrgent || c == served
	}
}

// Release ends a granted request. actual is its real cost in tokens; the team is
// charged or credited the difference to the expected cost.
func (s *Scheduler) Release(item *Item, actual int64, now time.Time) {
	item.team.running--
	item.class.charge(item, max(actual, 1)-item.ticket.Cost)
	item.class.dropIfIdle(item.team)
	s.set.Release(item.placement.upstream)
	s.completed++
	s.meanHoldSeconds += holdEWMAWeight * (now.Sub(item.placement.grantedAt).Seconds() - s.meanHoldSeconds)
	s.meanHoldCost += holdEWMAWeight * (float64(item.ticket.Cost) - s.meanHoldCost)
}

// Observe records the outcome of an attempt of a granted request.
func (s *Scheduler) Observe(item *Item, o route.Observation, now time.Time) {
	s.set.Observe(item.placement.upstream, o, now)
}

// Stats is a snapshot of a scheduler.
type Stats struct {
	Waiting  int            // number of waiting requests
	Ejected  int            // number of ejected upstreams
	Slots    int            // this instance's share over all upstreams
	InFlight map[string]int // requests by upstream name
}

// Stats returns a snapshot of the state.
func (s *Scheduler) Stats() Stats {
	inFlight := make(map[string]int, len(s.set.InFlight()))
	for name, n := range s.set.InFlight() {
		inFlight[name] = n
	}
	return Stats{Waiting: s.waiting, Ejected: s.set.Ejected(), Slots: s.set.Slots(), InFlight: inFlight}
}
