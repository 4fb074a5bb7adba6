// Package pace keeps how fast upstreams work: their lasting speed, apart from disturbances of
// less than a second, and the slowness of their machines at a moment. It does no I/O and
// reads no clock.
package pace

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pomelocross/pomelocross/upstream"
)

// Estimate is what is known of the pace of one upstream.
type Estimate struct {
	// Event is the lasting time between two stream events; 0 if unknown.
	Event time.Duration
	// Response is the lasting time of a plain response; 0 if unknown.
	Response time.Duration
	// Ratio is the lasting time of work relative to the median upstream of the service. The
	// less and the older the evidence, the closer it is to 1; 1 if unknown.
	Ratio float64
	// Now is the slowness of the machine at this moment relative to its usual one; 1 if
	// unknown or too old.
	Now float64
	// Samples is the number of time windows with events, with those that other instances
	// state, or of plain responses if there were no events, behind Event or Response.
	Samples int
	// Age is the time since the last of them.
	Age time.Duration
}

// Book keeps the pace of upstreams by incarnation. It is safe for concurrent use.
//
// Load pattern: upstreams work at 0.7 to 1.7 times the usual time for as long as they run.
// The machines they share with others work at 2.5 times the usual time for fractions of a
// second. An upstream becomes 3 to 5 times as slow for 6 to 8 s.
type Book struct {
	mu       sync.Mutex // guards all below
	services map[string]*service
	changes  uint64 // number of the last change to what may be stated to others
}

// service holds the upstreams of one service.
type service struct {
	records map[upstream.Target]*record
	summary summary
	// statedAt is when an upstream last stated the slowness of its machine.
	statedAt time.Time
}

// summary is what is computed over all upstreams of a service.
type summary struct {
	at              time.Time
	stale           bool // an upstream with little evidence was observed since
	event, response time.Duration
	uneven          bool
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{services: map[string]*service{}} }

const (
	// maxRecords limits the upstreams of a service of which a pace is kept.
	maxRecords = 4096
	// maxObservation limits an observed duration.
	maxObservation = time.Minute
	// summaryMaxAge is how long the median of a service is reused.
	summaryMaxAge = 100 * time.Millisecond
	// maxSlowness limits the slowness that an upstream states.
	maxSlowness = 100
	// nowMaxAge is how long a stated slowness is valid. It changes many times a second.
	nowMaxAge = 250 * time.Millisecond
	// statedMaxAge is how long a service counts as one whose upstreams state the slowness of
	// their machines.
	statedMaxAge = time.Minute
	// evidenceHalfLife is the age at which an estimate has lost half of its weight.
	evidenceHalfLife = time.Minute
	// weakSamples is the number of samples that have half the weight of many.
	weakSamples = 2
	// minUnevenSamples is the number of samples from which an upstream is considered by
	// Uneven.
	minUnevenSamples = 8
	// minUnevenUpstreams is the number of such upstreams that Uneven requires.
	minUnevenUpstreams = 4
	// unevenRatio is the ratio of the upper to the lower quartile of the lasting times of
	// work from which the upstreams of a service differ. Different load of equal upstreams
	// makes less of a difference.
	unevenRatio = 1.5
)

// ObserveEvent records the time between two events of a stream of an upstream.
func (b *Book) ObserveEvent(u upstream.Target, service string, interval time.Duration, now time.Time) {
	if interval < 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s, r := b.record(u, service)
	r.events.observe(min(interval, maxObservation), now)
	s.summary.stale = s.summary.stale || r.events.samples() < minUnevenSamples
	b.noteChange(r)
}

// ObserveResponse records how long an upstream took for a plain response.
func (b *Book) ObserveResponse(u upstream.Target, service string, took time.Duration, now time.Time) {
	if took <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s, r := b.record(u, service)
	r.responses.observe(min(took, maxObservation), now)
	s.summary.stale = true
}

