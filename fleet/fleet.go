// Package fleet decides which weights the upstreams of one failure domain load
// and how many upstreams run. It does no I/O: the instance that holds the
// domain's upstream role sends the resulting orders.
package fleet

import (
	"github.com/pomelocross/pomelocross/upstream"
)

// notLeaving returns the upstreams that are not being removed.
func notLeaving(all []upstream.Upstream) []upstream.Upstream {
	kept := make([]upstream.Upstream, 0, len(all))
	for _, u := range all {
		if !u.Leaving {
			kept = append(kept, u)
		}
	}
	return kept
}
