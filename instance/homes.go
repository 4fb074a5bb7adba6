package instance

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/rollout"
)

const (
	// keepAlivesPerTerm is the number of times per lease term that a home updates
	// its ledger. Other instances may claim its run after a term without updates.
	keepAlivesPerTerm = 3
	// homeRetryInterval is the delay between attempts to reach a run's home.
	homeRetryInterval = 200 * time.Millisecond
)

// homeFailure records that a run's home, the instance that owns the run, failed to
// serve a request. Any later change of the ledger shows that the home is alive.
type homeFailure struct {
	version objects.Version
	since   time.Time
}

// homeState is the known state of a run's home.
type homeState struct {
	ledger *rollout.Ledger
	// listed is true if the home is on the member list and not leaving.
	listed bool
	// failingFor is the time since the home first failed, without a change of its
	// ledger since then; 0 if it has not failed.
	failingFor time.Duration
}

// homeAction is the next action to serve a request for a run.
type homeAction int

const (
	actionClaim    homeAction = iota // claim the run for this instance
	actionCallHome                   // forward the request to the home
	actionWait                       // the home cannot be called, and it is too early to claim its run
)

// nextHomeAction decides which instance serves a run. A run without a home, or
// whose home is this instance, is claimed at once. Any other run is claimed only
// after its home has failed and has not changed its ledger for a whole term.
// Therefore a home that still reaches the platform never loses its run, even if
// other instances cannot reach the home.
func nextHomeAction(state homeState, self string, term time.Duration) homeAction {
	switch {
	case state.ledger.Home == "" || state.ledger.Home == self:
		return actionClaim
	case state.failingFor >= term:
		return actionClaim
	case state.listed:
		return actionCallHome
	}
	return actionWait
}

// localHome returns the home of a run on this instance. It returns
// rollout.ErrMoved if the run is not open here and rollout.ErrOtherTeam if it
// belongs to another team.
func (i *Instance) localHome(run, team string) (*rollout.Home, error) {
	i.homesMu.Lock()
	defer i.homesMu.Unlock()
	home := i.homes[run]
	if home == nil || closed(home) {
		return nil, rollout.ErrMoved
	}
	if home.Team() != team {
		return nil, rollout.ErrOtherTeam
	}
	return home, nil
}

func closed(home *rollout.Home) bool {
	select {
	case <-home.Done():
		return true
	default:
		return false
	}
}

// openHome claims a run for this instance and returns its home. Concurrent calls
// share one claim.
func (i *Instance) openHome(ctx context.Context, run, team string) (*rollout.Home, error) {
	if i.rejecting.Load() {
		return nil, rollout.ErrUnavailable
	}
	_, err, _ := i.claims.Do(run, func() (any, error) {
		if _, err := i.localHome(run, team); !errors.Is(err, rollout.ErrMoved) {
			return nil, err
		}
		return nil, i.claim(context.WithoutCancel(ctx), run)
	})
	if err != nil {
		return nil, err
	}
	return i.localHome(run, team)
}

// claim opens a run on this instance and keeps its home alive.
func (i *Instance) claim(ctx context.Context, run string) error {
	ctx, cancel := context.WithTimeout(ctx, i.settings.LeaseTerm)
	defer cancel()
	home, err := rollout.Open(ctx, i.platform, generator{i}, i.clock, run, i.settings.Name)
	if err != nil {
		return err
	}
	i.homesMu.Lock()
	defer i.homesMu.Unlock()
	i.homes[run] = home
	delete(i.homeFailures, run)
	go i.keepHomeAlive(run, home)
	i.log.Info("claimed run", zap.String("run", run))
	return nil
}

// keepHomeAlive updates the ledger of a home until the home is released.
func (i *Instance) keepHomeAlive(run string, home *rollout.Home) {
	home.KeepAlive(i.settings.LeaseTerm / keepAlivesPerTerm)
	i.homesMu.Lock()
	defer i.homesMu.Unlock()
	if i.homes[run] == home {
		delete(i.homes, run)
	}
	i.log.Info("stopped serving run", zap.String("run", run))
}

