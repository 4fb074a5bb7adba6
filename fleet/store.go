package fleet

import (
	"math"
	"time"
)

const (
	// contentionRatio is the minimum ratio of a load's duration to that of the fastest
	// load at which the weight store counts as overloaded.
	contentionRatio = 1.5
	// capacitySmoothing is the smoothing factor of the moving average of capacity.
	capacitySmoothing = 0.1
	// capacityHeadroom is the factor by which concurrent loads may exceed the
	// estimate, so that a store that has become faster is detected.
	capacityHeadroom = 1.2
	// minStoreCapacity is the lowest limit for concurrent loads.
	minStoreCapacity = 2
)

// storeEstimate estimates from observed loads how many concurrent loads the
// weight store serves at full speed.
type storeEstimate struct {
	fastest  time.Duration // duration of the fastest load; zero before the first
	capacity float64       // concurrent loads at full speed; 0 until a slowed load is observed
}

// observe updates the estimate with a load of duration d that was ordered while
// concurrent engines were unavailable.
func (e *storeEstimate) observe(d time.Duration, concurrent int) {
	if d <= 0 || concurrent <= 0 {
		return
	}
	if e.fastest == 0 || d < e.fastest {
		e.fastest = d
	}
	ratio := float64(d) / float64(e.fastest)
	switch {
	case ratio >= contentionRatio && e.capacity == 0:
		e.capacity = float64(concurrent) / ratio
	case ratio >= contentionRatio:
		e.capacity += capacitySmoothing * (float64(concurrent)/ratio - e.capacity)
	case e.capacity > 0:
		e.capacity = max(e.capacity, float64(concurrent))
	}
}

// limit reduces a number of concurrent loads to the estimated capacity of the
// store.
func (e *storeEstimate) limit(loads int) int {
	if e.capacity == 0 {
		return loads
	}
	return min(loads, max(minStoreCapacity, int(math.Ceil(e.capacity*capacityHeadroom))))
}
