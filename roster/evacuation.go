package roster

import (
	"time"

	"github.com/pomelocross/pomelocross/upstream"
)

// SetEvacuated sets whether the upstreams of a failure domain must get no new work. It
// returns false if that was known.
func (r *Roster) SetEvacuated(domain string, evacuated bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.evacuated[domain] == evacuated {
		return false
	}
	if evacuated {
		r.evacuated[domain] = true
	} else {
		delete(r.evacuated, domain)
	}
	return true
}

// Accepts reports whether an incarnation of an upstream may get new work: it is registered,
// does not leave, and its failure domain is not evacuated.
func (r *Roster) Accepts(u upstream.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[u.ID]
	return s != nil && s.Ready && sameIncarnation(s.Target(), u) && !r.evacuated[s.Domain]
}

// canTake reports whether the upstream and its failure domain can take the request now, and
// the limit of the upstream allows another one.
// The caller must hold mu.
func (r *Roster) canTake(s *state, n Need, now time.Time) bool {
	return !r.evacuated[s.Domain] && s.isEligible(n, now) && (r.limits == nil || r.limits.Available(s.Target(), now))
}