// releaseHomes releases all runs, so that other instances can claim them without
// waiting for the lease term.
func (i *Instance) releaseHomes() {
	ctx, cancel := context.WithTimeout(context.Background(), i.settings.LeaseTerm)
	defer cancel()
	i.homesMu.Lock()
	homes := make([]*rollout.Home, 0, len(i.homes))
	for _, home := range i.homes {
		homes = append(homes, home)
	}
	i.homesMu.Unlock()
	var releases sync.WaitGroup
	for _, home := range homes {
		releases.Go(func() {
			if err := home.Release(ctx); err != nil {
				i.log.Warn("run could not be released; another instance can claim it after the lease term", zap.Error(err))
			}
		})
	}
	releases.Wait()
}

func (i *Instance) localRuns() []string {
	i.homesMu.Lock()
	defer i.homesMu.Unlock()
	names := []string{}
	for name, home := range i.homes {
		if !closed(home) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// homeCall is a trainer's request for a run, with the functions that serve it on
// this instance and through a peer.
type homeCall struct {
	run, team string
	local     func(ctx context.Context, home *rollout.Home) error
	remote    func(ctx context.Context, address string) error
}

// callRunHome serves a call at the run's home, on this instance or on a peer. It
// retries until timeout has passed while the home is unreachable, and claims the
// run when nextHomeAction allows it.
func (i *Instance) callRunHome(ctx context.Context, call homeCall, timeout time.Duration) error {
	deadline := i.clock.Now().Add(timeout)
	for {
		err := i.tryRunHome(ctx, call)
		retry := errors.Is(err, rollout.ErrMoved) || errors.Is(err, rollout.ErrUnavailable)
		if !retry || ctx.Err() != nil || i.rejecting.Load() || i.clock.Now().After(deadline) {
			return err
		}
		sleep(ctx, homeRetryInterval)
	}
}

// tryRunHome makes one attempt to serve a call. It returns rollout.ErrUnavailable if
// the home is unreachable and its run cannot be claimed yet.
func (i *Instance) tryRunHome(ctx context.Context, call homeCall) error {
	home, err := i.localHome(call.run, call.team)
	if err == nil {
		return call.local(ctx, home)
	}
	if !errors.Is(err, rollout.ErrMoved) {
		return err
	}
	ledger, version, err := rollout.Read(ctx, i.platform, call.run)
	if err != nil {
		return err
	}
	if ledger.Team != call.team {
		return rollout.ErrOtherTeam
	}
	member, listed := i.view.Load().Domain.Entry(ledger.Home)
	state := homeState{ledger: ledger, listed: listed && !member.Leaving, failingFor: i.homeFailingFor(call.run, version)}
	switch nextHomeAction(state, i.settings.Name, i.settings.LeaseTerm) {
	case actionClaim:
		return i.claimAndCall(ctx, call)
	case actionCallHome:
		return i.callRemoteHome(ctx, call, member.Peer, version)
	}
	i.recordHomeFailure(call.run, version)
	return rollout.ErrUnavailable
}

func (i *Instance) claimAndCall(ctx context.Context, call homeCall) error {
	home, err := i.openHome(ctx, call.run, call.team)
	if err != nil {
		return err
	}
	return call.local(ctx, home)
}

// callRemoteHome calls the home on a peer and records whether it was reached.
func (i *Instance) callRemoteHome(ctx context.Context, call homeCall, address string, version objects.Version) error {
	err := call.remote(ctx, address)
	if errors.Is(err, rollout.ErrUnavailable) {
		i.recordHomeFailure(call.run, version)
		return err
	}
	i.clearHomeFailure(call.run)
	return err
}

// recordHomeFailure records that the home of a run failed while its ledger was at
// version. An earlier failure at the same version is kept.
func (i *Instance) recordHomeFailure(run string, version objects.Version) {
	i.homesMu.Lock()
	defer i.homesMu.Unlock()
	if failure, ok := i.homeFailures[run]; ok && failure.version == version {
		return
	}
	i.homeFailures[run] = homeFailure{version: version, since: i.clock.Now()}
}

// clearHomeFailure removes the recorded failure after the home has responded.
func (i *Instance) clearHomeFailure(run string) {
	i.homesMu.Lock()
	defer i.homesMu.Unlock()
	delete(i.homeFailures, run)
}

// homeFailingFor returns the time since the home of a run first failed with its
// ledger at version, or 0 without such a failure.
func (i *Instance) homeFailingFor(run string, version objects.Version) time.Duration {
	i.homesMu.Lock()
	defer i.homesMu.Unlock()
	failure, ok := i.homeFailures[run]
	if !ok || failure.version != version {
		return 0
	}
	return i.clock.Since(failure.since)
}
