package domain

import (
	"slices"
	"strings"
	"time"

	"github.com/pomelocross/pomelocross/objects"
)

// Liveness is what an instance believes of another entry instance.
type Liveness string

// The states of an entry instance.
const (
	Alive     Liveness = "alive"     // heard lately, or listed and never missed
	Suspected Liveness = "suspected" // missed; it keeps its place in Entries
	Dead      Liveness = "dead"      // missed for long; Entries leaves it out
)

// Limits are the times after which silence changes a state.
type Limits struct {
	// Suspect is how long an instance of the own domain may be silent.
	Suspect time.Duration
	// Unanswered is how long it may be silent when calls to it fail.
	Unanswered time.Duration
	// Dead is how long a suspicion lasts before Entries leaves the instance out.
	Dead time.Duration
	// Forget is how long an instance that the list does not have is kept.
	Forget time.Duration
	// Failures is how many calls in a row must fail for a suspicion.
	Failures int
}

// DefaultLimits suit instances that exchange messages each second.
func DefaultLimits() Limits {
	return Limits{Suspect: 10 * time.Second, Unanswered: 3 * time.Second, Dead: 30 * time.Second, Forget: time.Minute, Failures: 2}
}

// Sighting says how long ago an instance was last heard, by the teller or by
// another instance. The age is relative, since clocks are not compared.
type Sighting struct {
	Name    string
	Age     time.Duration
	Leaving bool
}

// Tracker follows which entry instances are alive, from the instance list, from
// calls, and from what peers tell. It does no I/O and reads no clock. It is not
// safe for concurrent use.
type Tracker struct {
	self    objects.Member
	limits  Limits
	members []objects.Member   // last reading of the list
	known   map[string]*record // entry instances other than self
	own     []string           // names of known in self's domain, sorted; nil when to be made anew
	changed bool               // a view taken now differs from the last
}

type record struct {
	member   objects.Member
	listed   bool
	leaving  bool      // told by the instance itself or by a peer
	heard    time.Time // newest moment at which anyone heard it
	failures int       // calls that failed since heard
	missed   time.Time // start of the suspicion; zero when alive
	accused  bool      // the suspicion is from an instance of its own domain
}

// NewTracker returns a tracker of self's deployment that knows no one yet.
func NewTracker(self objects.Member, limits Limits) *Tracker {
	return &Tracker{self: self, limits: limits, known: map[string]*record{}}
}

// Listed takes a reading of the instance list. An instance that left the list is
// forgotten unless it was heard lately, since the list lags both ways.
func (t *Tracker) UpdateList(members []objects.Member, now time.Time) {
	t.members = members
	t.changed = true
	for _, r := range t.known {
		r.listed = false
	}
	for _, m := range members {
		if m.Role != objects.RoleEntry || m.Name == t.self.Name {
			continue
		}
		t.record(m, now).listed = true
	}
}

// record returns the record of m. A new address under an old name is a
// replacement, which starts afresh.
func (t *Tracker) record(m objects.Member, now time.Time) *record {
	r := t.known[m.Name]
	if r == nil || r.member.Peer != m.Peer {
		r = &record{heard: now}
		t.known[m.Name] = r
		t.changed, t.own = true, nil
	}
	if r.member.Domain != m.Domain {
		t.own = nil
	}
	r.member = m
	return r
}

func (t *Tracker) forget(now time.Time) {
	for name, r := range t.known {
		if !r.listed && now.Sub(r.heard) > t.limits.Forget {
			delete(t.known, name)
			t.changed, t.own = true, nil
		}
	}
}

// Heard takes a message or an answer of m itself, which was sent at or after
// sent on this instance's clock. An unlisted m has joined before the list says so.
func (t *Tracker) RecordContact(m objects.Member, sent time.Time) {
	if m.Name == t.self.Name || m.Name == "" {
		return
	}
	r := t.known[m.Name]
	if r == nil {
		r = t.record(m, sent)
	}
	t.leave(r, m.Leaving)
	r.failures, r.accused = 0, false
	t.hear(r, sent)
}

func (t *Tracker) leave(r *record, leaving bool) {
	t.changed = t.changed || r.leaving != leaving
	r.leaving = leaving
}

func (t *Tracker) hear(r *record, at time.Time) {
	if at.After(r.heard) {
		r.heard = at
	}
	if !r.accused && r.failures == 0 && !r.missed.IsZero() {
		r.missed = time.Time{}
		t.changed = true
	}
}

