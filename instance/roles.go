package instance

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/fleet"
	"github.com/pomelocross/pomelocross/lease"
	"github.com/pomelocross/pomelocross/upstream"
)

const (
	orderInterval = 250 * time.Millisecond
	// An order may take a fifth of a lease's term and is begun only while a
	// quarter is left, so that it ends inside the term.
	orderTimeoutPart = 5
	orderSparePart   = 4
)

func (i *Instance) orderTimeout() time.Duration { return i.settings.LeaseTerm / orderTimeoutPart }

func (i *Instance) orderSpare() time.Duration { return i.settings.LeaseTerm / orderSparePart }

// holdUpstreams seeks the domain's upstream role and gives orders while it holds it.
func (i *Instance) holdUpstreams(ctx context.Context) {
	i.hold(ctx, i.upstreamRole, orderInterval, i.orderSwaps)
}

// hold keeps a role and calls act at each interval while the grant is valid.
func (i *Instance) hold(ctx context.Context, role *lease.Keeper, interval time.Duration, act func(context.Context, lease.Grant)) {
	go role.Run(ctx, func(err error) { i.log.Warn("lease", zap.Error(err)) })
	for ctx.Err() == nil {
		if grant, held := role.Grant(i.orderSpare()); held {
			act(ctx, grant)
		}
		sleep(ctx, interval)
	}
}

func (i *Instance) orderSwaps(ctx context.Context, grant lease.Grant) {
	view := i.view.Load()
	if view.Contract == nil {
		return
	}
	for _, service := range view.Contract.Bundle.Services {
		if service.Model == "" {
			continue
		}
		engines := inDomain(view.Upstream.Of(service.Name), i.settings.Domain)
		for _, swap := range fleet.Swaps(engines, service.Model, view.Weights[service.Model]) {
			i.orderSwap(ctx, grant, swap)
		}
	}
}

func (i *Instance) orderSwap(ctx context.Context, grant lease.Grant, swap fleet.Swap) {
	if !grant.Valid(i.clock.Now(), i.orderSpare()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, i.orderTimeout())
	defer cancel()
	err := i.client.OrderLoad(ctx, swap.Address, upstream.LoadOrder{
		Model: swap.Model, WeightVersion: swap.WeightVersion, Holder: i.settings.Name, Epoch: grant.Epoch,
	})
	i.counters.order("load", err)
}

func inDomain(all []upstream.Upstream, domain string) []upstream.Upstream {
	var found []upstream.Upstream
	for _, u := range all {
		if u.Domain == domain {
			found = append(found, u)
		}
	}
	return found
}
