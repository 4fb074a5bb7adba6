package route

import (
	"github.com/cespare/xxhash/v2"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/upstream"
)

// prefixBytes is the number of leading bytes of a prompt that identify its prefix.
const prefixBytes = 256

// Request holds the properties of a request that affect the choice of upstream.
type Request struct {
	Service string
	Domain  string // failure domain of the instance that chooses
	// Class selects the preference for expensive or cheap upstreams; empty prefers
	// neither.
	Class contract.Class
	// Prefix identifies the start of the prompt, as returned by PrefixOf; 0 for
	// a request without a prompt.
	Prefix uint64
	// MinWeightVersion is the oldest acceptable weight version; 0 accepts any.
	MinWeightVersion int64
	// Exclude lists the names of upstreams that were already tried.
	Exclude []string
}

// PrefixOf returns the identifier of a prompt's prefix: a hash of its first 256
// bytes, never 0 unless the prompt is empty.
func PrefixOf(prompt string) uint64 {
	if prompt == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)]))
}

// Candidate is an upstream with this instance's local state for it.
type Candidate struct {
	upstream.Upstream
	InFlight int // this instance's requests in flight
	Slots    int // this instance's share of the upstream's slots
	Capacity int // slots of the upstream over all instances; 0 if unknown
	// HoldsPrefix reports whether the upstream was recently sent the request's
	// prefix.
	HoldsPrefix bool
	// Ejected reports whether the upstream is ejected for failures or slowness and
	// gets no new requests.
	Ejected bool
}