// Seen takes what a peer told in an answer to a call that was sent at sent.
func (t *Tracker) ApplySightings(sightings []Sighting, sent time.Time) {
	for _, s := range sightings {
		r := t.known[s.Name]
		if r == nil {
			continue
		}
		if s.Leaving {
			t.leave(r, true)
		}
		if at := sent.Add(-s.Age); at.After(r.heard) {
			r.failures, r.accused = 0, false
			t.hear(r, at)
		}
	}
}

// Accused takes the names that instances of other domains suspect in their own.
func (t *Tracker) ApplySuspicions(sightings []Sighting, sent time.Time) {
	for _, s := range sightings {
		r := t.known[s.Name]
		if r == nil || r.member.Domain == t.self.Domain || r.heard.After(sent.Add(-s.Age)) {
			continue
		}
		r.accused = true
	}
}

// Failed takes a call to a peer that was not answered.
func (t *Tracker) RecordFailure(name string) {
	if r := t.known[name]; r != nil {
		r.failures++
	}
}

// Refresh applies the time that has passed. It reports whether a view taken now
// differs from one taken at the last Refresh.
func (t *Tracker) Refresh(now time.Time) bool {
	t.forget(now)
	changed := t.changed
	t.changed = false
	for _, r := range t.known {
		before := t.liveness(r, now)
		switch {
		case !t.missing(r, now):
			r.missed = time.Time{}
		case r.missed.IsZero():
			r.missed = now
		}
		changed = changed || before != t.liveness(r, now)
	}
	return changed
}

// missing reports whether r counts as missed. The own domain is judged by
// silence, sooner when calls fail. Other domains are judged by failed calls and by their own members:
// silence of a whole domain is a cut, which tells nothing of its instances.
func (t *Tracker) missing(r *record, now time.Time) bool {
	silence := now.Sub(r.heard)
	failing := r.failures >= t.limits.Failures
	if r.member.Domain == t.self.Domain {
		return silence > t.limits.Suspect || (failing && silence > t.limits.Unanswered)
	}
	return r.accused || (failing && silence > t.limits.Suspect)
}

func (t *Tracker) liveness(r *record, now time.Time) Liveness {
	switch {
	case r.missed.IsZero():
		return Alive
	case !r.listed:
		return Dead // the list agrees that it is gone
	case now.Sub(r.missed) <= t.limits.Dead || (!r.accused && r.member.Domain != t.self.Domain):
		return Suspected
	}
	return Dead
}

// Sightings returns what to tell a peer: up to limit instances of the own
// domain, starting at a place that turn moves on.
func (t *Tracker) Sightings(turn, limit int, now time.Time) []Sighting {
	names := t.ownDomain()
	var list []Sighting
	for n := range min(limit, len(names)) {
		r := t.known[names[(turn*limit+n)%len(names)]]
		list = append(list, Sighting{Name: r.member.Name, Age: now.Sub(r.heard), Leaving: r.leaving})
	}
	return list
}

// Suspicions returns the instances of the own domain that are missed, at most
// limit, for instances of other domains.
func (t *Tracker) Suspicions(limit int, now time.Time) []Sighting {
	var list []Sighting
	for _, name := range t.ownDomain() {
		r := t.known[name]
		if !r.missed.IsZero() && len(list) < limit {
			list = append(list, Sighting{Name: name, Age: now.Sub(r.heard)})
		}
	}
	return list
}

func (t *Tracker) ownDomain() []string {
	if t.own != nil {
		return t.own
	}
	t.own = []string{}
	for name, r := range t.known {
		if r.member.Domain == t.self.Domain {
			t.own = append(t.own, name)
		}
	}
	slices.Sort(t.own)
	return t.own
}

// View returns the membership as the tracker now sees it.
func (t *Tracker) View(now time.Time) *View {
	v := &View{self: t.self, members: t.members, liveness: map[string]Liveness{}, heard: map[string]time.Time{}}
	v.entries = append(v.entries, t.listedSelf())
	for name, r := range t.known {
		m := r.member
		m.Leaving = m.Leaving || r.leaving
		v.entries = append(v.entries, m)
		v.liveness[name] = t.liveness(r, now)
		v.heard[name] = r.heard
	}
	slices.SortFunc(v.entries, func(a, b objects.Member) int { return strings.Compare(a.Name, b.Name) })
	return v
}

// listedSelf returns self as the list has it, which may name a reachable address.
func (t *Tracker) listedSelf() objects.Member {
	for _, m := range t.members {
		if m.Role == objects.RoleEntry && m.Name == t.self.Name {
			m.Leaving = m.Leaving || t.self.Leaving
			return m
		}
	}
	return t.self
}

// Leave marks self as leaving.
func (t *Tracker) Leave() {
	t.self.Leaving = true
	t.changed = true
}

// Self returns this instance as it tells peers of itself.
func (t *Tracker) Self() objects.Member { return t.listedSelf() }
