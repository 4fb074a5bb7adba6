package batch

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/roster"
)

// itemState is an item without a result, as its owner sees it.
type itemState struct {
	item     *Item
	text     strings.Builder
	events   int
	last     int64 // id of the last event; -1 before the first
	versions []int64
	running  *run // nil while it waits
	failures int  // answers that the engine failed
	moves    int
	avoid    string // upstream that it was moved away from
	added    time.Time
	waited   time.Duration // until it was first sent
	sendings int
}

// run is one sending of an item to an engine.
type run struct {
	upstream string
	service  string
	begun    time.Time
	sign     time.Time // of the newest event, or begun
	events   int
	cancel   context.CancelCauseFunc
}

func newItemState(item *Item, kept *Partial, now time.Time) *itemState {
	s := &itemState{item: item, last: -1, added: now}
	if kept != nil {
		s.text.WriteString(kept.Text)
		s.events, s.last, s.versions = kept.Events, kept.Last, slices.Clone(kept.Versions)
	}
	return s
}

func (s *itemState) partial() Partial {
	return Partial{Last: s.last, Events: s.events, Text: s.text.String(), Versions: slices.Clone(s.versions)}
}

// memory returns what the item takes at the engine that it is sent to next.
func (s *itemState) memory() roster.Memory {
	made := s.events * eventTokens
	return roster.Memory{Held: s.item.Prompt + made, Growth: max(s.item.Expected()-made, made/4)}
}

// restart drops the text, whose versions no longer fit.
func (s *itemState) restart() {
	s.text.Reset()
	s.events, s.last, s.versions = 0, -1, nil
}

// add appends an event made under a version.
func (s *itemState) add(data string, id, version int64) {
	if s.events > 0 {
		s.text.WriteByte('\n')
	}
	s.text.WriteString(data)
	s.events++
	s.last = id
	if !slices.Contains(s.versions, version) {
		s.versions = append(s.versions, version)
	}
}

func (s *itemState) result() Result {
	versions := slices.Clone(s.versions)
	slices.Sort(versions)
	return Result{ID: s.item.ID, State: Complete, Text: s.text.String(), Versions: versions}
}

// job is a batch that this instance runs. The runner's lock guards it.
type job struct {
	head    Stored
	sub     *Submission
	ledger  *Ledger
	items   map[string]*itemState // without a result
	due     time.Time             // when the results are wanted
	expires time.Time             // when items may be given up
	ended   bool
	lost    bool // another instance runs it
	// sure is when the store last confirmed that it has no results but those in
	// ledger.
	sure    time.Time
	changed chan struct{} // closed and replaced when results were stored or the job ends
	flush   chan struct{} // wakes the writer of chunks
	endedAt time.Time
	// saved is the version of the stored texts of unfinished items, savedAt when
	// they were stored.
	saved   objects.Version
	savedAt time.Time
}

// Limits bound a batch in time, from now on.
type Limits struct {
	Due    time.Duration // until its results are wanted
	MaxAge time.Duration // until its items may be given up
}

func newJob(h Stored, s *Submission, l *Ledger, kept func(*Item) *Partial, limits Limits, now time.Time) *job {
	j := &job{
		head: h, sub: s, ledger: l, items: map[string]*itemState{}, due: now.Add(limits.Due), expires: now.Add(limits.MaxAge), ended: h.Ended,
		sure: now, changed: make(chan struct{}), flush: make(chan struct{}, 1),
	}
	if j.ended {
		j.endedAt = now
		return j
	}
	for i := range s.Items {
		item := &s.Items[i]
		if !l.Listed(item.ID) {
			j.items[item.ID] = newItemState(item, kept(item), now)
		}
	}
	return j
}

// open reports whether the job still runs items here.
func (j *job) open() bool { return !j.ended && !j.lost }

// settled reports whether the job has ended with all its results stored.
func (j *job) settled() bool { return j.ended && j.ledger.Pending() == 0 }

// announce wakes all that wait for results.
func (j *job) announce() {
	close(j.changed)
	j.changed = make(chan struct{})
}

func (j *job) wakeWriter() {
	select {
	case j.flush <- struct{}{}:
	default:
	}
}

// finish notes an item's outcome.
func (j *job) finish(r Result) {
	delete(j.items, r.ID)
	j.ledger.Add(r)
	j.wakeWriter()
}

// stop cancels all runs with a cause.
func (j *job) stop(cause error) {
	for _, s := range j.items {
		if s.running != nil {
			s.running.cancel(cause)
		}
	}
}

// end closes the job: nothing more of it runs.
func (j *job) end(now time.Time) {
	if j.ended {
		return
	}
	j.ended, j.endedAt = true, now
	j.stop(errEnded)
	j.announce()
	j.wakeWriter()
}

// flushNow reports whether pending results make groups whole that the trainer
// still waits for, as many as it needs.
func (j *job) flushNow() bool {
	open := map[string]bool{}   // groups with items without an outcome
	listed := map[string]bool{} // groups with items that are not listed yet
	for i := range j.sub.Items {
		item := &j.sub.Items[i]
		open[item.Group] = open[item.Group] || !j.ledger.Known(item.ID)
		listed[item.Group] = listed[item.Group] || !j.ledger.Listed(item.ID)
	}
	return countFalse(open) >= j.sub.Desired && countFalse(listed) < j.sub.Desired
}

func countFalse(m map[string]bool) int {
	n := 0
	for _, v := range m {
		if !v {
			n++
		}
	}
	return n
}

// standing returns what the order of the job's items depends on.
func (j *job) standing(first func(group string) bool) Standing {
	s := Standing{Desired: j.sub.Desired}
	at := map[string]int{}
	for i := range j.sub.Items {
		item := &j.sub.Items[i]
		state := j.items[item.ID]
		n, ok := at[item.Group]
		if !ok {
			n = len(s.Groups)
			at[item.Group] = n
			s.Groups = append(s.Groups, GroupStanding{Name: item.Group, First: first(item.Group)})
		}
		if state == nil {
			continue
		}
		g := &s.Groups[n]
		g.Open++
		g.Cost += item.Expected()
		g.Longest = max(g.Longest, item.Expected())
	}
	return s
}
