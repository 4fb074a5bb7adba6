package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/sendlimit"
	"github.com/pomelocross/pomelocross/slots"
)

// LimitReport holds an instance's reports on its sends to upstreams with a limit, one for
// each service, and the limits that it knows.
type LimitReport struct {
	Reports []slots.Report
	Limits  sendlimit.Limits
}

// LimitGrant holds the answers to the reports, in their order, and the limits that the
// holder of the control role knows.
type LimitGrant struct {
	Answers []slots.Answer
	Limits  sendlimit.Limits
}

// limitsService grants shares of the limits of upstreams while this instance holds the
// control role.
type limitsService struct{ gateway *Gateway }

// Report answers the reports of an instance. Shares must expire before the lease does. A call
// without reports is answered by every instance, with the limits that it knows.
func (s *limitsService) Report(report LimitReport, grant *LimitGrant) error {
	g := s.gateway
	g.learnLimits(report.Limits)
	grant.Limits = g.limits.Limits(g.clock.Now())
	if len(report.Reports) == 0 {
		return nil
	}
	return g.answerReports(report, grant, g.limits, g.limitGrants, g.settings.limitTiming().Term)
}

// answerReports answers the reports of an instance with shares of the units that a book knows,
// valid for a term. It returns an error if this instance does not hold the control role.
func (g *Gateway) answerReports(report LimitReport, grant *LimitGrant, book *sendlimit.Book, grants *sendlimit.Grants, term time.Duration) error {
	now := g.clock.Now()
	lease, held := g.controlLease.Grant(term)
	if !held || g.draining.Load() {
		return errNotLeaseHolder
	}
	grants.Begin(lease.Epoch, now)
	members := g.membership.callerNames()
	var notReady error
	for _, r := range report.Reports {
		answer, err := grants.Answer(lease.Epoch, r, members, book.Engines(r.Service), now)
		if err != nil {
			notReady = err // the reports of other services are recorded
			continue
		}
		grant.Answers = append(grant.Answers, answer)
	}
	return notReady
}

// What delays the start of an instance until it knows the limits.
const (
	// membershipWait bounds the wait for the list of instances.
	membershipWait = time.Second
	// limitsQueryTimeout bounds the query for limits.
	limitsQueryTimeout = 250 * time.Millisecond
)

// learnLimitsAtStart asks other instances for the limits that they know, once the list of
// instances has been read, so that an instance knows them before its first request.
func (g *Gateway) learnLimitsAtStart(ctx context.Context) (informed bool) {
	defer g.limitsAsked.Store(true)
	select {
	case <-g.membership.read:
	case <-g.clock.After(membershipWait):
	case <-ctx.Done():
	}
	return g.askForLimits(ctx)
}

// askForLimits asks a few other instances for the limits that they know. It returns true if one
// has answered or there are no others.
func (g *Gateway) askForLimits(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, limitsQueryTimeout)
	defer cancel()
	peers := g.relayCandidates()
	var queries sync.WaitGroup
	var answered atomic.Bool
	for _, peer := range peers[:min(maxHolderQueries, len(peers))] {
		queries.Go(func() {
			var known LimitGrant
			err := g.dialer.Call(ctx, peer, "Limits.Report", LimitReport{}, &known)
			g.counters.Add("limits", err)
			if err == nil {
				g.learnLimits(known.Limits)
				answered.Store(true)
			}
		})
	}
	queries.Wait()
	if answered.Load() || len(peers) == 0 && g.membership.listed() {
		g.limits.SetInformed()
		return true
	}
	return false
}

// limitTiming returns the timing of the grants.
func (s *Settings) limitTiming() slots.Timing {
	return sendlimit.Timing(leaseTiming(s.LeaseBound).Term, s.LimitWindow)
}

// learnLimits records limits that another instance knows. Those of upstreams that are not
// registered any more would be passed on for good.
func (g *Gateway) learnLimits(limits sendlimit.Limits) {
	if g.upstreamsListed.Load() {
		registered := g.roster.IDs()
		maps.DeleteFunc(limits, func(id string, _ sendlimit.Limit) bool { return !registered[id] })
	}
	if n := g.limits.Learn(limits, g.clock.Now()); n > 0 {
		g.log.Info("limits of upstreams learned from another instance", zap.Int("changed", n), zap.Int("known", len(g.limits.Limits(g.clock.Now()))))
	}
}

// maxHolderQueries is the number of instances that are asked in one round whether they hold
// the control role.
const maxHolderQueries = 3

