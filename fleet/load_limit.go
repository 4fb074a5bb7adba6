package fleet

import "time"

// loadLimit learns how many engines may load at once without slowing each other. The
// store of weights serves some number of loads at full speed; it is not configured, and
// it does not grow with the number of engines.
//
// Load pattern: engines are added to a service whose trainers publish versions as fast
// as they are loaded. With more loads at once than the store serves, none completes
// sooner, each takes longer, and all these engines refuse the model meanwhile.
type loadLimit struct {
	limit  float64       // zero before the first decision
	usual  time.Duration // time of a load that no other one slows, up to its report; zero if unknown
	slowed bool          // a slowed load was observed
}

const (
	// slowedRatio is the ratio of a load's time to the usual one from which the load
	// counts as slowed. Reports show the end of a load up to 0.2 s late.
	slowedRatio = 1.3
	// limitProbe is added to the limit for each load of the usual time that ran at the
	// limit while no slowed load was observed, limitIncrease afterwards.
	limitProbe    = 1.0
	limitIncrease = 0.1
)

// allowed returns how many engines may load at once, at most most. inProgress is the
// number that load now.
func (l *loadLimit) allowed(most, inProgress int) int {
	if l.limit == 0 || (l.usual == 0 && inProgress == 0) {
		l.limit = float64(most)
	}
	l.limit = min(l.limit, float64(most))
	return int(l.limit)
}

// isSlowed reports whether a load of the given time was slowed by others.
func (l *loadLimit) isSlowed(took time.Duration) bool {
	return l.usual > 0 && float64(took) >= slowedRatio*float64(l.usual)
}

// observe records a load of the given time, when concurrent loads, itself included, were
// in progress at its start.
func (l *loadLimit) observe(took time.Duration, concurrent int) {
	if l.usual == 0 || took < l.usual || concurrent == 1 {
		l.usual = took
	}
	switch {
	case l.isSlowed(took):
		l.slowed = true
		l.limit = max(minConcurrentLoads, min(l.limit, float64(concurrent)*float64(l.usual)/float64(took)))
	case concurrent < int(l.limit):
	case l.slowed:
		l.limit += limitIncrease
	default:
		l.limit += limitProbe
	}
}
