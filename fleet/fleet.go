// Package fleet decides on the upstreams of one failure domain: which weights
// they load and how many of them run. Decisions are pure; whoever holds the
// domain's upstream role carries them out.
package fleet

import (
	"github.com/pomelocross/pomelocross/upstream"
)

// MaxSwapShare is the part of a domain's engines that may load weights at once.
const MaxSwapShare = 0.34

// Swap is the decision that an engine shall load a weight version.
type Swap struct {
	Upstream      string
	Address       string
	Model         string
	WeightVersion int64
}

// Swaps returns the engines to order next, given the wanted version. Engines
// that already load count against the share that may be away at once. What an
// engine says it runs is believed over what was ordered.
func Swaps(engines []upstream.Upstream, model string, wanted int64) []Swap {
	room := max(1, int(float64(len(engines))*MaxSwapShare))
	for _, e := range engines {
		if e.Load.Loading > 0 {
			room--
		}
	}
	var swaps []Swap
	for _, e := range engines {
		behind := e.Load.WeightVersion > 0 && e.Load.WeightVersion < wanted
		if room <= 0 || e.Leaving || !behind || e.Load.Loading > 0 {
			continue
		}
		room--
		swaps = append(swaps, Swap{Upstream: e.Name, Address: e.Address, Model: model, WeightVersion: wanted})
	}
	return swaps
}
