// Package sendlimit keeps the requests that all instances together send to an upstream
// within the rate that the upstream names in its responses. It does no I/O and reads no
// clock.
//
// A limit is kept as a number of sends in any span of the length of a window. Each send
// occupies a unit for a window, so that the shares of package slots apply: the holder of the
// control role grants units by demand, and an instance without a valid grant falls back to a
// fixed share that all instances compute in the same way.
package sendlimit

import (
	"math"
	"sync"
	"time"

	"github.com/pomelocross/pomelocross/slots"
	"github.com/pomelocross/pomelocross/upstream"
)

// windowMargin is added to the time for which a send occupies a unit. Sends may arrive at
// intervals shorter than those at which they were written.
const windowMargin = 250 * time.Millisecond

// Timing returns the timing of the grants for a lease term of the control role and the
// window over which sends are counted. A grant of half a lease term expires before the
// lease does. An instance falls back to its fixed share only when all sends under its last
// grant, and under those of others, have left the window.
func Timing(leaseTerm, window time.Duration) slots.Timing {
	term := leaseTerm / 2
	occupied := window + windowMargin
	return slots.Timing{Term: term, Interval: term / 4, CallTimeout: max(term/4, (occupied-2*term)/2+term/8), Hold: occupied}
}

// Limit is a limit that an incarnation of an upstream has named.
type Limit struct {
	Service string
	Started int64         // identifies the incarnation
	Rate    float64       // requests in a second, from all instances together
	Age     time.Duration // since the upstream last named the limit
}

// Limits holds limits by the ID of the upstream.
type Limits map[string]Limit

// Book records the sends of an instance and the shares that it may use. It is safe for
// concurrent use.
type Book struct {
	timing      slots.Timing
	window      time.Duration
	incarnation string

	mu       sync.Mutex // guards all below
	accounts map[string]*account
	services map[string]*service
	members  int  // instances that share the limits; 0 if not known
	position int  // of this instance among them
	informed bool // limits that other instances know are known here
	// fewerSince is when fewer instances than members, or the first ones, were first listed;
	// zero if they are not.
	fewerSince time.Time
}

// account is the state of one upstream.
type account struct {
	limit    Limit     // Rate is 0 while none is known
	namedAt  time.Time // when the limit was last named in a response to any instance
	freeAt   time.Time // as of when a response to this instance has last named none
	until    time.Time // when the limit ends by itself; zero if it does not
	answered bool      // the incarnation has responded to this instance or its limit is known
	open     int       // requests admitted and not yet answered
	chosen   int       // requests for which the upstream was chosen, not yet admitted
	reserved int       // requests admitted and not yet written
	sent     []time.Time
	starved  time.Time // when a request last found no unit
}

// service is the state of the upstreams of one service that have named a limit.
type service struct {
	member *slots.Member
	fixed  slots.Shares // nil if it must be computed
}

// NewBook returns a book without limits for a process of an instance. incarnation identifies
// the process, and window is the time over which sends are counted.
func NewBook(timing slots.Timing, window time.Duration, incarnation string) *Book {
	return &Book{timing: timing, incarnation: incarnation, window: window, accounts: map[string]*account{}, services: map[string]*service{}}
}

// Members is what a list of instances shows of those that share the limits.
type Members struct {
	Position int       // of this instance in their order
	Count    int       // 0 if no list has been read
	AsOf     time.Time // time as of which the list is known to be current
}

