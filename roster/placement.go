package roster

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/pomelocross/pomelocross/cost"
	"github.com/pomelocross/pomelocross/placement"
)

// Work is the predicted work of a request.
type Work struct {
	Kind     cost.Kind     `json:"kind"`
	Estimate cost.Estimate `json:"estimate"` // what the request still needs; may be unknown
	// Typical is the mean work of the requests of the service; 0 if unknown.
	Typical float64 `json:"typical"`
}

const (
	// defaultEventInterval is assumed while the time between events is unknown.
	defaultEventInterval = 40 * time.Millisecond
	// defaultTypical is assumed while the time that a request holds a slot is unknown.
	defaultTypical = time.Second
	// overrunPart is the part of a request's expected time that it is expected to still need
	// when that has passed.
	overrunPart = 0.25
)

// SetPlacement sets by what upstreams are chosen. It must be called before the first Pick.
func (r *Roster) SetPlacement(mode placement.Mode) { r.placement = mode }

// PlacesByCompletion reports whether upstreams of a service are chosen by predicted
// completion.
func (r *Roster) PlacesByCompletion(service string, now time.Time) bool {
	switch r.placement {
	case placement.Slots:
		return false
	case placement.Completion:
		return true
	}
	return r.pace.Uneven(service, now)
}

// expectedWork is the time that a request was expected to need at the median upstream when it
// began.
type expectedWork struct {
	began time.Time
	time  time.Duration
}

// remaining returns the time that the request is expected to still need at the median upstream.
// ratio is the time of work at its own upstream relative to that one.
func (w expectedWork) remaining(ratio float64, now time.Time) time.Duration {
	done := time.Duration(float64(now.Sub(w.began)) / ratio)
	return max(w.time-done, time.Duration(overrunPart*float64(w.time)))
}

// SetWork records the time that a request which has begun is expected to need.
func (r *Roster) SetWork(id, request string, work time.Duration, now time.Time) {
	r.update(id, func(s *state) {
		if s.workByRequest == nil {
			s.workByRequest = map[string]expectedWork{}
		}
		s.workByRequest[request] = expectedWork{began: now, time: work}
	})
}

// rankLocked returns the terms of the upstreams that can take the request, the best one
// first, and the time that the request needs. The caller must hold mu.
func (r *Roster) rankLocked(n Need, now time.Time) ([]placement.Terms, placement.Request) {
	request := r.placementRequest(n, now)
	var candidates []placement.Upstream
	for _, s := range r.states {
		if r.canTake(s, n, now) {
			candidates = append(candidates, r.placementUpstream(s, n, request.Typical, now))
		}
	}
	return placement.Rank(request, candidates, rand.Float64), request
}

// placementRequest converts the predicted work of a request to time.
func (r *Roster) placementRequest(n Need, now time.Time) placement.Request {
	unit := float64(time.Microsecond)
	if n.Work.Kind == cost.Stream {
		unit = float64(cmp.Or(r.pace.MedianEvent(n.Service, now), defaultEventInterval))
	}
	duration := func(work float64) time.Duration { return time.Duration(work * unit) }
	request := placement.Request{Typical: cmp.Or(duration(n.Work.Typical), defaultTypical)}
	e := n.Work.Estimate
	switch {
	case e.Known():
		request.Own = placement.Span{Mean: duration(e.Mean), Low: duration(e.Low), High: duration(e.High)}
	case n.Work.Kind == cost.Stream && n.Events > 0:
		stated := duration(float64(n.Events))
		request.Own = placement.Span{Mean: stated, Low: stated, High: stated}
	default:
		request.Own = placement.Span{Mean: request.Typical, Low: request.Typical, High: request.Typical}
	}
	return request
}

// placementUpstream returns the state of an upstream. Requests of other instances, and own
// ones of unknown work, count as half done.
func (r *Roster) placementUpstream(s *state, n Need, typical time.Duration, now time.Time) placement.Upstream {
	u := placement.Upstream{
		ID: s.ID, Slots: s.Slots, Requests: s.estimatedRequests(now), Pace: r.pace.Estimate(s.Target(), s.Service, now),
		OtherDomain: s.Domain != n.Domain, Cold: s.Cold > 0, Newer: n.MinVersion > 0 && s.Models[n.Model] > n.MinVersion,
	}
	for _, w := range s.workByRequest {
		u.Work += w.remaining(u.Pace.Ratio, now)
	}
	u.Work += time.Duration(max(0, u.Requests-len(s.workByRequest))) * typical / 2
	return u
}
