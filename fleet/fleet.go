// Package fleet decides on the upstreams of one failure domain: which weights
// they load and how many of them run. Decisions are pure; whoever holds the
// domain's upstream role carries them out.
package fleet

import (
	"github.com/pomelocross/pomelocross/upstream"
)

// staying returns the upstreams that are not being taken away.
func staying(all []upstream.Upstream) []upstream.Upstream {
	kept := make([]upstream.Upstream, 0, len(all))
	for _, u := range all {
		if !u.Leaving {
			kept = append(kept, u)
		}
	}
	return kept
}
