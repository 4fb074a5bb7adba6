package contract

import "time"

const (
	// RecentEntries is how many history entries an accepted bundle carries, so
	// that an apply cut short before its entry was stored loses none.
	RecentEntries = 8
	// MaxChanges bounds the changes that an entry lists.
	MaxChanges = 40
)

// HistoryEntry is one accepted revision in the history.
type HistoryEntry struct {
	Revision Revision  `json:"revision"`
	By       string    `json:"by"`
	At       time.Time `json:"at"` // by the operator's clock, UTC
	// Apply identifies the apply that made the revision.
	Apply   string   `json:"apply"`
	Changes []Change `json:"changes"`
	Omitted int      `json:"omitted,omitempty"` // changes beyond MaxChanges
}

// Next returns the successor of a with bundle in it and an entry that tells what
// it changes.
func (a Accepted) Next(bundle *Bundle, digest, by, apply string, at time.Time) Accepted {
	entry := HistoryEntry{Revision: a.Revision + 1, By: by, At: at.UTC().Truncate(time.Second), Apply: apply, Changes: Diff(&a.Bundle, bundle)}
	if more := len(entry.Changes) - MaxChanges; more > 0 {
		entry.Changes, entry.Omitted = entry.Changes[:MaxChanges], more
	}
	recent := append(append([]HistoryEntry{}, a.Recent...), entry)
	recent = recent[max(0, len(recent)-RecentEntries):]
	return Accepted{Revision: entry.Revision, Digest: digest, By: by, Bundle: *bundle, Recent: recent}
}

// AppliedBy reports whether the apply made a's revision or one of the last
// before it.
func (a Accepted) IncludesApply(apply string) bool {
	for _, e := range a.Recent {
		if e.Apply == apply {
			return true
		}
	}
	return false
}
