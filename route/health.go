package route

import (
	"slices"
	"time"
)

const (
	// ejectAfterFailures is the number of consecutive failures after which an
	// upstream is ejected.
	ejectAfterFailures = 3
	// slowFactor is the multiple of the median time to first token above which an
	// upstream counts as slow.
	slowFactor = 5
	// minSlownessSamples is the number of responses needed before an upstream can
	// count as slow or enter the median.
	minSlownessSamples = 5
	// ewmaWeight is the weight of the newest sample in the moving average.
	ewmaWeight = 0.2
	// minInUseFraction is the minimum fraction of upstreams that stay in use.
	minInUseFraction = 0.5

	// maxSlotLimit caps the doubling of slotLimit. It exceeds any real slot count,
	// so an upstream at this limit is fully readmitted.
	maxSlotLimit = 1 << 16

	minEjection = 2 * time.Second
	maxEjection = time.Minute
)

// Observation is the outcome of one attempt at an upstream.
type Observation struct {
	Failed bool
	// FirstToken is the time from sending the request to its first token; 0 if
	// there was none.
	FirstToken time.Duration
}

// health tracks the recent outcomes of one upstream for outlier ejection.
type health struct {
	meanFirstToken float64 // moving average in seconds
	samples        int
	failures       int           // consecutive
	ejectedUntil   time.Time     // zero while the upstream is in use
	ejectionTime   time.Duration // duration of the last ejection
	// slotLimit bounds the slots in use at a readmitted upstream; 0 means no bound.
	slotLimit int
}

// observe records one attempt and reports whether the upstream should be ejected.
// median is the median of meanFirstToken over all upstreams with enough samples,
// in seconds; 0 if unknown.
func (h *health) observe(o Observation, median float64) bool {
	if o.Failed {
		h.failures++
		return h.failures >= ejectAfterFailures
	}
	h.failures = 0
	h.slotLimit = min(2*h.slotLimit, maxSlotLimit)
	if o.FirstToken <= 0 {
		return false
	}
	seconds := o.FirstToken.Seconds()
	if h.samples == 0 {
		h.meanFirstToken = seconds
	}
	h.samples++
	h.meanFirstToken += ewmaWeight * (seconds - h.meanFirstToken)
	return h.samples >= minSlownessSamples && median > 0 && h.meanFirstToken > slowFactor*median
}

// eject ejects the upstream. Each ejection lasts twice as long as the one before,
// up to maxEjection.
func (h *health) eject(now time.Time) {
	h.ejectionTime = min(max(minEjection, 2*h.ejectionTime), maxEjection)
	h.ejectedUntil = now.Add(h.ejectionTime)
}

// readmit ends an ejection. The upstream may run one request at first; the limit
// doubles with each successful attempt.
func (h *health) readmit() {
	*h = health{ejectionTime: h.ejectionTime, slotLimit: 1}
}

// medianFirstToken returns the median of the mean time to first token over
// upstreams with enough samples, in seconds; 0 if there are none.
func medianFirstToken(all map[string]*health) float64 {
	var means []float64
	for _, h := range all {
		if h.samples >= minSlownessSamples {
			means = append(means, h.meanFirstToken)
		}
	}
	if len(means) == 0 {
		return 0
	}
	slices.Sort(means)
	return means[len(means)/2]
}
