package room

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Inbox holds the last report of each other owner. It is not safe for concurrent use.
type Inbox struct {
	owners map[string]*received // by name
}

// NewInbox returns an Inbox without reports.
func NewInbox() *Inbox { return &Inbox{owners: map[string]*received{}} }

// received is the last report of an owner.
type received struct {
	report Report
	at     time.Time // when its content was current, by the clock of this instance
	offset offset
}

// offset estimates the difference between the clocks of this instance and an owner as the
// smallest one of its recent reports, which includes the shortest time on the network.
type offset struct {
	smallest, previous time.Duration // of the current and the previous window
	began              time.Time     // begin of the current window
}

// offsetWindow is how long an observed difference holds at least. The clock of an owner may
// drift, or step when its machine resumes.
const offsetWindow = 3 * time.Second

// observe adds the difference that a report has shown and returns the estimate.
func (o *offset) observe(difference time.Duration, now time.Time) time.Duration {
	switch {
	case o.began.IsZero():
		o.smallest, o.previous, o.began = difference, difference, now
	case now.Sub(o.began) > offsetWindow:
		o.smallest, o.previous, o.began = difference, o.smallest, now
	default:
		o.smallest = min(o.smallest, difference)
	}
	return min(o.smallest, o.previous)
}

const (
	// MaxAge is how long a report is taken into account.
	MaxAge = time.Second
	// forgetAfter is how long an owner that reports nothing still gets reports. Steps of a
	// trainer follow each other within seconds.
	forgetAfter = 10 * time.Second
	// maxOwners bounds the owners whose reports are kept.
	maxOwners = 64
)

// Apply records a report that arrived at now. It returns when the content of the report was
// current, and false if the report is not newer than the last one or too old to be used.
//
// Load pattern: reports come each 200 ms. One that was held up on the way, or whose receiver
// was paused, arrives late beside newer ones.
func (b *Inbox) Apply(r Report, now time.Time) (at time.Time, ok bool) {
	b.forget(now)
	last := b.owners[r.From]
	if last != nil && last.report.Incarnation == r.Incarnation && r.Sequence <= last.report.Sequence {
		return time.Time{}, false
	}
	if last == nil && len(b.owners) >= maxOwners {
		return time.Time{}, false
	}
	entry := &received{report: r}
	if last != nil && last.report.Incarnation == r.Incarnation {
		entry.offset = last.offset
	}
	difference := time.Duration(now.UnixNano()) - r.Sent
	entry.at = now.Add(entry.offset.observe(difference, now) - difference)
	b.owners[r.From] = entry
	return entry.at, now.Sub(entry.at) <= MaxAge
}

// forget removes owners that have reported nothing for long.
func (b *Inbox) forget(now time.Time) {
	maps.DeleteFunc(b.owners, func(_ string, r *received) bool { return now.Sub(r.at) > forgetAfter })
}

// Knows reports whether an owner has reported lately.
func (b *Inbox) Knows(owner string, now time.Time) bool {
	r := b.owners[owner]
	return r != nil && now.Sub(r.at) <= forgetAfter
}

// Peers returns the addresses of the owners that have reported lately, sorted.
func (b *Inbox) Peers(now time.Time) []string {
	b.forget(now)
	var peers []string
	for _, r := range b.owners {
		peers = append(peers, r.report.Peer)
	}
	slices.Sort(peers)
	return peers
}

// Waiting returns the work of all other owners that has found no room as of their last
// reports, with its slack at now. Reports older than MaxAge are left out.
func (b *Inbox) Waiting(now time.Time) []Waiting {
	var all []Waiting
	for _, r := range b.owners {
		age := now.Sub(r.at)
		if age > MaxAge {
			continue
		}
		for _, w := range r.report.Waiting {
			w.Slacks = slices.Clone(w.Slacks)
			for n := range w.Slacks {
				w.Slacks[n] -= int32(age.Milliseconds())
			}
			all = append(all, w)
		}
	}
	slices.SortFunc(all, func(a, b Waiting) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), cmp.Compare(a.MinVersion, b.MinVersion))
	})
	return all
}

// Age returns the age of the oldest report that is taken into account; 0 without any.
func (b *Inbox) Age(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, r := range b.owners {
		if age := now.Sub(r.at); age <= MaxAge {
			oldest = max(oldest, age)
		}
	}
	return oldest
}
