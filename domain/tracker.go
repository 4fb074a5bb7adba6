package domain

import (
	"slices"
	"strings"
	"time"

	"github.com/pomelocross/pomelocross/objects"
)

// Liveness is the state of an entry instance as seen by another one.
type Liveness string

// The states of an entry instance.
const (
	Alive     Liveness = "alive"     // heard from recently, or listed and never suspected
	Suspected Liveness = "suspected" // not heard from recently, or calls fail; still included in View.Entries
	Dead      Liveness = "dead"      // suspected for long, or suspected and not listed; excluded from View.Entries
)

// Limits are the thresholds at which the liveness of an instance changes.
type Limits struct {
	// SuspectAfter is the time since an instance of the own domain was last heard
	// from after which it is suspected. In other domains calls must fail too.
	SuspectAfter time.Duration
	// SuspectFailingAfter replaces SuspectAfter for an instance of the own domain
	// while calls to it fail.
	SuspectFailingAfter time.Duration
	// DeadAfter is how long an instance is suspected before it counts as dead and
	// is excluded from View.Entries. An instance of another domain counts as dead
	// only if its own domain reported it as suspected.
	DeadAfter time.Duration
	// ForgetAfter is the time since an unlisted instance was last heard from after
	// which it is deleted.
	ForgetAfter time.Duration
	// MinFailures is the number of consecutive failed calls from which an instance
	// counts as failing.
	MinFailures int
}

// DefaultLimits returns limits for instances that exchange messages every second.
func DefaultLimits() Limits {
	return Limits{SuspectAfter: 10 * time.Second, SuspectFailingAfter: 3 * time.Second, DeadAfter: 30 * time.Second, ForgetAfter: time.Minute, MinFailures: 2}
}

// Sighting reports how long ago an instance was last heard from, by the sender of
// the report or by another instance. It holds an age because the clocks of
// instances are not compared.
type Sighting struct {
	Name    string
	Age     time.Duration
	Leaving bool
}

// Tracker determines which entry instances are alive from the instance list, the
// results of calls and the reports of peers. It does no I/O and reads no clock. It
// is not safe for concurrent use.
type Tracker struct {
	self        objects.Member
	limits      Limits
	members     []objects.Member   // newest instance list
	instances   map[string]*record // entry instances other than self, by name
	ownNames    []string           // sorted names of the instances in self's domain; nil if outdated
	viewChanged bool               // whether the view has changed since the last Refresh
}

// record is the state of one entry instance.
type record struct {
	member      objects.Member
	listed      bool
	leaving     bool      // reported by the instance itself or by a peer
	lastHeard   time.Time // newest time at which any instance heard from it
	failures    int       // calls that failed since lastHeard
	suspectedAt time.Time // zero if alive
	reported    bool      // only in other domains: an instance of that domain reported it as suspected
}

// NewTracker returns a tracker for self that knows no other instances.
func NewTracker(self objects.Member, limits Limits) *Tracker {
	return &Tracker{self: self, limits: limits, instances: map[string]*record{}}
}

// UpdateList replaces the instance list. An instance that is no longer listed is
// deleted once it has not been heard from for ForgetAfter; it is kept until then
// because the list lags for both joining and leaving instances.
func (t *Tracker) UpdateList(members []objects.Member, now time.Time) {
	t.members = members
	t.viewChanged = true
	for _, r := range t.instances {
		r.listed = false
	}
	for _, m := range members {
		if m.Role != objects.RoleEntry || m.Name == t.self.Name {
			continue
		}
		t.record(m, now).listed = true
	}
}

// record updates and returns the record of m. An instance with a known name and a
// new peer address is a replacement and gets a new record.
func (t *Tracker) record(m objects.Member, now time.Time) *record {
	r := t.instances[m.Name]
	if r == nil || r.member.Peer != m.Peer {
		r = &record{lastHeard: now}
		t.instances[m.Name] = r
		t.viewChanged, t.ownNames = true, nil
	}
	if r.member.Domain != m.Domain {
		t.ownNames = nil
	}
	r.member = m
	return r
}

func (t *Tracker) prune(now time.Time) {
	for name, r := range t.instances {
		if !r.listed && now.Sub(r.lastHeard) > t.limits.ForgetAfter {
			delete(t.instances, name)
			t.viewChanged, t.ownNames = true, nil
		}
	}
}

// RecordContact records that m itself sent a message or reply at or after sent, a
// time of this instance's clock. An unknown m is added, since the list lags behind
// joining instances.
func (t *Tracker) RecordContact(m objects.Member, sent time.Time) {
	if m.Name == t.self.Name || m.Name == "" {
		return
	}
	r := t.instances[m.Name]
	if r == nil {
		r = t.record(m, sent)
	}
	t.setLeaving(r, m.Leaving)
	r.failures, r.reported = 0, false
	t.updateLastHeard(r, sent)
}

func (t *Tracker) setLeaving(r *record, leaving bool) {
	t.viewChanged = t.viewChanged || r.leaving != leaving
	r.leaving = leaving
}

func (t *Tracker) updateLastHeard(r *record, at time.Time) {
	if at.After(r.lastHeard) {
		r.lastHeard = at
	}
	if !r.reported && r.failures == 0 && !r.suspectedAt.IsZero() {
		r.suspectedAt = time.Time{}
		t.viewChanged = true
	}
}

