package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Engine is one incarnation of an engine.
type Engine struct {
	ID      string `json:"id"`
	Started int64  `json:"started"` // Unix time in milliseconds
}

// Standing is what is known about the requests of a digest.
type Standing int

// Standings.
const (
	// Unsuspected requests are sent like any other.
	Unsuspected Standing = iota
	// Suspected requests were at an engine when it crashed. They are sent to one engine
	// at a time, and away from other suspected ones.
	Suspected
	// Quarantined requests are rejected.
	Quarantined
)

// String returns the standing's name.
func (s Standing) String() string { return [...]string{"unsuspected", "suspected", "quarantined"}[s] }

// crashLimit is the number of crashed engines from which a request is quarantined. An
// unrelated failure may crash two engines that run the same request, its first attempt
// and its retry or hedge.
const crashLimit = 3

// entry is the local state of a digest.
type entry struct {
	about   Record          // without Engines
	shared  map[Engine]bool // as stored
	own     map[Engine]bool // not stored yet
	cleared bool            // the stored record is to be deleted
	held    bool            // is quarantined
	last    time.Time
}

// engines returns the engines that crashed while they ran the request.
func (e *entry) engines() map[Engine]bool {
	if e.cleared {
		return e.own
	}
	all := maps.Clone(e.shared)
	if all == nil {
		all = map[Engine]bool{}
	}
	maps.Copy(all, e.own)
	return all
}

// List holds the suspicions that an instance knows: those of the shared store and its
// own ones that are not stored yet.
type List struct {
	lifetime time.Duration // of a suspicion after the last crash
	capacity int
	size     atomic.Int64

	mu      sync.Mutex // guards all below
	entries map[Digest]*entry
	// revoked holds engines that turned out not to have crashed, with the time at which
	// this is forgotten.
	revoked map[Engine]time.Time
}

// NewList returns an empty list whose suspicions last for lifetime after the last crash.
// Beyond capacity the oldest ones are dropped, those of quarantined requests last.
func NewList(lifetime time.Duration, capacity int) *List {
	return &List{lifetime: lifetime, capacity: capacity, entries: map[Digest]*entry{}, revoked: map[Engine]time.Time{}}
}

// Empty reports whether there are no suspicions. It is cheap, so that requests need no
// digest as long as no engine crashes.
func (l *List) Empty() bool { return l.size.Load() == 0 }

// Standing returns the standing of a digest.
func (l *List) Standing(d Digest, now time.Time) Standing {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[d]
	switch {
	case e == nil || now.Sub(e.last) > l.lifetime:
		return Unsuspected
	case e.held:
		return Quarantined
	case l.unexplained(d, e) > 0:
		return Suspected
	}
	return Unsuspected
}

// unexplained returns the number of crashes of a digest that no other, quarantined
// request accounts for. The caller holds mu.
//
// Load pattern: an engine runs many requests of which one crashes it, and those that ran
// beside it are repeated on engines that the same request crashes next.
func (l *List) unexplained(d Digest, e *entry) int {
	engines := e.engines()
	for other, o := range l.entries {
		if other == d || !o.held {
			continue
		}
		for engine := range o.engines() {
			delete(engines, engine)
		}
	}
	return len(engines)
}

// Blame records that an engine crashed while it ran a request. It returns the number of
// engines that the request has crashed; about describes the request.
func (l *List) Blame(d Digest, engine Engine, about Record, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.revoked[engine].After(now) {
		return 0
	}
	e := l.entries[d]
	if e == nil {
		l.makeRoom()
		e = &entry{own: map[Engine]bool{}}
		l.entries[d] = e
		l.size.Store(int64(len(l.entries)))
	}
	about.Engines, about.Alone = nil, about.Alone || e.about.Alone
	e.about, e.last = about, now
	if !e.shared[engine] || e.cleared {
		e.own[engine] = true
	}
	l.assess(d, e)
	return len(e.engines())
}

// assess quarantines a digest or lifts its quarantine. The caller holds mu.
//
// Load pattern: a loss of several engines at one moment breaks off requests of the same
// content at each of them. Only a crash of an engine that got the request as a suspected
// one shows that it is the request that crashes engines.
func (l *List) assess(d Digest, e *entry) {
	if e.held {
		e.held = e.about.Alone && len(e.engines()) >= crashLimit
		return
	}
	e.held = e.about.Alone && l.unexplained(d, e) >= crashLimit
}

// makeRoom drops the least important suspicion of a full list. The caller holds mu.
func (l *List) makeRoom() {
	if len(l.entries) < l.capacity {
		return
	}
	rank := func(d Digest) int {
		if l.entries[d].held {
			return 1
		}
		return 0
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(l.entries)), func(a, b Digest) int {
		return cmp.Or(rank(a)-rank(b), l.entries[a].last.Compare(l.entries[b].last))
	})
	l.remove(oldest)
}

// remove drops a digest. The caller holds mu.
func (l *List) remove(d Digest) {
	delete(l.entries, d)
	l.size.Store(int64(len(l.entries)))
}

// Clear removes the suspicion of a request that ran to its end. It reports whether there
// was one, and whether its stored record must be deleted.
func (l *List) Clear(d Digest) (cleared, stored bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[d]
	if e == nil || e.cleared && len(e.own) == 0 {
		return false, false
	}
	if len(e.shared) == 0 {
		l.remove(d)
		return true, false
	}
	e.cleared, e.held, e.own, e.about.Alone = true, false, map[Engine]bool{}, false
	return true, true
}

// Revoke removes an engine from all suspicions, because it has not crashed. It returns
// the digests whose stored record must be written.
func (l *List) Revoke(engine Engine, now time.Time) []Digest {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.revoked, func(_ Engine, until time.Time) bool { return until.Before(now) })
	l.revoked[engine] = now.Add(l.lifetime)
	var changed []Digest
	for d, e := range l.entries {
		stored := e.shared[engine]
		if !stored && !e.own[engine] {
			continue
		}
		delete(e.own, engine)
		delete(e.shared, engine)
		l.assess(d, e)
		switch {
		case stored:
			changed = append(changed, d)
		case len(e.own) == 0 && len(e.shared) == 0:
			l.remove(d)
		}
	}
	return changed
}

// Expired returns the digests whose lifetime ended more than the time late ago.
func (l *List) Expired(now time.Time, late time.Duration) []Digest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Digest
	for d, e := range l.entries {
		if now.Sub(e.last) > l.lifetime+late {
			list = append(list, d)
		}
	}
	return list
}
