package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Record is the shared form of a suspicion.
type Record struct {
	Engines []Engine `json:"engines"` // that crashed while they ran the request
	LastMs  int64    `json:"last"`    // Unix time of the last crash, in milliseconds
	// Alone reports whether an engine crashed to which the request was sent apart from
	// other suspected ones.
	Alone bool `json:"alone"`
	// Host, Path and Team describe the request to operators.
	Host string `json:"host"`
	Path string `json:"path"`
	Team string `json:"team"`
}

// Apply replaces what is known to be stored for a digest; nil means that no record is
// stored. It returns the standing before and after.
func (l *List) Apply(d Digest, stored *Record, now time.Time) (before, after Standing) {
	before = l.Standing(d, now)
	l.apply(d, stored)
	return before, l.Standing(d, now)
}

func (l *List) apply(d Digest, stored *Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[d]
	if stored == nil {
		switch {
		case e == nil:
		case len(e.own) == 0:
			l.remove(d)
		default:
			e.shared, e.cleared = nil, false
			l.assess(d, e)
		}
		return
	}
	if e == nil {
		l.makeRoom()
		e = &entry{own: map[Engine]bool{}}
		l.entries[d] = e
		l.size.Store(int64(len(l.entries)))
	}
	e.about = Record{Host: stored.Host, Path: stored.Path, Team: stored.Team, Alone: e.about.Alone || stored.Alone}
	if last := time.UnixMilli(stored.LastMs); last.After(e.last) {
		e.last = last
	}
	e.shared = map[Engine]bool{}
	for _, engine := range stored.Engines {
		e.shared[engine] = true
		delete(e.own, engine)
	}
	l.assess(d, e)
}

// Saved records that this instance has written a record; nil means that it deleted it.
func (l *List) Saved(d Digest, record *Record) {
	l.mu.Lock()
	if e := l.entries[d]; e != nil {
		e.cleared = false
	}
	l.mu.Unlock()
	l.apply(d, record)
}

// Change is what must be written to the store for a digest.
type Change int

// Changes.
const (
	NoChange Change = iota
	Put
	Delete
)

// Unwritten returns what must be written for a digest whose stored record is stored, nil if
// none is.
func (l *List) Unwritten(d Digest, stored *Record) (Record, Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[d]
	if e == nil {
		return Record{}, NoChange
	}
	engines := map[Engine]bool{}
	if stored != nil && !e.cleared {
		for _, engine := range stored.Engines {
			if _, revoked := l.revoked[engine]; !revoked {
				engines[engine] = true
			}
		}
	}
	maps.Copy(engines, e.own)
	switch {
	case len(engines) == 0 && stored == nil:
		return Record{}, NoChange
	case len(engines) == 0:
		return Record{}, Delete
	case stored != nil && len(engines) == len(stored.Engines) && len(e.own) == 0 && !e.cleared:
		return Record{}, NoChange
	}
	record := e.about
	record.LastMs = e.last.UnixMilli()
	record.Engines = slices.SortedFunc(maps.Keys(engines), func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Started, b.Started))
	})
	return record, Put
}
