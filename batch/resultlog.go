package batch

import (
	"maps"
	"slices"
)

// maxPageBytes limits the encoded size of the results in a page. Callers accept one megabyte.
const maxPageBytes = 700 << 10

// pageOverhead is what a result takes more in a page than in the store, which omits empty fields.
const pageOverhead = len(`"Output":"","Versions":[],`)

// ResultLog holds the known results of one batch: the stored ones at their final
// positions, and the pending ones that are still to be stored. It does no I/O.
type ResultLog struct {
	total      int
	stored     []Result
	chunks     int            // number of stored chunks that were applied
	bytes      int            // size of the stored results
	sizes      map[string]int // encoded sizes of the stored and pending results, by item ID
	storedIDs  map[string]bool
	pending    []Result
	pendingIDs map[string]bool
	chunkBytes int // limit on the encoded size of a chunk of several results
}

// NewResultLog returns an empty log for a batch of total items.
func NewResultLog(total int) *ResultLog {
	return &ResultLog{total: total, sizes: map[string]int{}, storedIDs: map[string]bool{}, pendingIDs: map[string]bool{}, chunkBytes: maxChunkBytes}
}

// clone returns a copy without the pending results.
func (l *ResultLog) clone() *ResultLog {
	return &ResultLog{total: l.total, stored: slices.Clone(l.stored), chunks: l.chunks, bytes: l.bytes, sizes: maps.Clone(l.sizes), storedIDs: maps.Clone(l.storedIDs), pendingIDs: map[string]bool{}, chunkBytes: l.chunkBytes}
}

// Chunks returns the number of stored chunks that were applied, which is also the
// number of the next chunk.
func (l *ResultLog) Chunks() int { return l.chunks }

// Apply appends the results of the next stored chunk, which may come from any writer.
// Items that already have a stored result are skipped.
func (l *ResultLog) Apply(results []Result) {
	l.chunks++
	for _, r := range results {
		if l.storedIDs[r.ID] {
			continue
		}
		l.storedIDs[r.ID], l.sizes[r.ID] = true, encodedSize(r)
		l.stored = append(l.stored, r)
		l.bytes += r.size()
		if l.pendingIDs[r.ID] {
			delete(l.pendingIDs, r.ID)
			l.pending = slices.DeleteFunc(l.pending, func(p Result) bool { return p.ID == r.ID })
		}
	}
}

// Add adds a result to be stored. Only the first result of an item is kept.
func (l *ResultLog) Add(r Result) {
	if l.storedIDs[r.ID] || l.pendingIDs[r.ID] {
		return
	}
	l.pendingIDs[r.ID], l.sizes[r.ID] = true, encodedSize(r)
	l.pending = append(l.pending, r)
}

// HasOutcome reports whether an item has a stored or pending result.
func (l *ResultLog) HasOutcome(id string) bool { return l.storedIDs[id] || l.pendingIDs[id] }

// IsStored reports whether an item has a stored result.
func (l *ResultLog) IsStored(id string) bool { return l.storedIDs[id] }

// NextChunk returns the results for the next chunk, up to the limit on chunks, but at least one
// if any is pending.
func (l *ResultLog) NextChunk() []Result {
	size := 0
	for i := range l.pending {
		size += l.sizes[l.pending[i].ID] + entryOverhead
		if i > 0 && size > l.chunkBytes {
			return slices.Clone(l.pending[:i])
		}
	}
	return slices.Clone(l.pending)
}

// HalveChunks halves the limit on chunks, after the store has rejected one.
func (l *ResultLog) HalveChunks() { l.chunkBytes /= 2 }

// Drop drops results that are still to be stored.
func (l *ResultLog) Drop(results ...Result) {
	dropped := map[string]bool{}
	for _, r := range results {
		dropped[r.ID] = true
		delete(l.pendingIDs, r.ID)
	}
	l.pending = slices.DeleteFunc(l.pending, func(p Result) bool { return dropped[p.ID] })
}

// PendingCount returns the number of results that are still to be stored.
func (l *ResultLog) PendingCount() int { return len(l.pending) }

// StoredCount returns the number of stored results.
func (l *ResultLog) StoredCount() int { return len(l.stored) }

// Complete reports whether all items have a stored result.
func (l *ResultLog) Complete() bool { return len(l.stored) >= l.total }

// Page returns the stored results from position after on, up to maxPageBytes, but at
// least one if there are any.
func (l *ResultLog) Page(after int) Page {
	page := Page{Total: l.total, Next: after}
	size := 0
	for i := after; i >= 0 && i < len(l.stored); i++ {
		size += l.sizes[l.stored[i].ID] + entryOverhead + pageOverhead
		if i > after && size > maxPageBytes {
			break
		}
		page.Results = append(page.Results, l.stored[i])
	}
	page.Next += len(page.Results)
	return page
}
