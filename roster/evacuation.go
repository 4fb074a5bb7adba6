package roster

import "time"

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

// canTake reports whether the upstream and its failure domain can take the request now.
// The caller must hold mu.
func (r *Roster) canTake(s *state, n Need, now time.Time) bool {
	return !r.evacuated[s.Domain] && s.isEligible(n, now)
}
