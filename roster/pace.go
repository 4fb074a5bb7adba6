package roster

import (
	"slices"
	"time"
)

// pace estimates how long an upstream takes for one event of a stream.
type pace struct {
	mean time.Duration // zero until an event was seen
	at   time.Time
}

const (
	// paceWeight is the weight of the newest event in the mean: a slowed engine
	// shows after a handful of events.
	paceWeight = 0.2
	// paceKept is how long a mean is believed without new events: engines differ for
	// good, and one that was slow for a while is tried again.
	paceKept = 10 * time.Second
)

func (p *pace) observe(perEvent time.Duration, now time.Time) {
	if p.mean == 0 || now.Sub(p.at) > paceKept {
		p.mean = perEvent
	} else {
		p.mean += time.Duration(paceWeight * float64(perEvent-p.mean))
	}
	p.at = now
}

func (p *pace) value(now time.Time) time.Duration {
	if p.mean == 0 || now.Sub(p.at) > paceKept {
		return 0
	}
	return p.mean
}

// Pace returns the believed time an event of an upstream; 0 where it is not known.
func (r *Roster) EventInterval(id string, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[id]
	if s == nil {
		return 0
	}
	return s.pace.value(now)
}

// UsualPace returns the median time an event among the upstreams of a service; 0 where
// nothing is known. The least would be that of an upstream whose last few events came
// together.
func (r *Roster) MedianEventInterval(service string, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.usual(service, now)
}

// usual is UsualPace for callers that hold mu.
func (r *Roster) usual(service string, now time.Time) time.Duration {
	var all []time.Duration
	for _, s := range r.states {
		if v := s.pace.value(now); s.Service == service && v > 0 {
			all = append(all, v)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}
