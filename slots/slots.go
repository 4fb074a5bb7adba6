// Package slots shares the concurrency of engines among the instances of a
// failure domain. The holder of the domain's upstream role grants shares by
// demand for a bounded time; instances that do not hear from it fall back to a
// fixed share that all compute alike.
//
// The timing of one instance, from the moment it sent the last report that was
// answered: until Term it uses the granted share; then the smaller of that and
// its fixed share; from FallbackAfter on its fixed share. A holder counts an
// instance as silent from Term after it last heard that its answer was applied,
// keeps the fixed share of silent instances free, and so has taken back what
// others got of it before the silent instance uses it again.
package slots

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timing is the same at all instances of a deployment.
type Timing struct {
	// Term is how long a granted share is valid after its report was sent.
	Term time.Duration
	// Interval is the time between two reports of an instance.
	Interval time.Duration
	// CallTimeout bounds a report; a later answer is not used.
	CallTimeout time.Duration
}

// TimingFor returns the timing for leases of a term. A holder renews its lease
// each third of the term, so shares that end within a third end before it.
func TimingFor(leaseTerm time.Duration) Timing {
	term := leaseTerm / 3
	return Timing{Term: term, Interval: term / 8, CallTimeout: term / 4}
}

// FallbackAfter is when a silent instance uses its fixed share. It covers a term
// in which a report was heard whose answer got lost, a term in which the holder
// notices, a term in which shares of others run out, and calls.
func (t Timing) FallbackAfter() time.Duration { return 3*t.Term + 2*t.CallTimeout }

// Engine is an upstream with the requests it runs at once.
type Engine struct {
	Name  string
	Slots int
}

// Shares are slots by engine.
type Shares map[string]int

// Total returns the slots over all engines.
func (s Shares) Total() int {
	sum := 0
	for _, n := range s {
		sum += n
	}
	return sum
}

// Fixed returns the share of the member at a place among the sorted members.
// The shares of all members add up to each engine's slots; remainders go to
// different members at different engines.
func FixedShares(engines []Engine, place, members int) Shares {
	shares := make(Shares, len(engines))
	for _, e := range engines {
		turn := (uint64(place) + xxhash.Sum64String(e.Name)) % uint64(members)
		shares[e.Name] = e.Slots / members
		if int(turn) < e.Slots%members {
			shares[e.Name]++
		}
	}
	return shares
}

// Report is what an instance tells the holder about one service.
type Report struct {
	Service string
	Member  string
	// Applied is the number of the last answer whose shares are in use; 0 when
	// none of this holder's is.
	Applied int64
	// Demand is how many slots the instance could use: waiting and running.
	Demand int
	// Waiting is the part of Demand that is not running.
	Waiting  int
	InFlight Shares
}

// Quiet reports whether the instance neither runs nor waits for anything.
func (r Report) Idle() bool { return r.Demand == 0 && len(r.InFlight) == 0 }

// Answer grants shares.
type Answer struct {
	Number int64
	// Base is the number of the answer that this one changes; 0 when Shares are
	// whole. Otherwise Shares has only engines whose share differs.
	Base   int64
	Shares Shares
	// Versions are the weight versions that engines with a share say they run.
	Versions map[string]int64
}