// ApplySightings applies the sightings that a peer reported at or after sent.
func (t *Tracker) ApplySightings(sightings []Sighting, sent time.Time) {
	for _, s := range sightings {
		r := t.instances[s.Name]
		if r == nil {
			continue
		}
		if s.Leaving {
			t.setLeaving(r, true)
		}
		if at := sent.Add(-s.Age); at.After(r.lastHeard) {
			r.failures, r.reported = 0, false
			t.updateLastHeard(r, at)
		}
	}
}

// ApplySuspicions applies reports, made at or after sent, of instances that are
// suspected by an instance of their own domain. Reports about the own domain and
// those older than the last contact are ignored.
func (t *Tracker) ApplySuspicions(sightings []Sighting, sent time.Time) {
	for _, s := range sightings {
		r := t.instances[s.Name]
		if r == nil || r.member.Domain == t.self.Domain || r.lastHeard.After(sent.Add(-s.Age)) {
			continue
		}
		r.reported = true
	}
}

// RecordFailure records a failed call to a peer.
func (t *Tracker) RecordFailure(name string) {
	if r := t.instances[name]; r != nil {
		r.failures++
	}
}

// Refresh applies the timeouts. It reports whether a view taken now differs from
// one taken at the last Refresh.
func (t *Tracker) Refresh(now time.Time) bool {
	t.prune(now)
	changed := t.viewChanged
	t.viewChanged = false
	for _, r := range t.instances {
		before := t.liveness(r, now)
		switch {
		case !t.shouldSuspect(r, now):
			r.suspectedAt = time.Time{}
		case r.suspectedAt.IsZero():
			r.suspectedAt = now
		}
		changed = changed || before != t.liveness(r, now)
	}
	return changed
}

// shouldSuspect reports whether r is to be suspected. In the own domain it is enough
// that r was not heard from for a while, which is shorter if calls fail. An instance
// of another domain is suspected only if calls fail too or if its own domain reports
// it: when none of a domain's instances are heard from, the cause is probably a
// network partition and not the instances.
func (t *Tracker) shouldSuspect(r *record, now time.Time) bool {
	sinceHeard := now.Sub(r.lastHeard)
	failing := r.failures >= t.limits.MinFailures
	if r.member.Domain == t.self.Domain {
		return sinceHeard > t.limits.SuspectAfter || (failing && sinceHeard > t.limits.SuspectFailingAfter)
	}
	return r.reported || (failing && sinceHeard > t.limits.SuspectAfter)
}

func (t *Tracker) liveness(r *record, now time.Time) Liveness {
	switch {
	case r.suspectedAt.IsZero():
		return Alive
	case !r.listed:
		return Dead // neither heard from nor listed
	case now.Sub(r.suspectedAt) <= t.limits.DeadAfter || (!r.reported && r.member.Domain != t.self.Domain):
		return Suspected
	}
	return Dead
}

// Sightings returns up to limit sightings of instances of the own domain to report
// to a peer. Successive pages rotate through all of them.
func (t *Tracker) Sightings(page, limit int, now time.Time) []Sighting {
	names := t.ownDomainNames()
	var list []Sighting
	for n := range min(limit, len(names)) {
		r := t.instances[names[(page*limit+n)%len(names)]]
		list = append(list, Sighting{Name: r.member.Name, Age: now.Sub(r.lastHeard), Leaving: r.leaving})
	}
	return list
}

// Suspicions returns up to limit suspected or dead instances of the own domain, to
// report to instances of other domains.
func (t *Tracker) Suspicions(limit int, now time.Time) []Sighting {
	var list []Sighting
	for _, name := range t.ownDomainNames() {
		r := t.instances[name]
		if !r.suspectedAt.IsZero() && len(list) < limit {
			list = append(list, Sighting{Name: name, Age: now.Sub(r.lastHeard)})
		}
	}
	return list
}

func (t *Tracker) ownDomainNames() []string {
	if t.ownNames != nil {
		return t.ownNames
	}
	t.ownNames = []string{}
	for name, r := range t.instances {
		if r.member.Domain == t.self.Domain {
			t.ownNames = append(t.ownNames, name)
		}
	}
	slices.Sort(t.ownNames)
	return t.ownNames
}

// View returns the current membership.
func (t *Tracker) View(now time.Time) *View {
	v := &View{self: t.self, members: t.members, liveness: map[string]Liveness{}, lastHeard: map[string]time.Time{}}
	v.entries = append(v.entries, t.listedSelf())
	for name, r := range t.instances {
		m := r.member
		m.Leaving = m.Leaving || r.leaving
		v.entries = append(v.entries, m)
		v.liveness[name] = t.liveness(r, now)
		v.lastHeard[name] = r.lastHeard
	}
	slices.SortFunc(v.entries, func(a, b objects.Member) int { return strings.Compare(a.Name, b.Name) })
	return v
}

// listedSelf returns self as listed, since the listed address may be the one that
// others can reach, or the configured self if it is not listed.
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
	t.viewChanged = true
}

// Self returns this instance as reported to peers.
func (t *Tracker) Self() objects.Member { return t.listedSelf() }
