package roster

import (
	"slices"
	"time"
)

// eventInterval estimates the time between two events of a stream of an upstream.
type eventInterval struct {
	mean      time.Duration // moving average; zero before the first event
	updatedAt time.Time
}

const (
	// intervalEWMAWeight is the weight of the newest event in the moving average. An
	// engine that slows down is detected after a handful of events.
	intervalEWMAWeight = 0.2
	// intervalMaxAge is how long an average stays valid without new events. It is long
	// enough to preserve lasting differences between engines. It is limited so that an
	// engine that was temporarily slow is tried again.
	intervalMaxAge = 10 * time.Second
)

// observe adds a sample. It replaces an average older than intervalMaxAge.
func (i *eventInterval) observe(sample time.Duration, now time.Time) {
	if i.mean == 0 || now.Sub(i.updatedAt) > intervalMaxAge {
		i.mean = sample
	} else {
		i.mean += time.Duration(intervalEWMAWeight * float64(sample-i.mean))
	}
	i.updatedAt = now
}

// value returns the average, or 0 if there is none younger than intervalMaxAge.
func (i *eventInterval) value(now time.Time) time.Duration {
	if i.mean == 0 || now.Sub(i.updatedAt) > intervalMaxAge {
		return 0
	}
	return i.mean
}

// EventInterval returns the estimated time between two stream events of an upstream;
// 0 if unknown.
func (r *Roster) EventInterval(id string, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[id]
	if s == nil {
		return 0
	}
	return s.interval.value(now)
}

// MedianEventInterval returns the median of the event intervals of a service's
// upstreams; 0 if none is known. The minimum would be unreliable: it may belong to an
// upstream whose last few events arrived together.
func (r *Roster) MedianEventInterval(service string, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.medianEventInterval(service, now)
}

// medianEventInterval is MedianEventInterval; the caller must hold mu.
func (r *Roster) medianEventInterval(service string, now time.Time) time.Duration {
	var all []time.Duration
	for _, s := range r.states {
		if v := s.interval.value(now); s.Service == service && v > 0 {
			all = append(all, v)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}
