package instance

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/lease"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/settings"
)

const (
	orderInterval = 250 * time.Millisecond
	// An order times out after a fifth of the lease term and is sent only while at
	// least a quarter of the term is left, so that it ends within the term.
	orderTimeoutDivisor = 5
	orderMarginDivisor  = 4
	// activeCandidates is the number of instances that poll a lease at the full
	// rate. The others are on standby and poll it less often.
	activeCandidates = 2
	releaseTimeout   = 3 * time.Second
)

func (i *Instance) orderTimeout() time.Duration { return i.settings.LeaseTerm / orderTimeoutDivisor }

func (i *Instance) orderMargin() time.Duration { return i.settings.LeaseTerm / orderMarginDivisor }

// platformBudget returns the instance's share of the request rates that the
// platform allows the fleet.
func platformBudget(s *settings.Settings) *objects.Budget {
	fleet := objects.Rates{Reads: float64(s.PlatformReads), Writes: float64(s.PlatformWrites)}
	return objects.NewBudget(fleet.Share(s.FleetSize))
}

// runUpstreamRole acquires the domain's upstream role and sends orders while this
// instance holds it.
func (i *Instance) runUpstreamRole(ctx context.Context) {
	i.runRole(ctx, i.upstreamRole, orderInterval, i.controller.reconcile)
}

// runRole acquires and renews the lease of a role, and calls step at each interval
// while the lease is valid for at least orderMargin.
func (i *Instance) runRole(ctx context.Context, role *lease.Keeper, interval time.Duration, step func(context.Context, lease.Grant)) {
	go role.Run(ctx, func(err error) { i.log.Warn("lease could not be acquired or renewed; retrying", zap.Error(err)) })
	for ctx.Err() == nil {
		if grant, held := role.Grant(i.orderMargin()); held {
			step(ctx, grant)
		}
		sleep(ctx, interval)
	}
}

// isStandby reports whether this instance is on standby for a role, because at least
// activeCandidates others rank before it. Candidates are the instances of the domain
// for the upstream role, and all instances for billing.
func (i *Instance) isStandby(role string) bool {
	view := i.view.Load()
	candidates := view.Domain.Entries()
	if role == i.upstreamRole.Role() {
		candidates = view.Domain.Peers(i.settings.Domain)
	}
	rank := slices.IndexFunc(domain.Ranked(candidates, role), func(m objects.Member) bool { return m.Name == i.settings.Name })
	return rank >= activeCandidates
}

// releaseRoles releases the leases, so that successors need not wait for the end of
// the terms. The lease of the upstream role is left to expire while an order of
// unknown outcome may still arrive.
func (i *Instance) releaseRoles() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	roles := []*lease.Keeper{i.billingRole}
	if i.controller.noOrderPending(i.clock.Now()) {
		roles = append(roles, i.upstreamRole)
	}
	for _, role := range roles {
		if err := role.Release(ctx); err != nil {
			i.log.Warn("role could not be released; its lease expires at the end of the term", zap.Error(err))
		}
	}
}
