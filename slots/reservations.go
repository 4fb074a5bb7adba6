package slots

import "time"

// reservationKind selects the slots that are reserved for a member.
type reservationKind int

// The kinds of reservation, by the state of the member.
const (
	reserveFixed            reservationKind = iota // fixed share: no report for a term and Hold
	reserveFixedAndPossible                        // larger of fixed share and possibleUse: confirms no answer, or no report for a term
	reservePossible                                // possibleUse: reports and confirms answers
)

// reservation holds the slots reserved for a member at the last update.
type reservation struct {
	kind         reservationKind
	answerNumber int64 // newest answer; possibleUse changes only with it
	shares       Shares
}

// reservations holds the reservation of each member and their total by engine. With
// the total, a report costs one check per member instead of one per share of each
// member.
type reservations struct {
	total   Shares
	members map[string]reservation
}

func newReservations() *reservations {
	return &reservations{total: Shares{}, members: map[string]reservation{}}
}

// set replaces the reservation of a member.
func (r *reservations) set(name string, next reservation) {
	for engine, n := range r.members[name].shares {
		r.total[engine] -= n
	}
	for engine, n := range next.shares {
		r.total[engine] += n
	}
	r.members[name] = next
}

// totalExcept returns the slots of an engine reserved for all members but one.
func (r *reservations) totalExcept(name, engine string) int {
	return r.total[engine] - r.members[name].shares[engine]
}

// reservationKindOf returns the kind of reservation a member needs at now and the
// number of its newest answer.
func (a *Allocator) reservationKindOf(name string, now time.Time) (reservationKind, int64) {
	m := a.members[name]
	switch {
	case m == nil || a.isGone(m, now):
		return reserveFixed, 0
	case a.isUnconfirmed(m, now) || now.Sub(m.reportedAt) >= a.timing.Term:
		return reserveFixedAndPossible, m.answerNumber
	}
	return reservePossible, m.answerNumber
}

// updateReservation recomputes the reservation of a member if its kind or its newest
// answer has changed.
func (a *Allocator) updateReservation(name string, now time.Time) {
	kind, number := a.reservationKindOf(name, now)
	last, known := a.reservations.members[name]
	if known && last.kind == kind && last.answerNumber == number {
		return
	}
	next := reservation{kind: kind, answerNumber: number}
	switch kind {
	case reserveFixed:
		next.shares = a.fixedShares(name)
	case reserveFixedAndPossible:
		next.shares = maxShares(a.fixedShares(name), a.members[name].possibleUse)
	case reservePossible:
		next.shares = a.members[name].possibleUse
	}
	a.reservations.set(name, next)
}

// freeSlots returns, by engine, the slots not reserved for members other than self.
func (a *Allocator) freeSlots(self string, now time.Time) Shares {
	for _, name := range a.domainMembers {
		if name != self {
			a.updateReservation(name, now)
		}
	}
	for name := range a.members {
		if name != self {
			a.updateReservation(name, now)
		}
	}
	free := make(Shares, len(a.engines))
	for _, e := range a.engines {
		free[e.Name] = e.Slots - a.reservations.totalExcept(self, e.Name)
	}
	return free
}
