package fleet

import (
	"math"
	"time"
)

const (
	// slowed is how much longer than the shortest a load must take to show that
	// loads wait for each other at the weight store.
	slowed = 1.5
	// storeWeight is the weight of the newest load in the estimate.
	storeWeight = 0.1
	// storeSlack is how far beyond the estimate loads are tried, so that a store
	// that has become faster is found out.
	storeSlack = 1.2
	// minStore is the least number of loads that are tried at once.
	minStore = 2
)

// storeEstimate is how many loads at once the weight store carries at full
// speed, as far as loads have shown it.
type storeEstimate struct {
	shortest time.Duration // of the loads seen; zero before the first
	carries  float64       // 0 while no load was slowed
}

// learn takes in a load that took d while among engines were away.
func (e *storeEstimate) learn(d time.Duration, among int) {
	if d <= 0 || among <= 0 {
		return
	}
	if e.shortest == 0 || d < e.shortest {
		e.shortest = d
	}
	ratio := float64(d) / float64(e.shortest)
	switch {
	case ratio >= slowed && e.carries == 0:
		e.carries = float64(among) / ratio
	case ratio >= slowed:
		e.carries += storeWeight * (float64(among)/ratio - e.carries)
	case e.carries > 0:
		e.carries = max(e.carries, float64(among))
	}
}

// limit cuts a number of loads at once down to what the store carries.
func (e *storeEstimate) limit(most int) int {
	if e.carries == 0 {
		return most
	}
	return min(most, max(minStore, int(math.Ceil(e.carries*storeSlack))))
}
