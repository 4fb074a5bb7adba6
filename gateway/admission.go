package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/roster"
	"github.com/pomelocross/pomelocross/sendlimit"
	"github.com/pomelocross/pomelocross/telemetry"
	"github.com/pomelocross/pomelocross/upstream"
)

// admission forwards requests to upstreams and checks, right before the first byte of each
// is written, whether the upstream may still get it: between the choice of the upstream and
// that moment, a connection is opened, and the process may be suspended. All requests of an
// instance go through it: single requests, streams, items and reward calls.
type admission struct {
	next   upstream.Forwarder
	roster *roster.Roster
	limits sendlimit.Ledger
	clock  clockwork.Clock
	log    *zap.Logger

	// onCold is called for a response by which the upstream is cold, with the remaining time.
	onCold func(to upstream.Target, left time.Duration)

	invalidLimitLogged atomic.Bool
}

// Reasons for which a request is withheld.
const (
	withheldLimit  = "the limit of the upstream is reached"
	withheldNoWork = "the upstream gets no new work"
)

// Forward implements upstream.Forwarder. Its error wraps upstream.ErrWithheld if the upstream
// may not get the request, or may no longer.
func (a *admission) Forward(ctx context.Context, to upstream.Target, f upstream.Forward) (*upstream.Reply, error) {
	ticket := a.limits.Reserve(to, a.clock.Now())
	if ticket == nil {
		return nil, a.withheld(to, f, withheldLimit)
	}
	defer ticket.Close()
	var reason atomic.Pointer[string] // of the last check; a request may be tried on several connections
	permit := f.Permit
	f.Permit = func() bool {
		if permit != nil && !permit() {
			return false
		}
		reason.Store(a.refuse(to, ticket))
		return reason.Load() == nil
	}
	reply, err := a.next.Forward(ctx, to, f)
	if err != nil {
		var failed *upstream.SendError
		if why := reason.Load(); why != nil && errors.As(err, &failed) && failed.NotSent {
			err = a.withheld(to, f, *why)
		}
		return reply, err
	}
	a.observe(to, ticket, reply)
	return reply, nil
}

// refuse returns why a request must not be written now; nil if it may. A request that may be
// written counts against the limit of the upstream.
func (a *admission) refuse(to upstream.Target, ticket *sendlimit.Admission) *string {
	why := withheldNoWork
	if a.roster.Accepts(to) {
		if ticket.Write(a.clock.Now()) {
			return nil
		}
		why = withheldLimit
	}
	return &why
}

// withheld logs that a request is not sent and returns the error for it.
func (a *admission) withheld(to upstream.Target, f upstream.Forward, why string) error {
	a.log.Info("request is not sent", zap.String("why", why), zap.String("request", f.ID), zap.String("upstream", to.ID), zap.Int64("started", to.Started))
	return &upstream.SendError{NotSent: true, Err: oops.In("gateway").With("step", "admit", "peer", to.ID, "why", why).Wrap(upstream.ErrWithheld)}
}

// observe records the limit that an upstream names in a response.
func (a *admission) observe(to upstream.Target, ticket *sendlimit.Admission, reply *upstream.Reply) {
	if reply.Misdirected {
		return // the response of another upstream
	}
	if reply.RateLimitErr != nil && a.invalidLimitLogged.CompareAndSwap(false, true) {
		a.log.Warn("an upstream names a limit that cannot be decoded; it is ignored, and further ones are not logged", zap.String("upstream", to.ID), telemetry.Error(reply.RateLimitErr))
	}
	if reply.Cold > 0 {
		a.onCold(to, reply.Cold)
	}
	response := sendlimit.Response{
		Rate: reply.RateLimit, Failed: reply.NotRun || reply.Status >= http.StatusInternalServerError,
		Written: ticket.Written(), Received: a.clock.Now(),
	}
	e, known := a.roster.Entry(to.ID)
	if known && a.limits.Limits.Observe(to, e.Service, response) {
		a.log.Info("limit of an upstream changed", zap.String("upstream", to.ID), zap.String("service", e.Service), zap.Int64("started", to.Started), zap.Float64("perSecond", reply.RateLimit))
	}
}