// runLimitReports reports this instance's sends to the holder of the control role while any
// limit is known, until ctx ends. Instances without callers send nothing.
func (g *Gateway) runLimitReports(ctx context.Context) {
	informed := g.learnLimitsAtStart(ctx)
	timing := g.settings.limitTiming()
	reporter := shareReporter{book: g.limits, method: "Limits.Report", timing: timing, local: (&limitsService{g}).Report, limits: g.limits}
	granted, reportedIdle := true, false
	for ctx.Err() == nil {
		informed = informed || g.askForLimits(ctx)
		g.limits.SetMembers(g.membership.callerPosition(), g.clock.Now())
		g.retainLimits()
		g.notifyOfLimits(ctx)
		reports := g.limits.Reports(g.settings.Name, g.clock.Now())
		idle := !slices.ContainsFunc(reports, func(r slots.Report) bool { return !r.Idle() })
		reportedIdle = idle && !reportedIdle // every other report of an idle instance is left out
		if len(reports) > 0 && g.servesCallers() && (!idle || reportedIdle) {
			g.report(ctx, &reporter, reports)
			if now := g.limits.Granted(g.clock.Now()); now != granted {
				granted = now
				g.log.Info("source of the shares of limited upstreams changed", zap.Bool("granted", granted), zap.String("holder", reporter.holder))
			}
		}
		select {
		case <-ctx.Done():
		case <-g.clock.After(timing.Interval):
		}
	}
}

// notifyOfLimits sends the limits to instances that do not report, if this instance holds the
// control role. Limits spread by themselves only within a failure domain and to instances that
// report.
func (g *Gateway) notifyOfLimits(ctx context.Context) {
	limits := g.limits.Limits(g.clock.Now())
	holder, err := g.holder()
	if err != nil || len(limits) == 0 {
		return
	}
	for _, name := range g.limitGrants.ToNotify(holder.Epoch, g.membership.callerNames(), g.clock.Now()) {
		peer := g.membership.peerOf(name)
		if peer == "" || name == g.settings.Name {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, limitsQueryTimeout)
			defer cancel()
			g.counters.Add("limits", g.dialer.Call(ctx, peer, "Limits.Report", LimitReport{Limits: limits}, &LimitGrant{}))
		}()
	}
}

// retainLimits forgets the limits of upstreams that are not registered.
func (g *Gateway) retainLimits() { g.limits.Retain(g.roster.IDs(), g.clock.Now()) }

// shareReporter reports an instance's use of shares to the holder of the control role.
type shareReporter struct {
	book   *sendlimit.Book
	method string // of the holder
	timing slots.Timing
	local  func(LimitReport, *LimitGrant) error // method at this instance
	limits *sendlimit.Book                      // whose limits spread with the reports; nil for none
	holder string                               // address of the last known holder; empty if none has answered
	next   int                                  // position of the next candidate to ask
}

// report sends reports to the holder of the control role. It asks the last known holder first,
// then a few candidates.
func (g *Gateway) report(ctx context.Context, r *shareReporter, reports []slots.Report) {
	if r.holder != "" && g.reportTo(ctx, r, reports, r.holder) {
		return
	}
	candidates := g.membership.controlCandidates()
	for range min(maxHolderQueries, len(candidates)) {
		peer := candidates[r.next%len(candidates)]
		if peer != r.holder && g.reportTo(ctx, r, reports, peer) {
			r.holder = peer
			return
		}
		r.next++
	}
	r.holder = ""
}

// reportTo sends reports to an instance and applies its answer. It returns false if the
// instance does not answer or does not hold the control role.
func (g *Gateway) reportTo(ctx context.Context, r *shareReporter, reports []slots.Report, peer string) bool {
	ctx, cancel := context.WithTimeout(ctx, r.timing.Interval)
	defer cancel()
	sent := g.clock.Now()
	var grant LimitGrant
	var err error
	report := LimitReport{Reports: reports}
	if r.limits != nil {
		report.Limits = r.limits.Limits(g.clock.Now())
	}
	if peer == g.settings.PeerListen {
		err = r.local(report, &grant)
	} else {
		err = g.dialer.Call(ctx, peer, r.method, report, &grant)
	}
	g.counters.Add("limits", err)
	if err != nil || len(grant.Answers) != len(reports) {
		return false
	}
	if r.limits != nil {
		g.learnLimits(grant.Limits)
	}
	now := g.clock.Now()
	for n, a := range grant.Answers {
		r.book.Apply(reports[n].Service, a, sent, now)
	}
	g.runner.Signal()
	return true
}
