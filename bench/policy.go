package bench

import (
	"math/rand/v2"

	"github.com/pomelocross/pomelocross/route"
)

// policy is one way to order requests, share slots and choose upstreams.
type policy struct {
	Name    string
	arrival bool // first come, first served
	fixed   bool // equal shares, no lending
	chooser func(*rand.Rand) *route.Chooser
}

func plain(c func() *route.Chooser) func(*rand.Rand) *route.Chooser {
	return func(*rand.Rand) *route.Chooser { return c() }
}

// policies are the one in use, first, and those it is compared with.
var policies = []policy{
	{Name: "pomelocross", chooser: plain(route.Default)},
	{Name: "fixed-shares", fixed: true, chooser: plain(route.Default)},
	{Name: "no-affinity", chooser: plain(route.WithoutAffinity)},
	{Name: "least-in-flight", chooser: plain(route.FewestInFlight)},
	{Name: "round-robin", chooser: plain(route.RoundRobin)},
	{Name: "random", chooser: route.Random},
	{Name: "first-come", arrival: true, fixed: true, chooser: plain(route.FewestInFlight)},
}