// ObserveMachine records the slowness of its machine that an upstream states; 1 is as usual.
// Figures that can't be true are ignored.
func (b *Book) ObserveMachine(u upstream.Target, service string, slowness float64, now time.Time) {
	if !(slowness > 0) || slowness > maxSlowness {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s, r := b.record(u, service)
	r.slowness, r.slownessAt = slowness, now
	s.statedAt = now
}

// Forget removes an incarnation.
func (b *Book) Forget(u upstream.Target, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s == nil {
		return
	}
	delete(s.records, u)
	s.summary.stale = true
	if len(s.records) == 0 {
		delete(b.services, service)
	}
}

// Estimate returns what is known of the pace of an upstream.
func (b *Book) Estimate(u upstream.Target, service string, now time.Time) Estimate {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := Estimate{Ratio: 1, Now: 1}
	s := b.services[service]
	if s == nil || s.records[u] == nil {
		return e
	}
	r := s.records[u]
	e.Event, e.Response, e.Now = r.events.value(now), r.responses.median, r.now(now)
	median := s.summarize(now)
	switch {
	case e.Event > 0:
		e.Samples, e.Age = r.events.samples(), age(r.eventsAt(), now)
		e.Ratio = weighted(e.Event, median.event, e.Samples, e.Age)
	case e.Response > 0:
		e.Samples, e.Age = r.responses.n, age(r.responses.at, now)
		e.Ratio = weighted(e.Response, median.response, e.Samples, e.Age)
	}
	return e
}

// MedianEvent returns the median over the upstreams of a service of the lasting time between
// two events; 0 if none is known. The minimum would be unreliable: it may belong to an
// upstream whose last few events arrived together.
func (b *Book) MedianEvent(service string, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s == nil {
		return 0
	}
	return s.summarize(now).event
}

// Uneven reports whether the upstreams of a service differ lastingly or state the slowness
// of their machines.
func (b *Book) Uneven(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s == nil {
		return false
	}
	stated := !s.statedAt.IsZero() && age(s.statedAt, now) <= statedMaxAge
	return stated || s.summarize(now).uneven
}

// record returns a service and the record of an upstream. The caller must hold mu.
func (b *Book) record(u upstream.Target, name string) (*service, *record) {
	s := b.services[name]
	if s == nil {
		s = &service{records: map[upstream.Target]*record{}}
		b.services[name] = s
	}
	r := s.records[u]
	if r == nil {
		if len(s.records) >= maxRecords {
			s.evict()
		}
		r = &record{}
		s.records[u] = r
	}
	return s, r
}

// evict removes the record that was observed the longest time ago.
func (s *service) evict() {
	var oldest upstream.Target
	var at time.Time
	for u, r := range s.records {
		if last := r.lastAt(); at.IsZero() || last.Before(at) {
			oldest, at = u, last
		}
	}
	delete(s.records, oldest)
}

// summarize returns the summary of a service, which is reused for summaryMaxAge.
func (s *service) summarize(now time.Time) summary {
	if !s.summary.stale && !s.summary.at.IsZero() && age(s.summary.at, now) < summaryMaxAge {
		return s.summary
	}
	var events, responses, sure []time.Duration
	for _, r := range s.records {
		if v := r.events.value(now); v > 0 && age(r.eventsAt(), now) <= evidenceHalfLife {
			events = append(events, v)
		}
		if r.responses.median > 0 && age(r.responses.at, now) <= evidenceHalfLife {
			responses = append(responses, r.responses.median)
		}
		if r.events.samples() >= minUnevenSamples {
			sure = append(sure, r.events.lasting)
		}
	}
	slices.Sort(events)
	slices.Sort(responses)
	slices.Sort(sure)
	s.summary = summary{at: now, event: quantile(events, medianQuantile), response: quantile(responses, medianQuantile)}
	if len(sure) >= minUnevenUpstreams {
		s.summary.uneven = float64(quantile(sure, upperQuartile)) >= unevenRatio*float64(quantile(sure, lowerQuartile))
	}
	return s.summary
}

const lowerQuartile, medianQuantile, upperQuartile = 0.25, 0.5, 0.75

// quantile returns the quantile q of sorted values; 0 if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

// weighted returns the ratio of a time to the usual one, closer to 1 the less and the older
// its evidence is.
func weighted(value, usual time.Duration, samples int, age time.Duration) float64 {
	if value <= 0 || usual <= 0 {
		return 1
	}
	weight := float64(samples) / float64(samples+weakSamples) * math.Exp2(-age.Seconds()/evidenceHalfLife.Seconds())
	return math.Pow(float64(value)/float64(usual), weight)
}

// age returns the time from at to now, or 0 if the clock was set back.
func age(at, now time.Time) time.Duration { return max(0, now.Sub(at)) }
