package room

import "time"

const (
	// shortInterval is the time between reports while room is short or its use changes.
	shortInterval = 200 * time.Millisecond
	// calmInterval is the time between reports while there is room.
	calmInterval = time.Second
	// yieldInterval is the shortest time between two reports. A report that follows the
	// begin of a yield informs the owner that is ahead of the free place.
	yieldInterval = 50 * time.Millisecond
	// notableChange is the change of the number of requests that others should know soon.
	notableChange = 8
	// maxBytesPerSecond bounds the reports of an instance to all its peers.
	maxBytesPerSecond = 10 << 10
)

// Pacer decides when an owner reports. The zero value is ready for use.
type Pacer struct {
	last time.Time
	next time.Time // earliest next report within the bound on bytes
}

// Situation is what determines how soon the next report is due.
type Situation struct {
	Short    bool // work of this or another owner waits for room
	Changed  int  // change of the number of the owner's requests since the last report
	Yielding bool // this owner has left a place to others since the last report
}

// Due reports whether a report is due.
//
// Load pattern: hours in which the items of each step begin at once and all have room, then
// seconds after a failure in which they have not. The bound on bytes applies to both.
func (p *Pacer) Due(s Situation, now time.Time) bool {
	interval := calmInterval
	switch {
	case s.Yielding:
		interval = yieldInterval
	case s.Short, max(s.Changed, -s.Changed) >= notableChange:
		interval = shortInterval
	}
	return !now.Before(p.last.Add(interval)) && !now.Before(p.next)
}

// Sent records that a report of size bytes was sent to a number of peers.
func (p *Pacer) Sent(size, peers int, now time.Time) {
	p.last = now
	p.next = later(p.next, now.Add(-time.Second)).Add(time.Duration(size*peers) * time.Second / maxBytesPerSecond)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
