package batch

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/pomelocross/pomelocross/forward"
)

// rewardState is the state of an item's reward call.
type rewardState struct {
	since    time.Time               // when the text became complete
	notUntil time.Time               // the call is not made before
	cancel   context.CancelCauseFunc // nil unless the call is running
	calls    int
	failures int    // error responses of upstreams
	value    string // signature of the response; empty until there is a valid one
}

// awaitReward records that the text is complete and its reward call can start.
func (s *itemState) awaitReward(now time.Time) {
	s.whole, s.reward = true, rewardState{since: now}
}

// RewardCandidate is the scheduling data of an item that waits for its reward.
type RewardCandidate struct {
	Required  bool // its group is among those that the trainer waits for
	GroupOpen int  // number of items of its group without a result
	Due       time.Time
	Since     time.Time // when its text became complete
}

// CompareRewards orders items that wait for their reward: the result is negative if the
// call of a starts before that of b.
//
// Load pattern: the items of a step end in a clump, and their reward calls exceed the
// slots of the reward service. A trainer uses complete groups only, so the groups that
// lack the fewest results come first.
func CompareRewards(a, b RewardCandidate) int {
	return cmp.Or(compareBool(b.Required, a.Required), cmp.Compare(a.GroupOpen, b.GroupOpen), a.Due.Compare(b.Due), a.Since.Compare(b.Since))
}

const (
	// rewardShareDivisor is the divisor of a service's slots that gives the reward calls
	// one instance has in flight. Several instances run batches whose rewards come from
	// the same service, and each sees the others' load late.
	rewardShareDivisor = 4
	// rewardReservedSlots is the number of slots that reward calls leave free on each
	// upstream for single requests, whose callers wait for milliseconds.
	rewardReservedSlots = 1
)

// RewardCapacity returns how many reward calls to a service with the given number of
// slots one instance may have in flight.
//
// Load pattern: hundreds of texts become complete at once, while an order desk sends
// single requests to the same service.
func RewardCapacity(slots int) int { return max(1, slots/rewardShareDivisor) }

// rewardVerdict is the decision on the response to a reward call.
type rewardVerdict int

const (
	rewardValid  rewardVerdict = iota
	rewardRepeat               // the call is repeated after a pause
	rewardFails                // the upstreams fail this call; the item is dead
)

// String returns the name of the verdict as in logs and metrics.
func (v rewardVerdict) String() string { return [...]string{"valid", "repeat", "fails"}[v] }

// judgeReward decides on the response to a reward call. failures is the number of error
// responses to the call so far, including this one, allowed the number after which the
// call is given up.
//
// Load pattern: a few calls fail at every upstream, and an upstream that is about to
// crash fails all calls. Only responses with an error count: lost responses and refusals
// say nothing about the call.
func judgeReward(r forward.Response, failures, allowed int) rewardVerdict {
	switch {
	case r.Header != nil && r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices && r.Signature != "":
		return rewardValid
	case failures >= allowed:
		return rewardFails
	}
	return rewardRepeat
}

// Pauses before a reward call is repeated. The pause doubles with each call.
const (
	minRewardPause = 100 * time.Millisecond
	maxRewardPause = time.Second
	// noSlotPause is the pause after no upstream had a free slot.
	noSlotPause = 50 * time.Millisecond
)

// rewardPause returns the pause after the given number of calls. sent reports whether the
// last one was sent to an upstream.
func rewardPause(calls int, sent bool) time.Duration {
	if !sent {
		return noSlotPause
	}
	const maxDoublings = 4
	return min(maxRewardPause, minRewardPause<<min(max(0, calls-1), maxDoublings))
}
