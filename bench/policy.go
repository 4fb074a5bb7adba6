package bench

import (
	"math/rand/v2"

	"github.com/pomelocross/pomelocross/route"
)

// policy configures how requests are ordered, slots shared and upstreams chosen.
type policy struct {
	Name        string
	fifo        bool // serve requests in order of arrival
	fixedShares bool // equal slot shares, no lending between failure domains
	chooser     func(*rand.Rand) *route.Chooser
}

func deterministic(newChooser func() *route.Chooser) func(*rand.Rand) *route.Chooser {
	return func(*rand.Rand) *route.Chooser { return newChooser() }
}

// policies lists the policy used in production, followed by the baselines that it is
// compared with.
var policies = []policy{
	{Name: "pomelocross", chooser: deterministic(route.Default)},
	{Name: "fixed-shares", fixedShares: true, chooser: deterministic(route.Default)},
	{Name: "no-affinity", chooser: deterministic(route.WithoutAffinity)},
	{Name: "least-in-flight", chooser: deterministic(route.FewestInFlight)},
	{Name: "round-robin", chooser: deterministic(route.RoundRobin)},
	{Name: "random", chooser: route.Random},
	{Name: "first-come", fifo: true, fixedShares: true, chooser: deterministic(route.FewestInFlight)},
}
