package batch

import (
	"cmp"
	"slices"
	"time"
)

// Standing is what the order of items depends on.
type Standing struct {
	Desired int // groups that the trainer waits for
	Groups  []GroupStanding
}

// GroupStanding is one group of a batch.
type GroupStanding struct {
	Name string
	Open int // items without an outcome
	// Cost is the expected number of tokens of its open items.
	Cost    int
	Longest int // expected tokens of its longest open item
	// First is set for groups that the trainer asked for before; it waits for
	// these whatever others are whole.
	First bool
}

// Wanted returns the groups of a batch in the order in which they should be
// finished, those that the trainer does not wait for last.
//
// Load pattern: a step's items come at one moment and exceed the free slots.
// Groups asked for again go first, then those with the least work left, so that
// the tenth which nobody waits for is the most costly one.
func Wanted(s Standing) []GroupStanding {
	groups := slices.Clone(s.Groups)
	slices.SortStableFunc(groups, func(a, b GroupStanding) int {
		return cmp.Or(compareBool(b.First, a.First), cmp.Compare(a.Longest, b.Longest), cmp.Compare(a.Cost, b.Cost))
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

// Candidate is an item that waits for an engine.
type Candidate struct {
	// StartBy is when it must be at an engine to be done when its batch is due, as
	// far as its length is known.
	StartBy time.Time
	Wanted  bool // its group is among those that the trainer waits for
	First   bool // its group was asked for before
}

// Before orders waiting items.
//
// Load pattern: more items than slots, lengths far apart, and a step that comes
// while the one before it still waits for engines. Items that the trainer waits
// for go first, and among them those with the least time to spare: the longest of
// a step, since the last one to end decides when a group is whole, but short ones
// of an earlier step after long ones of a later one.
func Before(a, b Candidate) int {
	return cmp.Or(compareBool(b.Wanted, a.Wanted), a.StartBy.Compare(b.StartBy), compareBool(b.First, a.First))
}
