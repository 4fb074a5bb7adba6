package route

import (
	"slices"
	"time"
)

const (
	// failuresToEject is how many failures in a row take an upstream out.
	failuresToEject = 3
	// slowFactor is how many times the median time to the first token an
	// upstream may need before it counts as slow.
	slowFactor = 5
	// samplesToJudge is how many answers a judgement of slowness needs.
	samplesToJudge = 5
	// smoothing is the part of a new time in the running mean.
	smoothing = 0.2
	// keptShare is the least share of upstreams that stays in use.
	keptShare = 0.5

	// maxLimit is where a returned upstream counts as wholly back.
	maxLimit = 1 << 16

	firstEjection = 2 * time.Second
	maxEjection   = time.Minute
)

// Observation is what one attempt showed of its upstream.
type Observation struct {
	Failed bool
	// FirstToken is the time from sending to the first token; 0 when none came.
	FirstToken time.Duration
}

// health is what is known of one upstream's recent answers.
type health struct {
	mean     float64 // seconds to the first token
	samples  int
	failures int           // in a row
	ejected  time.Time     // until when; zero when in use
	pause    time.Duration // of the last ejection
	// limit bounds the slots of an upstream that has come back; 0 is unbounded.
	limit int
}

// observe takes in one attempt and reports whether the upstream should go.
// median is the median mean of all judged upstreams in seconds, 0 if unknown.
func (h *health) observe(o Observation, median float64) bool {
	if o.Failed {
		h.failures++
		return h.failures >= failuresToEject
	}
	h.failures = 0
	h.limit = min(2*h.limit, maxLimit)
	if o.FirstToken <= 0 {
		return false
	}
	seconds := o.FirstToken.Seconds()
	if h.samples == 0 {
		h.mean = seconds
	}
	h.samples++
	h.mean += smoothing * (seconds - h.mean)
	return h.samples >= samplesToJudge && median > 0 && h.mean > slowFactor*median
}

// eject takes the upstream out; each ejection lasts twice as long as the last.
func (h *health) eject(now time.Time) {
	h.pause = min(max(firstEjection, 2*h.pause), maxEjection)
	h.ejected = now.Add(h.pause)
}

// readmit lets the upstream take one request; its share doubles with each answer.
func (h *health) readmit() {
	*h = health{pause: h.pause, limit: 1}
}

// medianOf returns the median time to the first token over judged upstreams.
func medianOf(all map[string]*health) float64 {
	var means []float64
	for _, h := range all {
		if h.samples >= samplesToJudge {
			means = append(means, h.mean)
		}
	}
	if len(means) == 0 {
		return 0
	}
	slices.Sort(means)
	return means[len(means)/2]
}
