package roster

import (
	"slices"

	"github.com/pomelocross/pomelocross/upstream"
)

// maxLeaving is the number of incarnations that a roster remembers as leaving. A fleet
// may replace thousands of engines within the minutes in which an outdated registration
// of one of them may still be read.
const maxLeaving = 4096

// MarkLeaving records that an incarnation of an upstream has reported that it leaves.
// It gets no new work from then on: only a registration of another incarnation makes the
// upstream ready again. MarkLeaving returns false if that was known.
func (r *Roster) MarkLeaving(u upstream.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[u.ID]
	if s != nil && sameIncarnation(s.Target(), u) {
		s.leaving, s.Ready = true, false
	}
	if r.isLeaving(u) {
		return false
	}
	if len(r.leaving) == maxLeaving {
		r.leaving = slices.Delete(r.leaving, 0, 1)
	}
	r.leaving = append(r.leaving, u)
	return true
}

// isLeaving reports whether an incarnation is remembered as leaving. The caller must
// hold mu.
func (r *Roster) isLeaving(u upstream.Target) bool {
	return slices.ContainsFunc(r.leaving, func(known upstream.Target) bool { return sameIncarnation(known, u) })
}

// sameIncarnation reports whether two targets are the same incarnation of an upstream. A
// registration may lack the start time; then the address decides.
func sameIncarnation(a, b upstream.Target) bool {
	if a.ID != b.ID {
		return false
	}
	if a.Started == 0 || b.Started == 0 {
		return a.Address == b.Address
	}
	return a.Started == b.Started
}
