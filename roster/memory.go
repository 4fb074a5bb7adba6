package roster

import (
	"cmp"
	"slices"
)

// Memory is the KV cache memory that a request uses on an engine, in tokens.
type Memory struct {
	Held   int // in use at the start: the prompt and any text to continue from
	Growth int // expected to be generated until the end
}

// requestMemory is the memory of a running request.
type requestMemory struct {
	Memory
	generated int // tokens since the start
}

// overrunDivisor sets the minimum of a request's expected growth: the tokens it has
// generated divided by this. The minimum applies near and beyond the expected length.
const overrunDivisor = 4

// remaining returns the memory of the rest of the request: the tokens held now and
// those still expected.
func (m requestMemory) remaining() Memory {
	return Memory{Held: m.Held + m.generated, Growth: max(m.Growth-m.generated, m.generated/overrunDivisor)}
}

// peakMemory returns the peak of the total memory that requests will use from now on.
// All grow at the same rate, since an engine generates one token of each per step, and
// free their memory when they end. It sorts requests by growth.
//
// Load pattern: the items of a training step arrive at once, and a few of them are ten
// times as long as most. Short items end long before the long ones have grown.
// Admission by the sum of the final sizes would reject them needlessly; the peak does
// not.
func peakMemory(requests []Memory) int {
	slices.SortFunc(requests, func(a, b Memory) int { return cmp.Compare(b.Growth, a.Growth) })
	peak, held := 0, 0
	for n, m := range requests { // requests[:n+1] are still running when m ends
		held += m.Held
		peak = max(peak, held+(n+1)*m.Growth)
	}
	return peak
}

// hasMemory reports whether a request fits in limit tokens beside the running requests
// of this instance; a limit of 0 means no limit. An upstream without requests of this
// instance accepts any request, since waiting would not free more memory.
func (s *state) hasMemory(m Memory, limit int) bool {
	if limit == 0 || s.ownRequests == 0 {
		return true
	}
	requests := make([]Memory, 0, len(s.memoryByRequest)+1)
	for _, running := range s.memoryByRequest {
		requests = append(requests, running.remaining())
	}
	return peakMemory(append(requests, m)) <= limit
}
