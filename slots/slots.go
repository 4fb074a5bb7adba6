// Package slots divides the concurrency of engines among the instances of a
// failure domain. The holder of the domain's upstream role grants shares by
// demand for a limited time. Instances without a valid grant fall back to a fixed
// share that every instance computes in the same way.
//
// An instance measures the age of its grant from when it sent the last answered
// report. Until Term it uses the granted share, then the smaller of that and its
// fixed share, and from FallbackAfter on its fixed share. The allocator treats an
// instance as unconfirmed once Term has passed since the instance last confirmed
// that it applied an answer. It grants nothing from the fixed share of an
// unconfirmed instance, and FallbackAfter is long enough for earlier grants from
// that share to expire before the instance falls back to it.
package slots

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timing holds the intervals and timeouts of the protocol. It must be the same at
// all instances of a deployment.
type Timing struct {
	// Term is how long a granted share is valid, from when its report was sent.
	Term time.Duration
	// Interval is the time between two reports of an instance.
	Interval time.Duration
	// CallTimeout is the timeout of a report; later answers are ignored.
	CallTimeout time.Duration
	// Hold is how long slots may stay in use after the last report of a member whose
	// process has ended; 0 if their use ends with the process.
	Hold time.Duration
}

// TimingFor returns the timing for a lease term. The holder renews its lease every
// third of the term, so a grant of one third expires before the lease does.
func TimingFor(leaseTerm time.Duration) Timing {
	term := leaseTerm / 3
	return Timing{Term: term, Interval: term / 8, CallTimeout: term / 4}
}

// FallbackAfter returns how long after its last answered report an instance starts
// to use its fixed share. It covers a term in which a report arrived but its answer
// was lost, a term until the allocator treats the instance as unconfirmed, a term
// until the grants of others expire, and two calls.
func (t Timing) FallbackAfter() time.Duration { return 3*t.Term + 2*t.CallTimeout }

// Engine is an upstream and the number of requests it runs concurrently.
type Engine struct {
	Name  string
	Slots int
}

// SortEngines sorts engines by name.
func SortEngines(engines []Engine) {
	slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })
}

// Shares maps engine names to numbers of slots.
type Shares map[string]int

// Total returns the sum of the slots over all engines.
func (s Shares) Total() int {
	sum := 0
	for _, n := range s {
		sum += n
	}
	return sum
}

// FixedShares returns the fixed share of the member at index among the sorted
// members. The fixed shares of all members add up to each engine's slots;
// remainders go to different members on different engines.
func FixedShares(engines []Engine, index, members int) Shares {
	shares := make(Shares, len(engines))
	for _, e := range engines {
		rotated := (uint64(index) + xxhash.Sum64String(e.Name)) % uint64(members)
		shares[e.Name] = e.Slots / members
		if int(rotated) < e.Slots%members {
			shares[e.Name]++
		}
	}
	return shares
}

// Report is the state of one service at an instance, sent to the role holder.
type Report struct {
	Service string
	Member  string
	// Incarnation identifies the member's process. It is used only if slots stay in use
	// after the end of a process (Timing.Hold).
	Incarnation string
	// Applied is the number of the answer whose shares the instance uses; 0 if they
	// are not from this role holder.
	Applied int64
	// Demand is the number of slots the instance could use: its waiting and running
	// requests.
	Demand int
	// Waiting is the number of requests in Demand that are not running.
	Waiting  int
	InFlight Shares
	// Wanted lists the engines on which requests of the instance found no slot; slots beyond
	// those in use are granted only there. Empty if requests may run on any engine.
	Wanted []string
}

// Idle reports whether the instance has no waiting and no running requests.
func (r Report) Idle() bool { return r.Demand == 0 && len(r.InFlight) == 0 }

// Answer is the reply to a Report and grants shares.
type Answer struct {
	Number int64
	// Base is the number of the answer that this one is a delta to; 0 if Shares is
	// complete. In a delta, Shares has only the engines whose share differs.
	Base   int64
	Shares Shares
	// Versions are the weight versions reported by the engines with a share.
	Versions map[string]int64
}
