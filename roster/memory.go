package roster

import (
	"cmp"
	"slices"
)

// Memory is what a request takes of an upstream's KV memory, in tokens.
type Memory struct {
	Held   int // when it begins: its prompt and the text that it goes on from
	Growth int // expected to come until it ends
}

// hold is the memory of a request that runs.
type hold struct {
	Memory
	grown int // tokens made so far
}

// overrun is the part of what a request has made that it is expected to go on for,
// once it is longer than was expected.
const overrun = 4

// now returns the memory as if the request began now.
func (h hold) now() Memory {
	return Memory{Held: h.Held + h.grown, Growth: max(h.Growth-h.grown, h.grown/overrun)}
}

// peak returns the most memory that requests take together from now on. They grow
// at one pace, since an engine makes a token of each at every step, and free all
// they hold at their end.
//
// Load pattern: a step's items come at once and a few of them are ten times as long
// as most. Short ones are over long before the long ones have grown, so what all
// will take in the end does not keep them out.
func peak(requests []Memory) int {
	slices.SortFunc(requests, func(a, b Memory) int { return cmp.Compare(b.Growth, a.Growth) })
	most, held := 0, 0
	for n, m := range requests { // those up to n still run when m ends
		held += m.Held
		most = max(most, held+(n+1)*m.Growth)
	}
	return most
}

// room reports whether a request fits beside those of this instance. An upstream
// without any takes whatever comes, since nothing will fit better later.
func (s *state) room(m Memory, limit int) bool {
	if limit == 0 || s.mine == 0 {
		return true
	}
	requests := make([]Memory, 0, len(s.holds)+1)
	for _, h := range s.holds {
		requests = append(requests, h.now())
	}
	return peak(append(requests, m)) <= limit
}
