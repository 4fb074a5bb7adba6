package slots

import (
	"cmp"
	"slices"
	"time"
)

// Holder is the granting side for one service. It is made anew with each lease
// and trusts nothing it has not heard: members count as silent at first. It does
// no I/O and is not safe for concurrent use.
type Allocator struct {
	timing  Timing
	engines []Engine
	listed  []string // sorted
	members map[string]*member
	number  int64
	// reserve is of listed and engines as they are; it starts anew when they change.
	reserve *reserve
}

// member is what the holder knows of an instance.
type member struct {
	heard   time.Time // when it last told that the newest answer is in use
	last    time.Time // when it was last answered
	number  int64     // of the newest answer
	demand  int
	waiting int
	given   Shares
	// held is what the member may be using: the shares given before and now,
	// and what it runs.
	held Shares
}

// floorPart divides a listed member's equal part: so much of it is left to the
// member without demand, for requests that come between two reports.
const floorPart = 4

// epochBits is how many answers a holder may give under one epoch, as a power of two.
const epochBits = 32

// NewHolder returns a holder that has heard nothing. Epoch is that of its lease
// and keeps the numbers of its answers apart from those of other holders.
func NewAllocator(timing Timing, epoch int64) *Allocator {
	return &Allocator{timing: timing, members: map[string]*member{}, number: epoch << epochBits, reserve: newReserve()}
}

// Listed sets the members, sorted by name, and the engines of the domain.
// Members that are gone keep what they hold until their term ends.
func (h *Allocator) SetMembers(members []string, engines []Engine, now time.Time) {
	if !slices.Equal(h.listed, members) || !slices.Equal(h.engines, engines) {
		h.reserve = newReserve()
	}
	h.listed, h.engines = members, engines
	for name, m := range h.members {
		if !slices.Contains(members, name) && h.silent(m, now) {
			delete(h.members, name)
			h.reserve = newReserve()
		}
	}
}

func (h *Allocator) silent(m *member, now time.Time) bool {
	return now.Sub(m.heard) >= h.timing.Term
}

// Report takes in a member's report and returns its new shares.
func (h *Allocator) HandleReport(r Report, now time.Time) Answer {
	m := h.members[r.Member]
	if m == nil {
		m = &member{held: h.fixed(r.Member)}
		h.members[r.Member] = m
	}
	before, base := m.held, m.given
	applied := r.Applied == m.number && r.Applied != 0
	if applied && h.silent(m, now) {
		before = most(m.given, h.fixed(r.Member))
		m.heard = now
	} else if applied {
		before = m.given
		m.heard = now
	}
	m.last = now
	m.demand, m.waiting = r.Demand, r.Waiting
	h.number++
	m.number = h.number
	m.given = h.share(r, m, now)
	m.held = most(most(before, m.given), r.InFlight)
	if !applied {
		return Answer{Number: h.number, Shares: m.given}
	}
	return answerOf(h.number, r.Applied, base, m.given)
}

// answerOf returns an answer that tells only what changed, when the member uses
// the shares of the answer numbered base and no engine has gone since.
func answerOf(number, base int64, before, now Shares) Answer {
	changed := Answer{Number: number, Base: base, Shares: Shares{}}
	for engine, n := range now {
		if was, known := before[engine]; !known || was != n {
			changed.Shares[engine] = n
		}
	}
	for engine := range before {
		if _, still := now[engine]; !still {
			return Answer{Number: number, Shares: now}
		}
	}
	return changed
}

// Waiting returns how many requests wait at members that report.
func (h *Allocator) Waiting(now time.Time) int {
	waiting := 0
	for _, m := range h.members {
		if now.Sub(m.last) < h.timing.Term {
			waiting += m.waiting
		}
	}
	return waiting
}

// fixed returns a listed member's fixed share; others have none.
func (h *Allocator) fixed(name string) Shares {
	place, ok := slices.BinarySearch(h.listed, name)
	if !ok {
		return Shares{}
	}
	return FixedShares(h.engines, place, len(h.listed))
}

// share computes the member's shares: its part of all slots by demand, on the
// engines where others leave most free.
func (h *Allocator) share(r Report, m *member, now time.Time) Shares {
	free := h.free(r.Member, now)
	type room struct {
		name       string
		free, kept int
	}
	rooms := make([]room, 0, len(h.engines))
	wanted := h.target(r.Member, now)
	shares := make(Shares, len(h.engines))
	for _, e := range h.engines {
		kept := max(0, min(r.InFlight[e.Name], free[e.Name], wanted))
		shares[e.Name] = kept
		wanted -= kept
		rooms = append(rooms, room{name: e.Name, free: free[e.Name] - kept, kept: m.given[e.Name]})
	}
	for wanted > 0 {
		best := slices.MaxFunc(rooms, func(a, b room) int {
			return cmp.Or(cmp.Compare(a.free, b.free), cmp.Compare(a.kept, b.kept))
		})
		if best.free <= 0 {
			break
		}
		at := slices.IndexFunc(rooms, func(o room) bool { return o.name == best.name })
		rooms[at].free--
		shares[best.name]++
		wanted--
	}
	return shares
}

// target returns the slots that the member should have in all. Listed members
// share what silent ones leave. A member of another domain borrows from half of
// what they don't demand.
func (h *Allocator) target(self string, now time.Time) int {
	left := 0
	for _, e := range h.engines {
		left += e.Slots
	}
	floor := left / max(1, floorPart*len(h.listed))
	var demands []int
	wanted := 0
	for _, name := range h.listed {
		m := h.members[name]
		if name != self && (m == nil || h.silent(m, now)) {
			left -= h.fixed(name).Total()
			continue
		}
		demand := max(m.demand, floor)
		demands = append(demands, demand)
		wanted += demand
	}
	own := h.members[self].demand
	lendable := max(0, left-wanted) / 2
	borrowers := h.borrowers(self, now)
	if _, listed := slices.BinarySearch(h.listed, self); !listed {
		return min(own, lendable/max(1, borrowers))
	}
	if borrowers == 0 {
		lendable = 0
	}
	return Level(demands, max(own, floor), left-lendable)
}

// borrowers counts members of other domains that want slots.
func (h *Allocator) borrowers(self string, now time.Time) int {
	count := 0
	for name, m := range h.members {
		_, listed := slices.BinarySearch(h.listed, name)
		if !listed && m.demand > 0 && (name == self || !h.silent(m, now)) {
			count++
		}
	}
	return count
}

// Level shares slots among demands by max-min fairness and returns the share of
// one of them. Slots that nobody demands are added in equal parts, so that a
// sudden demand finds some; one part is left for an instance that joins.
func Level(demands []int, own, slots int) int {
	sorted := slices.Clone(demands)
	slices.Sort(sorted)
	level := 0
	for i, demand := range sorted {
		equal := max(0, slots) / (len(sorted) - i)
		level = equal
		if demand > equal {
			return min(own, level)
		}
		slots -= demand
	}
	if len(sorted) == 0 {
		return 0
	}
	return own + max(0, slots)/(len(sorted)+1)
}

func most(a, b Shares) Shares {
	both := make(Shares, len(a))
	for name, n := range a {
		both[name] = n
	}
	for name, n := range b {
		both[name] = max(both[name], n)
	}
	return both
}