// SetMembers sets the instances that share the limits, as last listed. There are no fixed
// shares until it has effect. A greater number has effect at once, since shares become smaller.
// A smaller one, and the first one, has effect with a list that was read so long after it was
// first listed that the sends of an instance that has left are out of the window; until then the
// instances that stay keep their shares. A list that is not renewed raises no share: an instance
// that has joined may be missing from it.
//
// Load pattern: instances are stopped and started in turn while some cannot read the list.
func (b *Book) SetMembers(m Members, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.Count == 0 {
		return
	}
	if b.members > 0 && m.Count >= b.members {
		b.fewerSince = time.Time{}
	} else {
		if b.fewerSince.IsZero() {
			b.fewerSince = now
		}
		if m.AsOf.Sub(b.fewerSince) < b.occupied() {
			return
		}
	}
	if b.position != m.Position || b.members != m.Count {
		b.position, b.members, b.fewerSince = m.Position, m.Count, time.Time{}
		b.recomputeFixed()
	}
}

// recomputeFixed makes the fixed shares be computed again. The caller holds mu.
func (b *Book) recomputeFixed() {
	for _, s := range b.services {
		s.fixed = nil
	}
}

// Retain forgets the upstreams whose IDs are not in registered, once their sends have left the
// window.
func (b *Book) Retain(registered map[string]bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, a := range b.accounts {
		if !registered[id] && a.open+a.chosen == 0 && a.used(b.occupied(), now) == 0 {
			delete(b.accounts, id)
			b.recomputeFixed()
		}
	}
}

// occupied returns how long a send occupies a unit.
func (b *Book) occupied() time.Duration { return b.window + windowMargin }

// maxUnits bounds the units of one upstream. An upstream that accepts more in a window gets
// no more than this.
const maxUnits = 2000.0

// account returns the account of an incarnation. A new incarnation keeps the sends and the
// limit of the one before until it has responded. The caller holds mu.
func (b *Book) account(u upstream.Target) *account {
	a := b.accounts[u.ID]
	if a == nil {
		a = &account{}
		b.accounts[u.ID] = a
	}
	if a.limit.Started != u.Started {
		a.limit.Started, a.answered = u.Started, false
	}
	return a
}

// Response is what a response says about the limit of its upstream.
type Response struct {
	Rate float64 // limit in requests in a second; 0 if the response names none
	// Failed is true for a refusal and for the response to a request that failed. Such a
	// response may lack the limit.
	Failed bool
	// Written is when the request was written, and Received when the response arrived.
	Written, Received time.Time
}

// Observe records the limit that an upstream names in a response. A limit ends with a response
// that names none, if its request was written after the limit was last named. Observe returns
// true if the limit changes.
func (b *Book) Observe(u upstream.Target, serviceName string, r Response) bool {
	if r.Failed && r.Rate == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(u)
	a.answered = true
	if r.Rate > 0 {
		a.namedAt = r.Received
	} else {
		if r.Written.Before(a.namedAt) {
			return false
		}
		a.freeAt = r.Written
	}
	return b.setLimit(a, Limit{Service: serviceName, Started: u.Started, Rate: r.Rate}, r.Received)
}

// Learn records limits that other instances know. What this instance knows stays if it is newer.
// Learn returns the number of limits that changed.
func (b *Book) Learn(limits Limits, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := 0
	for id, l := range limits {
		if !(l.Rate > 0) { // not from an instance of this version
			continue
		}
		a, namedAt := b.accounts[id], now.Add(-max(0, l.Age))
		if a == nil {
			a = &account{}
			b.accounts[id] = a
		}
		known := a.limit.Started == l.Started && (namedAt.Before(a.namedAt) || namedAt.Before(a.freeAt))
		if known || a.limit.Started > l.Started {
			continue
		}
		a.answered, a.namedAt = true, namedAt
		if b.setLimit(a, l, now) {
			changed++
		}
	}
	return changed
}

// setLimit sets the limit of an account. The caller holds mu.
func (b *Book) setLimit(a *account, l Limit, now time.Time) bool {
	same := a.limit.Rate == l.Rate && (a.limit.Service == l.Service || l.Rate == 0)
	a.limit = l
	if same {
		return false
	}
	if l.Rate > 0 && b.services[l.Service] == nil {
		b.services[l.Service] = &service{member: slots.NewMember(b.timing, now)}
	}
	b.recomputeFixed()
	return true
}

