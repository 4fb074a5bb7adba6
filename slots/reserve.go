package slots

import "time"

// reservation tells what is left to a member.
type reservation int

// The reservations, by what the holder knows of a member.
const (
	fixedShare   reservation = iota // nothing was heard for a term
	fixedAndHeld                    // silent, but may still use what it was given
	heldShare                       // it says what it uses
)

// reserved is what was left to a member when it was last looked at.
type reserved struct {
	kind   reservation
	number int64 // of the member's newest answer, with which its shares change
	shares Shares
}

// reserve keeps the sum of what is left to all members, so that a report costs a
// look at each member instead of one at each share of each member.
type reserve struct {
	sum     Shares
	members map[string]reserved
}

func newReserve() *reserve {
	return &reserve{sum: Shares{}, members: map[string]reserved{}}
}

// put replaces what is left to a member.
func (r *reserve) put(name string, now reserved) {
	for engine, n := range r.members[name].shares {
		r.sum[engine] -= n
	}
	for engine, n := range now.shares {
		r.sum[engine] += n
	}
	r.members[name] = now
}

// without returns what is left to all members but one of an engine.
func (r *reserve) without(name, engine string) int {
	return r.sum[engine] - r.members[name].shares[engine]
}

// reservationOf tells what must be left to a member at now.
func (h *Allocator) reservationOf(name string, now time.Time) (reservation, int64) {
	m := h.members[name]
	switch {
	case m == nil || now.Sub(m.last) >= h.timing.Term:
		return fixedShare, 0
	case h.silent(m, now):
		return fixedAndHeld, m.number
	}
	return heldShare, m.number
}

// refresh brings the reservation of a member up to date.
func (h *Allocator) refresh(name string, now time.Time) {
	kind, number := h.reservationOf(name, now)
	last, known := h.reserve.members[name]
	if known && last.kind == kind && last.number == number {
		return
	}
	next := reserved{kind: kind, number: number}
	switch kind {
	case fixedShare:
		next.shares = h.fixed(name)
	case fixedAndHeld:
		next.shares = most(h.fixed(name), h.members[name].held)
	case heldShare:
		next.shares = h.members[name].held
	}
	h.reserve.put(name, next)
}

// free returns the slots that no member but self may be using or is owed.
func (h *Allocator) free(self string, now time.Time) Shares {
	for _, name := range h.listed {
		if name != self {
			h.refresh(name, now)
		}
	}
	for name := range h.members {
		if name != self {
			h.refresh(name, now)
		}
	}
	free := make(Shares, len(h.engines))
	for _, e := range h.engines {
		free[e.Name] = e.Slots - h.reserve.without(self, e.Name)
	}
	return free
}
