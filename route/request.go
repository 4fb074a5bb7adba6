package route

import (
	"github.com/cespare/xxhash/v2"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/upstream"
)

// prefixBytes is how much of a prompt's start identifies its prefix.
const prefixBytes = 256

// Request is what the choice of an upstream depends on.
type Request struct {
	Service string
	Domain  string // of the deciding instance
	// Class decides between dear and cheap upstreams; empty prefers neither.
	Class contract.Class
	// Prefix identifies the start of the prompt, as PrefixOf returns it; 0
	// when it has none.
	Prefix uint64
	// MinWeightVersion is the oldest weight version that may produce the
	// answer; 0 accepts any.
	MinWeightVersion int64
	// Exclude names upstreams already tried.
	Exclude []string
}

// PrefixOf returns the identifier of a prompt's start. Prompts that share their
// first 256 bytes share it.
func PrefixOf(prompt string) uint64 {
	if prompt == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)]))
}

// Candidate is an upstream with this instance's own knowledge of it.
type Candidate struct {
	upstream.Upstream
	InFlight int // requests of this instance
	Slots    int // this instance's share of the upstream's slots
	Capacity int // slots of the upstream over all instances; 0 when not known
	// HoldsPrefix tells that the upstream was lately sent the request's prefix.
	HoldsPrefix bool
	// Ejected tells that the upstream failed or was slow and gets no new work.
	Ejected bool
}
