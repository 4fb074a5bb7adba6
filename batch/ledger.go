package batch

import (
	"maps"
	"slices"
)

// maxPageBytes bounds the texts of a page, below the megabyte that callers
// accept, since encoding adds to them.
const maxPageBytes = 700 << 10

// maxChunkBytes bounds the texts of a chunk below the largest stored value.
const maxChunkBytes = 600 << 10

// Ledger is what is known of the results of one batch: the stored ones, in
// their final positions, and those still to be stored. It does no I/O.
type Ledger struct {
	total   int
	stored  []Result
	chunks  int // stored chunks applied
	bytes   int // of stored texts
	listed  map[string]bool
	pending []Result
	waiting map[string]bool // ids in pending
}

// NewLedger returns the ledger of a batch of total items.
func NewLedger(total int) *Ledger {
	return &Ledger{total: total, listed: map[string]bool{}, waiting: map[string]bool{}}
}

// clone returns a copy of the stored part.
func (l *Ledger) clone() *Ledger {
	return &Ledger{total: l.total, stored: slices.Clone(l.stored), chunks: l.chunks, bytes: l.bytes, listed: maps.Clone(l.listed), waiting: map[string]bool{}}
}

// Chunks returns how many stored chunks were applied; it is the number of the
// next one.
func (l *Ledger) Chunks() int { return l.chunks }

// Apply takes in the next stored chunk, whoever wrote it.
func (l *Ledger) Apply(results []Result) {
	l.chunks++
	for _, r := range results {
		if l.listed[r.ID] {
			continue
		}
		l.listed[r.ID] = true
		l.stored = append(l.stored, r)
		l.bytes += r.size()
		if l.waiting[r.ID] {
			delete(l.waiting, r.ID)
			l.pending = slices.DeleteFunc(l.pending, func(p Result) bool { return p.ID == r.ID })
		}
	}
}

// Add notes an outcome to be stored. The first one of an item counts.
func (l *Ledger) Add(r Result) {
	if l.listed[r.ID] || l.waiting[r.ID] {
		return
	}
	l.waiting[r.ID] = true
	l.pending = append(l.pending, r)
}

// Known reports whether an item has an outcome, stored or not.
func (l *Ledger) Known(id string) bool { return l.listed[id] || l.waiting[id] }

// Listed reports whether an item's outcome is stored.
func (l *Ledger) Listed(id string) bool { return l.listed[id] }

// Next returns the results for the next chunk, none when nothing is pending.
func (l *Ledger) Next() []Result {
	size := 0
	for i := range l.pending {
		size += l.pending[i].size()
		if i > 0 && size > maxChunkBytes {
			return slices.Clone(l.pending[:i])
		}
	}
	return slices.Clone(l.pending)
}

// Pending returns how many outcomes are to be stored.
func (l *Ledger) Pending() int { return len(l.pending) }

// Stored returns how many results are final.
func (l *Ledger) Stored() int { return len(l.stored) }

// Whole reports whether all items have a stored result.
func (l *Ledger) Whole() bool { return len(l.stored) >= l.total }

// Page returns the final results from a position on, at least one if there is.
func (l *Ledger) Page(after int) Page {
	page := Page{Total: l.total, Next: after}
	size := 0
	for i := after; i >= 0 && i < len(l.stored); i++ {
		size += l.stored[i].size()
		if i > after && size > maxPageBytes {
			break
		}
		page.Results = append(page.Results, l.stored[i])
	}
	page.Next += len(page.Results)
	return page
}
