package intake

import (
	"cmp"
	"slices"
	"time"
)

// minProgressBytes is the number of bytes in one stall time below which a caller makes no progress.
const minProgressBytes = 16 << 10

// progress measures how many bytes a caller sends or receives in a stall time.
type progress struct {
	began time.Time // of the current measurement
	bytes int       // since began
	slow  bool      // the last complete measurement was below minProgressBytes
}

// add records bytes at a time.
func (p *progress) add(bytes int, now time.Time, stallTime time.Duration) {
	if now.Sub(p.began) >= stallTime {
		p.slow = p.bytes+bytes < minProgressBytes
		p.began, p.bytes = now, 0
		return
	}
	p.bytes += bytes
}

// stalled reports whether the caller makes no progress.
func (p *progress) stalled(now time.Time, stallTime time.Duration) bool {
	elapsed := now.Sub(p.began)
	// A measurement that is not complete after twice its time had no bytes in the second half.
	return p.slow || elapsed >= stallTime && p.bytes < minProgressBytes || elapsed >= 2*stallTime
}

// candidate is a claim that may be given up.
type candidate struct {
	claim *Claim
	bytes int
	since time.Time // begin of the last measurement of its progress
}

// choose returns the candidates to give up so that need bytes become free: the largest first, and
// of equal ones the oldest. It returns none if all together are not enough.
//
// Load pattern: many bodies stop one byte short of their end. A new request needs room for itself
// only, so most of them stay; none is given up for a request that can't be held anyway.
func choose(candidates []candidate, need int) []candidate {
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.bytes, a.bytes), a.since.Compare(b.since))
	})
	free := 0
	for n, c := range candidates {
		if free += c.bytes; free >= need {
			return candidates[:n+1]
		}
	}
	return nil
}

// phase is what a connection does.
type phase int

const (
	idle    phase = iota // no byte of a request has come
	head                 // a head, or the handshake of an instance, is being read
	serving              // a request is being read or served
)

// minHeadTime is the time that the head of a request may take even if there are no free connections.
const minHeadTime = time.Second

// occupant is a connection that may be closed for a new one.
type occupant struct {
	phase   phase
	since   time.Time // begin of the phase
	stalled bool      // the caller makes no progress
}

// replaceable returns the index of the connection to close for a new one: the one that is idle
// longest, or else the one whose head has taken longest, or else one whose request is served while
// its caller makes no progress. It returns -1 if there is none.
//
// Load pattern: many clients connect at once and send nothing, part of a head, or requests whose
// responses they don't read. Callers who make progress keep their connections, and new callers get
// those of the others within minHeadTime or the stall time.
func replaceable(all []occupant, now time.Time) int {
	found := -1
	for n, o := range all {
		if o.phase == serving && !o.stalled || now.Sub(o.since) < minHeadTime {
			continue
		}
		if found < 0 || cmp.Or(cmp.Compare(o.phase, all[found].phase), o.since.Compare(all[found].since)) < 0 {
			found = n
		}
	}
	return found
}
