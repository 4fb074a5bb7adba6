package platform

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	client "github.com/pomelocross/pomelocross/objects"
)

// Faults are switched while the stand-in runs.
type Faults struct {
	Down bool `json:"down"` // refuse every call with status 503
	// LoseAnswers carries out this many writes and then cuts the connection.
	LoseAnswers int `json:"loseAnswers"`
	// DropWrites cuts the connection of this many writes before they take effect.
	DropWrites int `json:"dropWrites"`
	// LoseKind and DropKind limit LoseAnswers and DropWrites to a kind of
	// object; empty is all.
	LoseKind  string        `json:"loseKind"`
	DropKind  string        `json:"dropKind"`
	Delay     time.Duration `json:"delay"`     // nanoseconds added to each call
	UsageDown bool          `json:"usageDown"` // refuse usage reports only
	// Rate refuses calls beyond this many a second with status 429; 0 does not.
	Rate float64 `json:"rate"`
	// StaleList answers with the instance list as it was when this was set.
	StaleList bool `json:"staleList"`
	// Gaps answers every watch with "history is gone".
	Gaps bool `json:"gaps"`
	// FenceScale refuses scaling orders with an epoch older than one received
	// for the same domain.
	FenceScale bool `json:"fenceScale"`
}

// SetFaults switches faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Rate != s.faults.Rate {
		s.limiter = rate.NewLimiter(rate.Limit(f.Rate), max(1, int(f.Rate)))
	}
	if f.StaleList && !s.faults.StaleList {
		s.stale = s.members
	}
	s.faults = f
}

// admit applies the faults that hit every call and reports whether the call
// goes on.
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

// takeFault uses up one of count when kind is meant. The caller holds mu.
func takeFault(count *int, meant, kind string) bool {
	if *count <= 0 || (meant != "" && meant != kind) {
		return false
	}
	*count--
	return true
}

// listed returns the members that the list shows. The caller holds mu.
func (s *Server) listed() []client.Member {
	if s.faults.StaleList {
		return s.stale
	}
	return s.members
}