// Bound sets a limit that ends by itself. Service and Rate are those of a Limit, and left is
// the time until the end. It returns true if the upstream had no such limit.
func (b *Book) Bound(u upstream.Target, serviceName string, rate float64, left time.Duration, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(u)
	b.endBound(a, now)
	a.until = now.Add(left)
	return b.setLimit(a, Limit{Service: serviceName, Started: u.Started, Rate: rate}, now)
}

// endBound ends a limit that ends by itself. The caller holds mu.
func (b *Book) endBound(a *account, now time.Time) {
	if !a.until.IsZero() && !now.Before(a.until) {
		a.until = time.Time{}
		b.setLimit(a, Limit{Service: a.limit.Service, Started: a.limit.Started}, now)
	}
}

// Limits returns the known limits.
func (b *Book) Limits(now time.Time) Limits {
	b.mu.Lock()
	defer b.mu.Unlock()
	limits := Limits{}
	for id, a := range b.accounts {
		if a.limit.Rate > 0 {
			l := a.limit
			l.Age = max(0, now.Sub(a.namedAt))
			limits[id] = l
		}
	}
	return limits
}

// Engines returns the upstreams of a service that have a limit, with their units.
func (b *Book) Engines(serviceName string) []slots.Engine {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.engines(serviceName)
}

// engines is Engines for a caller that holds mu.
func (b *Book) engines(serviceName string) []slots.Engine {
	var engines []slots.Engine
	for id, a := range b.accounts {
		if a.limit.Rate > 0 && a.limit.Service == serviceName {
			engines = append(engines, slots.Engine{Name: id, Slots: b.units(a.limit)})
		}
	}
	slots.SortEngines(engines)
	return engines
}

// units returns the number of requests that an upstream may get in a window. It is rounded up:
// an upstream that accepts less than one in a window gets one, or its next limit would never be
// known, and a send occupies a unit for longer than a window.
func (b *Book) units(l Limit) int { return int(min(maxUnits, math.Ceil(l.Rate*b.window.Seconds()))) }

// used returns the units that this instance occupies at an upstream.
func (a *account) used(occupied time.Duration, now time.Time) int {
	expired := 0
	for expired < len(a.sent) && now.Sub(a.sent[expired]) >= occupied {
		expired++
	}
	a.sent = a.sent[expired:]
	return len(a.sent) + a.reserved + a.chosen
}

// share returns the units of an upstream that this instance may occupy. The caller holds mu.
func (b *Book) share(id string, a *account, now time.Time) int {
	s := b.services[a.limit.Service]
	if s.fixed == nil {
		s.fixed = slots.Shares{}
		if b.members > 0 {
			s.fixed = slots.FixedShares(b.engines(a.limit.Service), b.position, b.members)
		}
	}
	shares, _ := s.member.Shares(now, s.fixed)
	return shares[id]
}

// SetInformed records that the limits that other instances know are known here, or that there
// are no others.
func (b *Book) SetInformed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.informed = true
}

// Available reports whether a request may be sent to an upstream now. Until SetInformed, an
// upstream that has not responded to this instance gets one request at a time, since it may
// have named a limit to others.
func (b *Book) Available(u upstream.Target, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.available(u.ID, b.account(u), now)
}

// available is Available for a caller that holds mu.
func (b *Book) available(id string, a *account, now time.Time) bool {
	b.endBound(a, now)
	if a.limit.Rate == 0 {
		return b.informed || a.answered || a.open+a.chosen == 0
	}
	if a.used(b.occupied(), now) < b.share(id, a, now) {
		return true
	}
	a.starved = now
	return false
}

// Choose records that an upstream was chosen for a request, for which Reserve follows.
// Several requests are chosen for before the first of them is admitted.
func (b *Book) Choose(u upstream.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(u).chosen++
}

// Ticket is the permission to send one request.
type Ticket struct {
	book    *Book
	id      string
	account *account
	written bool
	at      time.Time // of the last permission to write
	closed  bool
}

