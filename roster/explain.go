package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelocross/pomelocross/pace"
	"github.com/pomelocross/pomelocross/placement"
)

// Explanation says where a request would go now, and why.
type Explanation struct {
	Service string `json:"service"`
	// ByCompletion is set if upstreams are chosen by predicted completion, otherwise by
	// slots in use.
	ByCompletion bool        `json:"byCompletion"`
	Work         Work        `json:"work"`
	Candidates   []Candidate `json:"candidates"` // the one that would be chosen first; those that cannot take the request last
}

// Candidate is an upstream of the service.
type Candidate struct {
	ID     string `json:"id"`
	Domain string `json:"domain"`
	// CanTake is set if the upstream can take the request now.
	CanTake bool `json:"canTake"`
	Ready   bool `json:"ready"`
	// Version is the last known weight version of the model.
	Version  int64 `json:"version,omitempty"`
	Requests int   `json:"requests"`
	Slots    int   `json:"slots"`
	// LoadAge is the age of the reported number of other instances' requests; negative if
	// none was reported. It counts for a second.
	LoadAge time.Duration   `json:"loadAge"`
	Pace    pace.Estimate   `json:"pace"`
	Terms   placement.Terms `json:"terms"`
	// Score is in seconds by completion, and in parts of the slots by slots.
	Score float64 `json:"score"`
}

// Explain returns where a request would go now. It changes nothing.
func (r *Roster) Explain(n Need, now time.Time) Explanation {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n.Events == 0 {
		n.Events = defaultEvents
	}
	e := Explanation{Service: n.Service, ByCompletion: r.PlacesByCompletion(n.Service, now), Work: n.Work, Candidates: []Candidate{}}
	request, medianInterval := r.placementRequest(n, now), r.pace.MedianEvent(n.Service, now)
	for _, s := range r.states {
		if s.Service != n.Service {
			continue
		}
		u := r.placementUpstream(s, n, request.Typical, now)
		c := Candidate{
			ID: s.ID, Domain: s.Domain, CanTake: r.canTake(s, n, now), Ready: s.Ready, Version: s.Models[n.Model], Requests: u.Requests,
			Slots: s.Slots, LoadAge: -1, Pace: u.Pace, Terms: placement.Evaluate(request, u, 0),
		}
		if !s.loadAt.IsZero() {
			c.LoadAge = now.Sub(s.loadAt)
		}
		if c.Score = c.Terms.Score().Seconds(); !e.ByCompletion {
			c.Score = s.score(n, medianInterval, now)
		}
		e.Candidates = append(e.Candidates, c)
	}
	slices.SortFunc(e.Candidates, compareCandidates)
	return e
}

// Best returns the upstream that would be chosen; nil if none can take the request.
func (e Explanation) Best() *Candidate {
	if len(e.Candidates) == 0 || !e.Candidates[0].CanTake {
		return nil
	}
	return &e.Candidates[0]
}

// compareCandidates orders upstreams that can take the request first, then by score.
func compareCandidates(a, b Candidate) int {
	if a.CanTake != b.CanTake {
		if a.CanTake {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Score, b.Score), cmp.Compare(a.ID, b.ID))
}
