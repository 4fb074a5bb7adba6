package batch

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pomelocross/pomelocross/cost"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/placement"
	"github.com/pomelocross/pomelocross/roster"
)

// itemState is the state of an item without a result at the owner of its batch.
type itemState struct {
	item      *Item
	text      strings.Builder
	events    int
	lastEvent int64 // ID of the last event; noEvent before the first
	versions  []int64
	running   *attempt // nil while the item is queued
	failures  int      // number of error responses from engines, also at earlier owners
	// savedFailures is the number of them that the next owner will know. awaitsSave is set
	// while the item is not sent because too many would be lost.
	savedFailures int
	awaitsSave    bool
	moves         int    // number of attempts cancelled by checkStragglers
	avoid         string // ID of the upstream of the last unsuccessful attempt
	added         time.Time
	queueTime     time.Duration // from added until the first attempt
	attempts      int
	// whole is set once the text is complete and only the reward is missing. The item is
	// not sent to an engine again.
	whole  bool
	reward rewardState
	// unstorable is set once the text is found to be too large for the store. The item is not sent
	// again, since any text of it would be, and is abandoned when its batch expires.
	unstorable bool
}

// noEvent is the ID of the last event of an item without events.
const noEvent = -1

// attempt is one request for an item at an engine.
type attempt struct {
	upstream     string
	service      string
	started      time.Time
	lastActivity time.Time // time of the last event, or started before the first
	events       int
	cancel       context.CancelCauseFunc
	choice       *placement.Terms // why the engine was chosen; nil for a choice by slots
	predicted    cost.Estimate    // work at the start of the attempt
	// resumedEvents is the number of events that the item had at the start of the attempt.
	resumedEvents int
}

// newItemState returns the state of an item that resumes from partial, or starts from the
// beginning if that is nil.
func newItemState(item *Item, partial *Partial, now time.Time) *itemState {
	s := &itemState{item: item, lastEvent: noEvent, added: now}
	if partial != nil {
		s.text.WriteString(partial.Text)
		s.events, s.lastEvent, s.versions = partial.Events, partial.Last, slices.Clone(partial.Versions)
		s.failures, s.savedFailures = partial.Failures, partial.Failures
		if partial.Whole && item.Reward != nil {
			s.awaitReward(now)
		}
	}
	return s
}

func (s *itemState) partial() Partial {
	return Partial{Last: s.lastEvent, Events: s.events, Text: s.text.String(), Versions: slices.Clone(s.versions), Whole: s.whole, Failures: s.failures}
}

// mayFailAgain reports whether the item may be sent although its next owner would not know of
// all its failures if this one crashed now. allowed is the number of failures that may be lost.
func (s *itemState) mayFailAgain(allowed int) bool {
	s.awaitsSave = s.failures-s.savedFailures >= allowed
	return !s.awaitsSave
}

// generating reports whether the item still needs an engine.
func (s *itemState) generating() bool { return !s.whole && !s.unstorable }

// queued reports whether the item waits for an engine.
func (s *itemState) queued() bool { return s.running == nil && s.generating() }

// memory returns the KV cache memory, in tokens, that the item needs on its next engine.
func (s *itemState) memory() roster.Memory {
	generated := s.events * eventTokens
	return roster.Memory{Held: s.item.Prompt + generated, Growth: max(s.item.Expected()-generated, generated/4)}
}

// discardText deletes the generated text because its weight versions are not acceptable.
func (s *itemState) discardText() {
	s.text.Reset()
	s.events, s.lastEvent, s.versions, s.whole = 0, noEvent, nil, false
}

// appendEvent appends the data of an event that was generated with a weight version.
func (s *itemState) appendEvent(data string, id, version int64) {
	if s.events > 0 {
		s.text.WriteByte('\n')
	}
	s.text.WriteString(data)
	s.events++
	s.lastEvent = id
	if !slices.Contains(s.versions, version) {
		s.versions = append(s.versions, version)
	}
}

func (s *itemState) result() Result {
	versions := slices.Clone(s.versions)
	slices.Sort(versions)
	return Result{ID: s.item.ID, State: Complete, Text: s.text.String(), Versions: versions, Reward: s.reward.value}
}

// job is a batch that this instance runs. It is guarded by Runner.mu, except for id, sub,
// due and flush, which do not change.
type job struct {
	id         string // of the batch
	head       Stored
	sub        *Submission
	results    *ResultLog
	items      map[string]*itemState // items without a result, by ID
	due        time.Time             // deadline for the results
	expires    time.Time             // when unfinished items may be abandoned
	ended      bool
	superseded bool // another instance has become the owner
	// verifiedAt is when the store was last known to have no chunks beyond those in
	// results.
	verifiedAt time.Time
	changed    chan struct{} // closed and replaced when results are stored or the job ends
	flush      chan struct{} // wakes the goroutine that writes chunks
	endedAt    time.Time
	// progressVersion is the version of the last stored checkpoint, progressSavedAt
	// when the last checkpoint was started.
	progressVersion objects.Version
	progressSavedAt time.Time
	// confirmedAt is the start of the last call to the store that showed the head to be
	// open and owned by this instance; zero if there was none.
	confirmedAt     time.Time
	untrustedSince  time.Time // when work was first held back because of confirmedAt; zero if none is
	untrustedLogged bool
	confirming      bool      // a read of the head is in progress
	confirmAfter    time.Time // no read of the head starts before, after one that failed
	routeEndLogged  bool
}

