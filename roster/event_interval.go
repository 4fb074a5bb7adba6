package roster

import (
	"time"

	"github.com/pomelocross/pomelocross/pace"
	"github.com/pomelocross/pomelocross/upstream"
)

// eventInterval reads the estimated time between two events of a stream of an upstream.
type eventInterval struct {
	book    *pace.Book
	target  upstream.Target
	service string
}

const (
	// intervalMaxAge is how long an estimate from little evidence stays valid without new
	// events.
	intervalMaxAge = 10 * time.Second
	// minIntervalSamples is the number of samples from which an estimate stays valid for as
	// long as the upstream runs.
	minIntervalSamples = 4
)

// value returns the interval; 0 if unknown, or old and from little evidence.
func (i eventInterval) value(now time.Time) time.Duration {
	if i.book == nil {
		return 0
	}
	e := i.book.Estimate(i.target, i.service, now)
	if e.Age > intervalMaxAge && e.Samples < minIntervalSamples {
		return 0
	}
	return e.Event
}

// ObserveEventInterval records the time between two events of a stream.
func (r *Roster) ObserveEventInterval(id string, interval time.Duration, now time.Time) {
	r.update(id, func(s *state) { r.pace.ObserveEvent(s.Target(), s.Service, interval, now) })
}

// ObserveResponse records how long an upstream took for a plain response.
func (r *Roster) ObserveResponse(id string, took time.Duration, now time.Time) {
	r.update(id, func(s *state) { r.pace.ObserveResponse(s.Target(), s.Service, took, now) })
}

// PaceOf returns what is known of the pace of an upstream.
func (r *Roster) PaceOf(id string, now time.Time) pace.Estimate {
	e := pace.Estimate{Ratio: 1, Now: 1}
	r.update(id, func(s *state) { e = r.pace.Estimate(s.Target(), s.Service, now) })
	return e
}

// LearnPace records what other instances state about upstreams. Statements about other
// incarnations than those known are ignored.
func (r *Roster) LearnPace(statements []pace.Statement, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, stated := range statements {
		if s := r.states[stated.Target.ID]; s != nil && s.Target() == stated.Target && s.Service == stated.Service {
			r.pace.Learn(stated, now)
		}
	}
}

// Pace returns the paces of the upstreams.
func (r *Roster) Pace() *pace.Book { return r.pace }

// EventInterval returns the estimated time between two stream events of an upstream;
// 0 if unknown.
func (r *Roster) EventInterval(id string, now time.Time) (interval time.Duration) {
	r.update(id, func(s *state) { interval = s.interval.value(now) })
	return interval
}

// MedianEventInterval returns the median of the event intervals of a service's
// upstreams; 0 if none is known.
func (r *Roster) MedianEventInterval(service string, now time.Time) time.Duration {
	return r.pace.MedianEvent(service, now)
}

// forgetPace removes the pace of an incarnation. The caller must hold mu.
func (r *Roster) forgetPace(s *state) { r.pace.Forget(s.Target(), s.Service) }
