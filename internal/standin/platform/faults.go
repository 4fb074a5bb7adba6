package platform

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	client "github.com/pomelocross/pomelocross/objects"
)

// Faults are the injected faults. They can be changed while the stand-in runs.
type Faults struct {
	Down bool `json:"down"` // reject every call with status 503
	// LoseAnswers applies this many writes but aborts their connections before the
	// response.
	LoseAnswers int `json:"loseAnswers"`
	// DropWrites aborts the connections of this many writes before they take
	// effect.
	DropWrites int `json:"dropWrites"`
	// LoseKind and DropKind restrict LoseAnswers and DropWrites to one kind of
	// object; empty means all kinds.
	LoseKind  string        `json:"loseKind"`
	DropKind  string        `json:"dropKind"`
	Delay     time.Duration `json:"delay"`     // nanoseconds added to each call
	UsageDown bool          `json:"usageDown"` // reject usage reports with status 503
	// Rate rejects calls above this many per second with status 429; 0 means no
	// limit.
	Rate float64 `json:"rate"`
	// StaleList serves the instance list as it was when this was set.
	StaleList bool `json:"staleList"`
	// Gaps rejects every watch with status 410: the requested history is no longer
	// available.
	Gaps bool `json:"gaps"`
	// FenceScale rejects scaling orders with an epoch older than one received for
	// the same domain (status 409).
	FenceScale bool `json:"fenceScale"`
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Rate != s.faults.Rate {
		s.limiter = rate.NewLimiter(rate.Limit(f.Rate), max(1, int(f.Rate)))
	}
	if f.StaleList && !s.faults.StaleList {
		s.staleMembers = s.members
	}
	s.faults = f
}

// admit applies the faults that affect every call and reports whether the call
// may continue. If not, it has sent the error response.
func (s *Server) admit(w http.ResponseWriter) bool {
	s.mu.Lock()
	faults, limiter := s.faults, s.limiter
	s.mu.Unlock()
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	switch {
	case faults.Down:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	case faults.Rate > 0 && !limiter.Allow():
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return false
	}
	return true
}

// consumeFault decrements count and returns true if the fault applies to kind;
// an empty faultKind applies to all kinds. The caller holds mu.
func consumeFault(count *int, faultKind, kind string) bool {
	if *count <= 0 || (faultKind != "" && faultKind != kind) {
		return false
	}
	*count--
	return true
}

// visibleMembers returns the members that the instance list shows. The caller
// holds mu.
func (s *Server) visibleMembers() []client.Member {
	if s.faults.StaleList {
		return s.staleMembers
	}
	return s.members
}