// Written returns when the request was last permitted to be written; zero if it was not.
func (t *Ticket) Written() time.Time {
	t.book.mu.Lock()
	defer t.book.mu.Unlock()
	return t.at
}

// Reserve returns a ticket for a request to an upstream that was chosen for it, or nil if none
// may be sent now.
// Close must be called when the request has been answered or has failed.
func (b *Book) Reserve(u upstream.Target, now time.Time) *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(u)
	a.chosen = max(0, a.chosen-1)
	if !b.available(u.ID, a, now) {
		return nil
	}
	a.open++
	a.reserved++
	return &Ticket{book: b, id: u.ID, account: a}
}

// Write records that the request is written now. It returns false if the share of this
// instance has become smaller meanwhile. A request that is written to another connection
// after the first one failed counts again.
func (t *Ticket) Write(now time.Time) bool {
	t.book.mu.Lock()
	defer t.book.mu.Unlock()
	a := t.account
	extra := 0 // units needed besides those in use
	if t.written {
		extra = 1
	}
	t.book.endBound(a, now)
	used := a.used(t.book.occupied(), now) // also forgets the sends that have left the window
	if a.limit.Rate > 0 && used+extra > t.book.share(t.id, a, now) {
		return false
	}
	if !t.written {
		t.written = true
		a.reserved--
	}
	t.at = now
	a.sent = append(a.sent, now)
	return true
}

// Close ends the request.
func (t *Ticket) Close() {
	t.book.mu.Lock()
	defer t.book.mu.Unlock()
	if t.closed {
		return
	}
	t.closed = true
	t.account.open--
	if !t.written {
		t.account.reserved--
	}
}

const (
	// starvedIntervals is the number of report intervals for which a request without a unit
	// raises the reported demand.
	starvedIntervals = 2
	// minStarvedDemand is the least demand in units of an instance whose requests wait.
	minStarvedDemand = 8
)

// Reports returns this instance's reports, one for each service with a limit.
//
// Load pattern: the instances that own batches send nearly everything, in bursts, and the
// others little. The items of a batch run only on the upstreams with its model. An instance
// whose requests find no unit asks for twice of what it uses, at the upstreams that had none,
// so that its share doubles with each report while others do not need theirs.
func (b *Book) Reports(member string, now time.Time) []slots.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	var reports []slots.Report
	for name, s := range b.services {
		r := slots.Report{Service: name, Member: member, Incarnation: b.incarnation, Applied: s.member.Applied(), InFlight: slots.Shares{}}
		used, usable, limited := 0, 0, false
		for id, a := range b.accounts {
			b.endBound(a, now)
			if a.limit.Rate == 0 || a.limit.Service != name {
				continue
			}
			limited = true
			n := a.used(b.occupied(), now)
			if n > 0 {
				r.InFlight[id] = n
				used += n
			}
			starved := now.Sub(a.starved) < starvedIntervals*b.timing.Interval
			if starved {
				r.Wanted = append(r.Wanted, id)
			}
			if n > 0 || starved {
				usable += b.units(a.limit)
			}
		}
		if !limited {
			delete(b.services, name)
			continue
		}
		r.Demand = used
		if len(r.Wanted) > 0 {
			r.Demand = max(used, min(usable, max(2*used, minStarvedDemand)))
			r.Waiting = r.Demand - used
		}
		reports = append(reports, r)
	}
	return reports
}

// Granted reports whether the shares of all services with a limit come from valid grants.
func (b *Book) Granted(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.services {
		if _, granted := s.member.Shares(now, nil); !granted {
			return false
		}
	}
	return true
}

// Apply applies the answer to a report that was sent at sent.
func (b *Book) Apply(serviceName string, a slots.Answer, sent, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.services[serviceName]; s != nil {
		s.member.HandleAnswer(a, sent, now)
	}
}
