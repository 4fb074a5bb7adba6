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
	// An order may take a fifth of a lease's term and is begun only while a
	// quarter is left, so that it ends inside the term.
	orderTimeoutPart = 5
	orderSparePart   = 4
	// activeCandidates is how many instances follow a lease closely.
	activeCandidates = 2
	releaseTimeout   = 3 * time.Second
)

func (i *Instance) orderTimeout() time.Duration { return i.settings.LeaseTerm / orderTimeoutPart }

func (i *Instance) orderSpare() time.Duration { return i.settings.LeaseTerm / orderSparePart }

// budget returns the instance's share of the platform's rates.
func budget(s *settings.Settings) *objects.Budget {
	fleet := objects.Rates{Reads: float64(s.PlatformReads), Writes: float64(s.PlatformWrites)}
	return objects.NewBudget(fleet.Share(s.FleetSize))
}

// holdUpstreams seeks the domain's upstream role and gives orders while it holds it.
func (i *Instance) holdUpstreams(ctx context.Context) {
	i.hold(ctx, i.upstreamRole, orderInterval, i.commander.pass)
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

// isStandby reports whether others come first in the succession of a role: the
// instances of the domain for its upstreams, all instances for billing.
func (i *Instance) isStandby(role string) bool {
	view := i.view.Load()
	candidates := view.Domain.Entries()
	if role == i.upstreamRole.Role() {
		candidates = view.Domain.Peers(i.settings.Domain)
	}
	rank := slices.IndexFunc(domain.Ranked(candidates, role), func(m objects.Member) bool { return m.Name == i.settings.Name })
	return rank >= activeCandidates
}

// release gives up roles, so that successors need not wait out their terms. The
// upstream role is left to lapse while an order may still be on its way.
func (i *Instance) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	roles := []*lease.Keeper{i.billingRole}
	if i.commander.settled(i.clock.Now()) {
		roles = append(roles, i.upstreamRole)
	}
	for _, role := range roles {
		if err := role.Release(ctx); err != nil {
			i.log.Warn("role was not released", zap.Error(err))
		}
	}
}