// bytes returns the memory that the bodies and results take.
func (j *job) bytes() int { return j.results.bytes + j.sub.bytes() }

// Limits are the time limits of a batch, relative to the current time.
type Limits struct {
	Due    time.Duration // time until the results are due
	MaxAge time.Duration // time until unfinished items may be abandoned
}

// newJob returns the job of a batch. partialOf returns the text from which an item resumes,
// or nil.
func newJob(h Stored, s *Submission, results *ResultLog, partialOf func(*Item) *Partial, limits Limits, now time.Time) *job {
	j := &job{
		id: h.ID, head: h, sub: s, results: results, items: map[string]*itemState{}, due: now.Add(limits.Due), expires: now.Add(limits.MaxAge), ended: h.Ended,
		verifiedAt: now, changed: make(chan struct{}), flush: make(chan struct{}, 1), confirmedAt: h.readAt,
	}
	if j.ended {
		j.endedAt = now
		return j
	}
	for i := range s.Items {
		item := &s.Items[i]
		if !results.IsStored(item.ID) {
			j.items[item.ID] = newItemState(item, partialOf(item), now)
		}
	}
	return j
}

// open reports whether the job still runs items on this instance.
func (j *job) open() bool { return !j.ended && !j.superseded }

// fullyStored reports whether the job has ended and has no results left to store.
func (j *job) fullyStored() bool { return j.ended && j.results.PendingCount() == 0 }

// notifyReaders wakes all readers that wait for results.
func (j *job) notifyReaders() {
	close(j.changed)
	j.changed = make(chan struct{})
}

func (j *job) wakeWriter() {
	select {
	case j.flush <- struct{}{}:
	default:
	}
}

// recordResult records the result of an item and schedules it to be stored.
func (j *job) recordResult(r Result) {
	delete(j.items, r.ID)
	j.results.Add(r)
	j.wakeWriter()
}

// abandonText deletes the text of an item because the store can't hold it.
func (s *itemState) abandonText() {
	s.discardText()
	s.unstorable = true
}

// cancelAttempts cancels all running attempts and reward calls with a cause.
func (j *job) cancelAttempts(cause error) {
	for _, s := range j.items {
		s.cancel(cause)
	}
}

// cancel cancels the running attempt or reward call of the item, if any.
func (s *itemState) cancel(cause error) {
	if s.running != nil {
		s.running.cancel(cause)
	}
	if s.reward.cancel != nil {
		s.reward.cancel(cause)
	}
}

// end marks the job as ended and cancels its running attempts.
func (j *job) end(now time.Time) {
	if j.ended {
		return
	}
	j.ended, j.endedAt = true, now
	j.cancelAttempts(errEnded)
	j.notifyReaders()
	j.wakeWriter()
}

// desiredGroupsDone reports whether the pending results complete the last of the groups
// that the trainer waits for. Such results are stored without delay.
func (j *job) desiredGroupsDone() bool {
	open := map[string]bool{}     // whether a group has items without a result
	unstored := map[string]bool{} // whether a group has items whose result is not stored
	for i := range j.sub.Items {
		item := &j.sub.Items[i]
		open[item.Group] = open[item.Group] || !j.results.HasOutcome(item.ID)
		unstored[item.Group] = unstored[item.Group] || !j.results.IsStored(item.ID)
	}
	return countFalse(open) >= j.sub.Desired && countFalse(unstored) < j.sub.Desired
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

// orderState returns the state of the job's groups, which determines the order of its
// items. resubmitted reports whether a group was part of an earlier batch.
func (j *job) orderState(resubmitted func(group string) bool) BatchState {
	s := BatchState{Desired: j.sub.Desired}
	index := map[string]int{}
	for i := range j.sub.Items {
		item := &j.sub.Items[i]
		state := j.items[item.ID]
		n, ok := index[item.Group]
		if !ok {
			n = len(s.Groups)
			index[item.Group] = n
			s.Groups = append(s.Groups, GroupState{Name: item.Group, Resubmitted: resubmitted(item.Group)})
		}
		if state == nil {
			continue
		}
		g := &s.Groups[n]
		g.Open++
		if !state.generating() {
			continue
		}
		g.TotalTokens += item.Expected()
		g.MaxTokens = max(g.MaxTokens, item.Expected())
	}
	return s
}
