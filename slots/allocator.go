package slots

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Allocator grants shares of one service's slots to the members. The holder of the
// domain's upstream role creates a new one with each lease. It starts without state
// and treats every member as unconfirmed until that member confirms an answer. It
// does no I/O and is not safe for concurrent use.
//
// Members are the instances of the domain and borrowers, which are instances of
// other domains that report demand.
type Allocator struct {
	timing        Timing
	engines       []Engine
	domainMembers []string                // names of the domain's instances, sorted
	members       map[string]*memberState // all that have reported, by name
	lastNumber    int64
	// minShareDivisor is as described at defaultMinShareDivisor.
	minShareDivisor int
	grantsOnly      bool // members without a grant use no slots: there are no fixed shares
	// reservations is valid for the current domainMembers and engines and is reset
	// when either changes.
	reservations *reservations
}

// memberState is the allocator's state for one instance.
type memberState struct {
	incarnation  string    // of the member's process
	confirmedAt  time.Time // last report that confirmed the newest answer
	reportedAt   time.Time // last report
	answerNumber int64     // number of the newest answer
	demand       int
	waiting      int
	granted      Shares
	// possibleUse is an upper bound on the slots in use at the member, by engine:
	// the maximum of the previous grant, the current grant and its requests in
	// flight.
	possibleUse Shares
}

// defaultMinShareDivisor sets the minimum share of a member of the domain: its equal part
// of the slots divided by this. A member without demand keeps that much for requests
// that arrive between two reports.
const defaultMinShareDivisor = 4

// answerNumberBits is the number of low bits of an answer number that count the
// answers of one epoch; the epoch is stored above them.
const answerNumberBits = 32

// NewAllocator returns an allocator without members and engines. The epoch of the
// lease makes its answer numbers distinct from those of other allocators.
func NewAllocator(timing Timing, epoch int64) *Allocator {
	return &Allocator{timing: timing, members: map[string]*memberState{}, lastNumber: epoch << answerNumberBits, minShareDivisor: defaultMinShareDivisor, reservations: newReservations()}
}

// SetMinShareDivisor sets the divisor of a member's equal part of the slots that gives its
// minimum share.
func (a *Allocator) SetMinShareDivisor(divisor int) { a.minShareDivisor = divisor }

// SetGrantsOnly makes members without a grant use no slots, so that none are kept for them.
// Members without demand get none either, and need not report. A member with demand is to get
// at least one slot if any is free, also if more members demand slots than there are.
func (a *Allocator) SetGrantsOnly() { a.grantsOnly = true }

// SetMembers replaces the instances of the domain, sorted by name, and its engines.
// The shares of removed instances stay reserved until their term ends.
func (a *Allocator) SetMembers(members []string, engines []Engine, now time.Time) {
	if !slices.Equal(a.domainMembers, members) || !slices.Equal(a.engines, engines) {
		a.reservations = newReservations()
	}
	a.domainMembers, a.engines = members, engines
	for name, m := range a.members {
		if !slices.Contains(members, name) && a.isUnconfirmed(m, now) && a.isGone(m, now) {
			delete(a.members, name)
			a.reservations = newReservations()
		}
	}
}

// isUnconfirmed reports whether the member has not confirmed an answer for a term.
func (a *Allocator) isUnconfirmed(m *memberState, now time.Time) bool {
	return now.Sub(m.confirmedAt) >= a.timing.Term
}

// isGone reports whether the member has not reported for so long that it uses no slots of
// its grants.
func (a *Allocator) isGone(m *memberState, now time.Time) bool {
	return now.Sub(m.reportedAt) >= a.timing.Term+a.timing.Hold
}

// memberOf returns the state of the process that sent a report, a new one if it has sent none
// before.
func (a *Allocator) memberOf(r Report) *memberState {
	m := a.members[r.Member]
	if m != nil && m.incarnation != r.Incarnation && a.timing.Hold > 0 {
		// What the ended process may have in use stays reserved, apart from the new one's.
		a.members[r.Member+"/"+m.incarnation] = m
		a.reservations = newReservations()
		m = nil
	}
	if m == nil {
		m = &memberState{incarnation: r.Incarnation, possibleUse: a.fixedShares(r.Member)}
		a.members[r.Member] = m
	}
	return m
}

// Record records a report without an answer. It is for the time in which the role holder grants
// nothing yet: a process that ends in it has slots in use all the same.
func (a *Allocator) Record(r Report, now time.Time) {
	m := a.memberOf(r)
	m.reportedAt = now
	a.lastNumber++
	m.answerNumber = a.lastNumber // that no report confirms
	m.possibleUse = maxShares(m.possibleUse, r.InFlight)
}

// HandleReport records a member's report and returns its new shares.
func (a *Allocator) HandleReport(r Report, now time.Time) Answer {
	m := a.memberOf(r)
	previousUse, previousGrant := m.possibleUse, m.granted
	applied := r.Applied == m.answerNumber && r.Applied != 0
	if applied && a.isUnconfirmed(m, now) {
		previousUse = maxShares(m.granted, a.fixedShares(r.Member))
		m.confirmedAt = now
	} else if applied {
		previousUse = m.granted
		m.confirmedAt = now
	}
	m.reportedAt = now
	m.demand, m.waiting = r.Demand, r.Waiting
	a.lastNumber++
	m.answerNumber = a.lastNumber
	m.granted = a.allocate(r, m, now)
	m.possibleUse = maxShares(maxShares(previousUse, m.granted), r.InFlight)
	if !applied {
		return Answer{Number: a.lastNumber, Shares: m.granted}
	}
	return newAnswer(a.lastNumber, r.Applied, previousGrant, m.granted)
}

