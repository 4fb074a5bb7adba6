package gateway

import (
	"context"
	"sync/atomic"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/roster"
	"github.com/pomelocross/pomelocross/upstream"
)

// admission forwards requests to upstreams and checks, right before the first byte of each
// is written, whether the upstream may still get it: between the choice of the upstream and
// that moment, a connection is opened, and the process may be suspended. All requests of an
// instance go through it: single requests, streams, items and reward calls.
type admission struct {
	next   upstream.Forwarder
	roster *roster.Roster
	log    *zap.Logger
}

// Forward implements upstream.Forwarder. Its error wraps upstream.ErrWithheld if the upstream
// may no longer get the request.
func (a *admission) Forward(ctx context.Context, to upstream.Target, f upstream.Forward) (*upstream.Reply, error) {
	var withheld atomic.Bool // by the last check; a request may be tried on several connections
	permit := f.Permit
	f.Permit = func() bool {
		if permit != nil && !permit() {
			return false
		}
		accepted := a.roster.Accepts(to)
		withheld.Store(!accepted)
		return accepted
	}
	reply, err := a.next.Forward(ctx, to, f)
	if err != nil && withheld.Load() {
		a.log.Info("request is not sent: its upstream gets no new work any more", zap.String("request", f.ID), zap.String("upstream", to.ID), zap.Int64("started", to.Started))
		err = &upstream.SendError{NotSent: true, Err: oops.In("gateway").With("step", "admit", "peer", to.ID).Wrap(upstream.ErrWithheld)}
	}
	return reply, err
}
