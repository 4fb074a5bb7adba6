package idempotency

import (
	"container/list"
	"time"
)

// entryBytes is what a record costs besides its key and answer.
const entryBytes = 512

// Table keeps records by key, bounded in number, size and age. It never drops
// one before its time: when it is full it takes no more. It does no I/O, reads
// no clock and is not safe for concurrent use.
type Table struct {
	limits  Limits
	entries map[Key]*entry
	bytes   int
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

// Bytes returns an estimate of the memory that the records take.
func (t *Table) Bytes() int { return t.bytes }

// Claim records a running request unless the key has a record, which it then
// returns. It returns false, false when the table is full.
func (t *Table) Claim(now time.Time, key Key, record Record) (found Record, has, ok bool) {
	t.expire(now)
	if e := t.entries[key]; e != nil {
		return e.record, true, false
	}
	if len(t.entries) >= t.limits.Entries || t.bytes >= t.limits.Bytes {
		return Record{}, false, false
	}
	record.State = Running
	e := &entry{key: key, record: record, expires: now.Add(t.limits.Running), changed: make(chan struct{})}
	t.insert(e)
	return record, false, true
}

// Import stores a record of another holder unless the key has a settled one.
func (t *Table) Import(now time.Time, key Key, record Record) {
	t.expire(now)
	e := t.entries[key]
	if e == nil {
		e = &entry{key: key, record: record, expires: now.Add(t.limits.Running), changed: make(chan struct{})}
		e.record.State, e.record.Answer = Running, Answer{}
		t.insert(e)
	}
	t.Settle(now, key, record)
}

// Settle sets what became of a run. A record of another run is left alone, and
// so is one that is settled.
func (t *Table) Settle(now time.Time, key Key, record Record) {
	e := t.entries[key]
	if e == nil || e.record.Run != record.Run || e.record.State != Running || record.State == Running {
		return
	}
	if record.State == NotRun {
		t.remove(e)
		return
	}
	if record.Answer.size() > t.limits.AnswerBytes {
		record.Answer, record.Kept = Answer{}, false
	}
	t.bytes += record.Answer.size()
	e.record.State, e.record.Answer, e.record.Kept = record.State, record.Answer, record.Kept
	t.running.Remove(e.element)
	e.element = t.settled.PushBack(e)
	e.expires = now.Add(t.limits.Settled)
	close(e.changed)
	e.changed = make(chan struct{})
}

// Lookup returns the record of a key and a channel that is closed when it
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

func (t *Table) insert(e *entry) {
	t.entries[e.key] = e
	t.bytes += entryBytes + len(e.key.Team) + len(e.key.Value)
	e.element = t.running.PushBack(e)
}

func (t *Table) remove(e *entry) {
	delete(t.entries, e.key)
	t.bytes -= entryBytes + len(e.key.Team) + len(e.key.Value) + e.record.Answer.size()
	if e.record.State == Running {
		t.running.Remove(e.element)
	} else {
		t.settled.Remove(e.element)
	}
	close(e.changed)
}

// expire drops records whose time is over. Both lists are in order of expiry.
func (t *Table) expire(now time.Time) {
	for _, all := range []*list.List{t.running, t.settled} {
		for first := all.Front(); first != nil && now.After(first.Value.(*entry).expires); first = all.Front() {
			t.remove(first.Value.(*entry))
		}
	}
}
