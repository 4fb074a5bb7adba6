package gateway

import (
	"context"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/roster"
	"github.com/pomelocross/pomelocross/upstream"
)

// maxReachChecks is the number of instances, and of upstreams, that are contacted to see
// whether a failure domain can be reached.
const maxReachChecks = 2

// upstreamGone reports whether the process of an upstream that closed a connection has
// ended: its machine refuses connections, but others of its failure domain accept them.
//
// Load pattern: a failure domain is cut off by a device that resets and refuses the
// connections to it. All requests to its upstreams then end like those to a process that
// crashed.
func (g *Gateway) upstreamGone(ctx context.Context, e roster.Entry) bool {
	if now, known := g.roster.Entry(e.ID); known && now.Started == e.Started && !now.Ready {
		return false // it has left as announced
	}
	if _, refused := upstream.Reach(ctx, e.Address); !refused {
		return false
	}
	if e.Domain == g.settings.Domain || g.reachesDomain(ctx, e) {
		return true
	}
	g.log.Info("upstream refuses connections, but its failure domain cannot be reached; it may run", zap.String("upstream", e.ID), zap.String("domain", e.Domain))
	return false
}

// reachesDomain reports whether an instance or another upstream in the failure domain of
// an upstream can be reached, or none is known.
func (g *Gateway) reachesDomain(ctx context.Context, e roster.Entry) bool {
	var checks []func(context.Context) bool
	for _, peer := range g.membership.peersOf(e.Domain, maxReachChecks) {
		checks = append(checks, func(ctx context.Context) bool {
			var reaches bool
			return g.dialer.Call(ctx, peer, "Store.Reaches", struct{}{}, &reaches) == nil
		})
	}
	others := 0
	for _, other := range g.roster.Entries(e.Service) {
		if other.Domain != e.Domain || other.ID == e.ID || others == maxReachChecks {
			continue
		}
		others++
		checks = append(checks, func(ctx context.Context) bool {
			accepted, _ := upstream.Reach(ctx, other.Address)
			return accepted
		})
	}
	if len(checks) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, relaySearchTimeout)
	defer cancel()
	results := make(chan bool, len(checks))
	for _, check := range checks {
		go func() { results <- check(ctx) }()
	}
	for range checks {
		if <-results {
			return true
		}
	}
	return false
}
