package idempotency

import (
	"container/list"
	"time"
)

// entryOverheadBytes estimates the memory of a record besides its key and response.
const entryOverheadBytes = 512

// Table stores records by key, with limits on their number, size and age. It never
// evicts a record before it expires; a full table rejects new records. It does no I/O,
// does not read the clock and is not safe for concurrent use.
type Table struct {
	limits  Limits
	entries map[Key]*entry
	bytes   int        // estimated memory of all records
	running *list.List // *entry, oldest first
	settled *list.List // *entry, oldest first
}

type entry struct {
	key     Key
	record  Record
	expires time.Time
	element *list.Element
	changed chan struct{} // closed when the record changes
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, entries: map[Key]*entry{}, running: list.New(), settled: list.New()}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.entries) }

// Bytes returns the estimated memory of the records in bytes.
func (t *Table) Bytes() int { return t.bytes }

// Claim adds a Running record unless the key already has a record. If it has one,
// Claim returns that record and exists is true. If the table is full, exists and added
// are both false.
func (t *Table) Claim(now time.Time, key Key, record Record) (found Record, exists, added bool) {
	t.expire(now)
	if e := t.entries[key]; e != nil {
		return e.record, true, false
	}
	if len(t.entries) >= t.limits.MaxEntries || t.bytes >= t.limits.MaxBytes {
		return Record{}, false, false
	}
	record.State = Running
	e := &entry{key: key, record: record, expires: now.Add(t.limits.RunningTTL), changed: make(chan struct{})}
	t.insert(e)
	return record, false, true
}

// Import adds a record of another holder. It does not replace a settled record or one
// of another run.
func (t *Table) Import(now time.Time, key Key, record Record) {
	t.expire(now)
	e := t.entries[key]
	if e == nil {
		e = &entry{key: key, record: record, expires: now.Add(t.limits.RunningTTL), changed: make(chan struct{})}
		e.record.State, e.record.Answer = Running, Answer{}
		t.insert(e)
	}
	t.Settle(now, key, record)
}

// Settle records the outcome of a run; NotRun removes the record. It does nothing if
// the record belongs to another run or is already settled.
func (t *Table) Settle(now time.Time, key Key, record Record) {
	e := t.entries[key]
	if e == nil || e.record.Run != record.Run || e.record.State != Running || record.State == Running {
		return
	}
	if record.State == NotRun {
		t.remove(e)
		return
	}
	if record.Answer.size() > t.limits.MaxAnswerBytes {
		record.Answer, record.Kept = Answer{}, false
	}
	t.bytes += record.Answer.size()
	e.record.State, e.record.Answer, e.record.Kept = record.State, record.Answer, record.Kept
	t.running.Remove(e.element)
	e.element = t.settled.PushBack(e)
	e.expires = now.Add(t.limits.SettledTTL)
	close(e.changed)
	e.changed = make(chan struct{})
}

// Lookup returns the record of a key and a channel that is closed when the record
// changes.
func (t *Table) Lookup(now time.Time, key Key) (Record, <-chan struct{}, bool) {
	t.expire(now)
	e := t.entries[key]
	if e == nil {
		return Record{}, nil, false
	}
	return e.record, e.changed, true
}

// Each calls visit for each record.
func (t *Table) Each(visit func(Key, Record)) {
	for key, e := range t.entries {
		visit(key, e.record)
	}
}

// insert adds an entry in state Running.
func (t *Table) insert(e *entry) {
	t.entries[e.key] = e
	t.bytes += entryOverheadBytes + len(e.key.Team) + len(e.key.Value)
	e.element = t.running.PushBack(e)
}

func (t *Table) remove(e *entry) {
	delete(t.entries, e.key)
	t.bytes -= entryOverheadBytes + len(e.key.Team) + len(e.key.Value) + e.record.Answer.size()
	if e.record.State == Running {
		t.running.Remove(e.element)
	} else {
		t.settled.Remove(e.element)
	}
	close(e.changed)
}

// expire removes expired records. Both lists are sorted by expiry.
func (t *Table) expire(now time.Time) {
	for _, entries := range []*list.List{t.running, t.settled} {
		for first := entries.Front(); first != nil && now.After(first.Value.(*entry).expires); first = entries.Front() {
			t.remove(first.Value.(*entry))
		}
	}
}
