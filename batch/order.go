package batch

import (
	"cmp"
	"slices"
	"time"
)

// BatchState is the state of a batch that determines the order of its groups.
type BatchState struct {
	Desired int // number of complete groups that the trainer waits for
	Groups  []GroupState
}

// GroupState is the state of one group of a batch.
type GroupState struct {
	Name string
	Open int // number of items without a result
	// TotalTokens is the expected number of tokens of its open items.
	TotalTokens int
	MaxTokens   int // expected number of tokens of its longest open item
	// Resubmitted is set if the group was part of an earlier batch. The trainer
	// waits for such groups regardless of how many others are complete.
	Resubmitted bool
}

// OrderGroups returns the groups of a batch in the order in which they should be
// completed. Groups that the trainer does not wait for come last.
//
// Load pattern: all items of a step arrive at once and exceed the free slots.
// Resubmitted groups come first, then those with the least remaining work, so that
// the tenth of the groups that the trainer does not wait for is the most expensive.
func OrderGroups(s BatchState) []GroupState {
	groups := slices.Clone(s.Groups)
	slices.SortStableFunc(groups, func(a, b GroupState) int {
		return cmp.Or(compareBool(b.Resubmitted, a.Resubmitted), cmp.Compare(a.MaxTokens, b.MaxTokens), cmp.Compare(a.TotalTokens, b.TotalTokens))
	})
	return groups
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// Candidate is the scheduling data of a queued item.
type Candidate struct {
	// LatestStart is when the item must start to be complete by the due time of its
	// batch, as estimated from its expected length, less the lag of its trainer.
	LatestStart time.Time
	Required    bool // its group is among those that the trainer waits for
	Resubmitted bool // its group was part of an earlier batch
}

// unneededSlack is added to the slack of an item that the trainer does not wait for. It exceeds
// the maximum age of batches.
const unneededSlack = time.Hour

// CompareCandidates orders queued items: the result is negative if a starts before b,
// positive if it starts after b and 0 if they are equivalent.
//
// Load pattern: more items than slots, very different lengths, and a step that arrives
// while items of the previous one are still queued. Items that the trainer waits for
// come first, and among them those with the earliest LatestStart. Within a step these
// are the longest items, since a group is complete only when its last item finishes.
// Short items of an earlier step come after long items of a later one.
func CompareCandidates(a, b Candidate) int {
	return cmp.Or(compareBool(b.Required, a.Required), a.LatestStart.Compare(b.LatestStart), compareBool(b.Resubmitted, a.Resubmitted))
}