// newAnswer returns an answer with only the shares that differ from previous, the
// shares of the answer numbered base, which the member uses. It returns a complete
// answer if an engine of previous has no share anymore.
func newAnswer(number, base int64, previous, current Shares) Answer {
	delta := Answer{Number: number, Base: base, Shares: Shares{}}
	for engine, n := range current {
		if old, known := previous[engine]; !known || old != n {
			delta.Shares[engine] = n
		}
	}
	for engine := range previous {
		if _, present := current[engine]; !present {
			return Answer{Number: number, Shares: current}
		}
	}
	return delta
}

// Waiting returns the number of requests waiting at members that have reported
// within the last term.
func (a *Allocator) Waiting(now time.Time) int {
	waiting := 0
	for _, m := range a.members {
		if now.Sub(m.reportedAt) < a.timing.Term {
			waiting += m.waiting
		}
	}
	return waiting
}

// fixedShares returns the fixed share of a member of the domain. Other members have
// none, nor has any with SetGrantsOnly.
func (a *Allocator) fixedShares(name string) Shares {
	index, ok := slices.BinarySearch(a.domainMembers, name)
	if !ok || a.grantsOnly {
		return Shares{}
	}
	return FixedShares(a.engines, index, len(a.domainMembers))
}

// allocate computes the member's shares. The total follows demand. Slots for
// running requests come first. The rest is placed on the engines that the member wants, if it
// has named any: other members may want the others. It goes to engines with the most free
// slots, with preference for those on which the member already has a grant.
func (a *Allocator) allocate(r Report, m *memberState, now time.Time) Shares {
	free := a.freeSlots(r.Member, now)
	candidates := make(candidateHeap, 0, len(a.engines))
	remaining := a.targetSlots(r.Member, now)
	shares := make(Shares, len(a.engines))
	wanted := make(map[string]bool, len(r.Wanted))
	for _, name := range r.Wanted {
		wanted[name] = true
	}
	for _, e := range a.engines {
		running := max(0, min(r.InFlight[e.Name], free[e.Name], remaining))
		shares[e.Name] = running
		remaining -= running
		if len(wanted) == 0 || wanted[e.Name] {
			candidates = append(candidates, candidate{name: e.Name, free: free[e.Name] - running, granted: m.granted[e.Name]})
		}
	}
	heap.Init(&candidates)
	for ; remaining > 0 && len(candidates) > 0 && candidates[0].free > 0; remaining-- {
		shares[candidates[0].name]++
		candidates[0].free--
		heap.Fix(&candidates, 0)
	}
	return shares
}

// candidate is an engine on which a member may get more slots.
type candidate struct {
	name          string
	free, granted int
}

// candidateHeap orders engines by their free slots, then by those that the member has been
// granted, then by name; the first one is the best. It implements heap.Interface.
type candidateHeap []candidate

func (h candidateHeap) Len() int { return len(h) }

func (h candidateHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[j].free, h[i].free), cmp.Compare(h[j].granted, h[i].granted), cmp.Compare(h[i].name, h[j].name)) < 0
}

func (h candidateHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *candidateHeap) Push(x any) { *h = append(*h, x.(candidate)) }

func (h *candidateHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// targetSlots returns the number of slots the member should get over all engines.
// Members of the domain share the slots left after the fixed shares of unconfirmed
// ones. Borrowers share half of the slots that members of the domain don't demand.
func (a *Allocator) targetSlots(self string, now time.Time) int {
	ownDemand := a.members[self].demand
	if a.grantsOnly && ownDemand == 0 {
		return 0
	}
	available := 0
	for _, e := range a.engines {
		available += e.Slots
	}
	minShare := available / max(1, a.minShareDivisor*len(a.domainMembers))
	var demands []int
	totalDemand := 0
	for _, name := range a.domainMembers {
		m := a.members[name]
		if name != self && (m == nil || a.isUnconfirmed(m, now)) {
			available -= a.fixedShares(name).Total()
			continue
		}
		demand := max(m.demand, minShare)
		demands = append(demands, demand)
		totalDemand += demand
	}
	lendable := max(0, available-totalDemand) / 2
	borrowers := a.countBorrowers(self, now)
	if _, local := slices.BinarySearch(a.domainMembers, self); !local {
		return min(ownDemand, lendable/max(1, borrowers))
	}
	if borrowers == 0 {
		lendable = 0
	}
	share := MaxMinShare(demands, max(ownDemand, minShare), available-lendable)
	if a.grantsOnly {
		return max(share, 1)
	}
	return share
}

// countBorrowers returns the number of borrowers that demand slots.
func (a *Allocator) countBorrowers(self string, now time.Time) int {
	count := 0
	for name, m := range a.members {
		_, local := slices.BinarySearch(a.domainMembers, name)
		if !local && m.demand > 0 && (name == self || !a.isUnconfirmed(m, now)) {
			count++
		}
	}
	return count
}

// MaxMinShare divides slots among demands by max-min fairness and returns the share
// of the demand own, which must be one of demands. Undemanded slots are added in
// equal parts to absorb a sudden rise in demand; one extra part stays free for an
// instance that joins.
func MaxMinShare(demands []int, own, slots int) int {
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

// maxShares returns the larger of two shares for each engine.
func maxShares(a, b Shares) Shares {
	merged := make(Shares, len(a))
	for name, n := range a {
		merged[name] = n
	}
	for name, n := range b {
		merged[name] = max(merged[name], n)
	}
	return merged
}
