package pace

import (
	"slices"
	"time"
)

// record is what was observed of one incarnation.
type record struct {
	events     events
	learnedAt  time.Time // when another instance last stated the interval
	shared     shared
	responses  responses
	slowness   float64 // of the machine, as stated; 0 if not stated
	slownessAt time.Time
}

// now returns the slowness of the machine at this moment; 1 if unknown.
func (r *record) now(now time.Time) float64 {
	if r.slowness > 0 && age(r.slownessAt, now) <= nowMaxAge {
		return r.slowness
	}
	return r.events.now(now)
}

// lastAt returns the time of the last observation.
func (r *record) lastAt() time.Time {
	at := r.events.lastAt()
	for _, t := range []time.Time{r.responses.at, r.slownessAt, r.learnedAt} {
		if t.After(at) {
			at = t
		}
	}
	return at
}

const (
	// windowLength is the length of the time windows over which intervals are averaged. The
	// intervals of one window are not independent: a disturbance hits all streams alike.
	windowLength = 250 * time.Millisecond
	// maxWindows is the number of windows whose means are kept. They cover more than twice the time for
	// which an upstream turns slow.
	maxWindows = 64
	// recentWindows is the number of last windows that must all be slow before an upstream
	// counts as slowed down.
	recentWindows = 4
	// slowedRatio is the ratio to the lasting interval from which a window is slow.
	slowedRatio = 1.7
	// slowedSpan is the time that recent windows must cover. Disturbances of a shared machine
	// take less.
	slowedSpan = time.Second
	// slowedHold is how long a slow-down is assumed without further events. Then the upstream
	// is tried again.
	slowedHold = 5 * time.Second
)

// window is the sum of the intervals that ended within windowLength.
type window struct {
	start, end time.Time // first and last observation
	sum        time.Duration
	n          int
}

func (w window) mean() time.Duration { return w.sum / time.Duration(max(1, w.n)) }

// events estimates the time between two events of the streams of an upstream: the median of
// the means of time windows, unless the last windows show a slow-down.
type events struct {
	recent []window        // the last windows, oldest first; the last one is open
	means  []time.Duration // of closed windows, oldest first
	own    time.Duration   // the median of the windows of this instance
	// learned is what other instances state; zero if nothing is known.
	learned evidence
	lasting time.Duration // from own and learned windows
}

// evidence is a lasting interval and the number of windows behind it.
type evidence struct {
	event   time.Duration
	samples int
}

// maxLearnedSamples is the number of windows that statements of others count as at most, so
// that the events that this instance sees soon weigh more.
const maxLearnedSamples = 8

// learn adds a statement of another instance.
func (e *events) learn(stated evidence) {
	stated.samples = min(stated.samples, maxLearnedSamples)
	total := e.learned.samples + stated.samples
	sum := time.Duration(e.learned.samples)*e.learned.event + time.Duration(stated.samples)*stated.event
	e.learned = evidence{event: sum / time.Duration(total), samples: min(total, maxLearnedSamples)}
	e.update()
}

// update computes the lasting interval.
func (e *events) update() {
	windows := e.closedMeans()
	slices.Sort(windows)
	e.own = quantile(windows, medianQuantile)
	for range e.learned.samples {
		windows = append(windows, e.learned.event)
	}
	slices.Sort(windows)
	e.lasting = quantile(windows, medianQuantile)
}

// observe adds an interval that ended now.
func (e *events) observe(interval time.Duration, now time.Time) {
	opened := len(e.recent) == 0 || !e.recent[len(e.recent)-1].covers(now)
	if opened {
		e.open(now)
	}
	w := &e.recent[len(e.recent)-1]
	w.sum, w.n, w.end = w.sum+interval, w.n+1, now
	if opened || len(e.means) < minUnevenSamples {
		e.update()
	}
}

// open closes the last window, if any, and begins one.
func (e *events) open(now time.Time) {
	if n := len(e.recent); n > 0 {
		if len(e.means) == maxWindows {
			e.means = slices.Delete(e.means, 0, 1)
		}
		e.means = append(e.means, e.recent[n-1].mean())
		if n == recentWindows {
			e.recent = slices.Delete(e.recent, 0, 1)
		}
	}
	e.recent = append(e.recent, window{start: now})
}

// covers reports whether an observation now belongs to the window.
func (w window) covers(now time.Time) bool {
	since := now.Sub(w.start)
	return since >= 0 && since < windowLength
}

// closedMeans returns the means of the closed windows, and of the open one while there are
// few.
func (e *events) closedMeans() []time.Duration {
	means := slices.Clone(e.means)
	if len(means) < minUnevenSamples && len(e.recent) > 0 {
		means = append(means, e.recent[len(e.recent)-1].mean())
	}
	return means
}

// windows returns the number of windows with events of this instance.
func (e *events) windows() int {
	if len(e.recent) == 0 {
		return 0
	}
	return len(e.means) + 1
}

// samples returns the number of windows, with those learned.
func (e *events) samples() int { return e.windows() + e.learned.samples }

// lastAt returns the time of the last event; zero if there was none.
func (e *events) lastAt() time.Time {
	if len(e.recent) == 0 {
		return time.Time{}
	}
	return e.recent[len(e.recent)-1].end
}

// value returns the lasting interval, or that of the last windows while the upstream is
// slowed down.
func (e *events) value(now time.Time) time.Duration {
	if slowed := e.slowed(now); slowed > 0 {
		return slowed
	}
	return e.lasting
}

// slowed returns the least mean of the last windows if all are slow and cover more than a
// disturbance; otherwise 0.
func (e *events) slowed(now time.Time) time.Duration {
	if len(e.recent) < recentWindows || age(e.lastAt(), now) > slowedHold {
		return 0
	}
	least := e.recent[0].mean()
	for _, w := range e.recent[1:] {
		least = min(least, w.mean())
	}
	// The first interval of a window began before it.
	span := e.lastAt().Sub(e.recent[0].start) + e.recent[0].mean()
	if float64(least) <= slowedRatio*float64(e.lasting) || span < slowedSpan {
		return 0
	}
	return least
}

// now returns the ratio of the last window to the lasting interval; 1 if it is too old or
// nothing to compare it with is known.
func (e *events) now(now time.Time) float64 {
	if len(e.recent) < recentWindows || e.lasting <= 0 || age(e.lastAt(), now) > nowMaxAge {
		return 1
	}
	return float64(e.recent[len(e.recent)-1].mean()) / float64(e.lasting)
}

// eventsAt returns the time of the last evidence for the interval.
func (r *record) eventsAt() time.Time {
	if r.learnedAt.After(r.events.lastAt()) {
		return r.learnedAt
	}
	return r.events.lastAt()
}

// maxResponses is the number of plain responses kept of an upstream.
const maxResponses = 16

// responses holds the times of the last plain responses of an upstream.
type responses struct {
	last   [maxResponses]time.Duration // a ring
	n      int                         // number of valid times in last
	next   int
	median time.Duration
	at     time.Time // of the last response
}

// observe adds the time of a response.
func (r *responses) observe(took time.Duration, now time.Time) {
	r.last[r.next] = took
	r.next = (r.next + 1) % maxResponses
	r.n = min(r.n+1, maxResponses)
	sorted := r.last // a copy
	slices.Sort(sorted[:r.n])
	r.median, r.at = quantile(sorted[:r.n], medianQuantile), now
}
