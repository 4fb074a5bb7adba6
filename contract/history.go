package contract

import "time"

const (
	// RecentEntries is the number of history entries stored with an accepted bundle.
	// They preserve the entry of an apply that was interrupted before it stored its
	// entry in the history.
	RecentEntries = 8
	// MaxChanges is the maximum number of changes in a history entry.
	MaxChanges = 40
)

// HistoryEntry describes one accepted revision.
type HistoryEntry struct {
	Revision Revision  `json:"revision"`
	By       string    `json:"by"`
	At       time.Time `json:"at"` // UTC, by the operator's clock, in whole seconds
	// Apply is the ID of the apply operation that created the revision.
	Apply   string   `json:"apply"`
	Changes []Change `json:"changes"`
	Omitted int      `json:"omitted,omitempty"` // number of changes left out because of MaxChanges
}

// Next returns the next revision after a. It holds bundle and a history entry with
// the changes from a's bundle.
func (a Accepted) Next(bundle *Bundle, digest, by, applyID string, at time.Time) Accepted {
	entry := HistoryEntry{Revision: a.Revision + 1, By: by, At: at.UTC().Truncate(time.Second), Apply: applyID, Changes: Diff(&a.Bundle, bundle)}
	if excess := len(entry.Changes) - MaxChanges; excess > 0 {
		entry.Changes, entry.Omitted = entry.Changes[:MaxChanges], excess
	}
	recent := append(append([]HistoryEntry{}, a.Recent...), entry)
	recent = recent[max(0, len(recent)-RecentEntries):]
	return Accepted{Revision: entry.Revision, Digest: digest, By: by, Bundle: *bundle, Recent: recent}
}

// IncludesApply reports whether the apply operation created any of the last
// RecentEntries revisions up to and including a's.
func (a Accepted) IncludesApply(applyID string) bool {
	for _, e := range a.Recent {
		if e.Apply == applyID {
			return true
		}
	}
	return false
}
