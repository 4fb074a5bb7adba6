package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/catalog"
	"github.com/pomelocross/pomelocross/roster"
	"github.com/pomelocross/pomelocross/sendlimit"
	"github.com/pomelocross/pomelocross/slots"
	"github.com/pomelocross/pomelocross/upstream"
)

// coldTiming returns the timing of the grants for cold upstreams.
func (s *Settings) coldTiming() slots.Timing {
	return sendlimit.Timing(leaseTiming(s.LeaseBound).Term, sendlimit.ColdWindow)
}

// coldService grants shares of what cold upstreams accept while this instance holds the control
// role.
type coldService struct{ gateway *Gateway }

// Report answers the reports of an instance.
func (s *coldService) Report(report LimitReport, grant *LimitGrant) error {
	g := s.gateway
	return g.answerReports(report, grant, g.cold, g.coldGrants, g.settings.coldTiming().Term)
}

// boundCold bounds the requests to a cold upstream if its service declares what it accepts.
func (g *Gateway) boundCold(e roster.Entry) {
	if c := g.catalog.Load(); c != nil && e.Cold > 0 {
		g.boundColdTo(e, c.Services[e.Service].ColdRate, e.Cold)
	}
}

// boundColdTo bounds the requests to an upstream that is cold for a time.
func (g *Gateway) boundColdTo(e roster.Entry, rate float64, left time.Duration) {
	if rate > 0 && g.cold.Bound(e.Target(), e.Service, rate, left, g.clock.Now()) {
		g.log.Info("an upstream is cold; its requests are bounded", zap.String("upstream", e.ID), zap.Int64("started", e.Started), zap.Float64("perSecond", rate), zap.Duration("left", left))
	}
}

// boundColdUpstreams bounds the requests to the cold upstreams that were registered before a
// configuration came into force.
func (g *Gateway) boundColdUpstreams(c *catalog.Catalog) {
	for name, s := range c.Services {
		for _, e := range g.roster.Entries(name) {
			if e.Cold > 0 {
				g.boundColdTo(e, s.ColdRate, e.Cold)
			}
		}
	}
}

// upstreamIsCold bounds the requests to an upstream that has reported in a response for how
// long it is cold.
func (g *Gateway) upstreamIsCold(u upstream.Target, left time.Duration) {
	e, known := g.roster.Entry(u.ID)
	if known && e.Started == u.Started {
		e.Cold = left
		g.boundCold(e)
	}
}

// idleColdReports is the number of reports without demand by which units are given back: the
// first one has them withdrawn, and the second one confirms it.
const idleColdReports = 2

// runColdReports reports this instance's requests to cold upstreams to the holder of the control
// role while it has any, until ctx ends.
//
// Load pattern: upstreams start many at once and are cold for seconds. All instances learn of
// them within a second, few of them send most requests, and most have none.
func (g *Gateway) runColdReports(ctx context.Context) {
	timing := g.settings.coldTiming()
	reporter := shareReporter{book: g.cold, method: "Cold.Report", timing: timing, local: (&coldService{g}).Report}
	idle := idleColdReports // reports without demand since the last one with demand
	for ctx.Err() == nil {
		g.cold.Retain(g.roster.IDs(), g.clock.Now())
		reports := g.cold.Reports(g.settings.Name, g.clock.Now())
		if slices.ContainsFunc(reports, func(r slots.Report) bool { return !r.Idle() }) {
			idle = -1
		}
		if idle < idleColdReports && len(reports) > 0 {
			idle++
			g.report(ctx, &reporter, reports)
		}
		select {
		case <-ctx.Done():
		case <-g.clock.After(timing.Interval):
		}
	}
}
