package pace

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelocross/pomelocross/upstream"
)

// Statement is what one instance states to another about the pace of an upstream.
type Statement struct {
	Target  upstream.Target
	Service string
	Event   time.Duration // lasting time between two stream events
	Samples int           // time windows behind it
	Age     time.Duration // of the last of them
}

// shared is what was last offered for statements.
type shared struct {
	evidence
	own               evidence
	change, ownChange uint64 // numbers of the changes; 0 if there was none
}

const (
	// minStatedSamples is the number of windows from which an interval is stated.
	minStatedSamples = 8
	// maxStatements limits the statements of one message. The others follow in the next.
	maxStatements = 64
	// statedChange is the relative change of an interval from which it is stated again.
	statedChange = 0.1
	// maxStatedAge is the age up to which an interval is stated and learned.
	maxStatedAge = evidenceHalfLife
)

// noteChange records a change that others don't know yet. The caller must hold mu.
func (b *Book) noteChange(r *record) {
	if own := (evidence{r.events.own, r.events.windows()}); r.shared.own.outdated(own) {
		b.changes++
		r.shared.own, r.shared.ownChange = own, b.changes
	}
	if all := (evidence{r.events.lasting, r.events.samples()}); r.shared.outdated(all) {
		b.changes++
		r.shared.evidence, r.shared.change = all, b.changes
	}
}

// outdated reports whether newer evidence is to be stated in place of e.
func (e evidence) outdated(newer evidence) bool {
	if newer.samples < minStatedSamples {
		return false
	}
	difference := float64((newer.event - e.event).Abs())
	return newer.samples >= 2*e.samples || difference > statedChange*float64(e.event)
}

// Statements returns what changed after change number since, at most maxStatements, and the
// number to continue from. With ownOnly, it returns only what this instance has observed
// itself, so that statements do not confirm themselves. There are none for a service whose
// upstreams do not differ.
func (b *Book) Statements(since uint64, ownOnly bool, now time.Time) ([]Statement, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if since > b.changes { // the number is that of an earlier incarnation of this instance
		since = 0
	}
	var list []Statement
	var numbers []uint64
	for name, s := range b.services {
		if !s.summarize(now).uneven {
			continue
		}
		for u, r := range s.records {
			if statement, number := r.statement(ownOnly, now); number > since {
				statement.Target, statement.Service = u, name
				list, numbers = append(list, statement), append(numbers, number)
			}
		}
	}
	return firstChanges(list, numbers, since)
}

// statement returns what is stated about an upstream, without its name, and the number of the
// change; 0 if there is nothing.
func (r *record) statement(ownOnly bool, now time.Time) (Statement, uint64) {
	stated, number, at := r.shared.evidence, r.shared.change, r.eventsAt()
	if ownOnly {
		stated, number, at = r.shared.own, r.shared.ownChange, r.events.lastAt()
	}
	if age(at, now) > maxStatedAge {
		return Statement{}, 0
	}
	return Statement{Event: stated.event, Samples: stated.samples, Age: age(at, now)}, number
}

// firstChanges returns the earliest maxStatements changes and the number of the last of them.
func firstChanges(list []Statement, numbers []uint64, since uint64) ([]Statement, uint64) {
	order := make([]int, len(list))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(numbers[a], numbers[b]) })
	order = order[:min(len(order), maxStatements)]
	first := make([]Statement, 0, len(order))
	for _, i := range order {
		first, since = append(first, list[i]), numbers[i]
	}
	return first, since
}

// Learn records a statement of another instance. Those that can't be true or are old are
// ignored.
func (b *Book) Learn(s Statement, now time.Time) {
	if s.Event <= 0 || s.Event > maxObservation || s.Samples <= 0 || s.Age < 0 || s.Age > maxStatedAge {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	service, r := b.record(s.Target, s.Service)
	r.events.learn(evidence{event: s.Event, samples: s.Samples})
	if at := now.Add(-s.Age); at.After(r.learnedAt) {
		r.learnedAt = at
	}
	service.summary.stale = true
	b.noteChange(r)
}
