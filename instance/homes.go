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
	// beatsPerTerm is how often a home shows that it is live in the time after
	// which others may claim its run. The time is the lease term.
	beatsPerTerm = 3
	// homeRetry is the pause between two tries to reach a run's home.
	homeRetry = 200 * time.Millisecond
)

// sighting is what an instance has seen of a run's home since it first failed
// to serve. Any change of the ledger shows that the home is live.
type sighting struct {
	version objects.Version
	since   time.Time
}

// homeState is what is known of a run's home.
type homeState struct {
	ledger *rollout.Ledger
	// listed says that the home is on the instance list and not leaving.
	listed bool
	// silent is for how long the home has failed while its ledger did not change.
	silent time.Duration
}

// homeStep is what to do to reach a run's home.
type homeStep int

const (
	homeHere  homeStep = iota // claim the run
	homeThere                 // call the home
	homeWait                  // it can neither be called nor be followed yet
)

// nextHomeStep decides who serves a run. A run without a home, or whose home is
// this instance, is claimed at once; any other only after its home has failed
// and left its ledger unchanged for a whole term. A home that is live for the
// platform is thus never followed, whoever can't reach it.
func nextHomeStep(state homeState, self string, term time.Duration) homeStep {
	switch {
	case state.ledger.Home == "" || state.ledger.Home == self:
		return homeHere
	case state.silent >= term:
		return homeHere
	case state.listed:
		return homeThere
	}
	return homeWait
}

// localHome returns the home of a run if it is here.
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

// openHome claims a run for this instance. Concurrent calls share one claim.
func (i *Instance) openHome(ctx context.Context, run, team string) (*rollout.Home, error) {
	if i.refusing.Load() {
		return nil, rollout.ErrUnavailable
	}
	_, err, _ := i.opening.Do(run, func() (any, error) {
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
	delete(i.sightings, run)
	go i.keepHome(run, home)
	i.log.Info("run claimed", zap.String("run", run))
	return nil
}

// keepHome keeps a home live until it is given up.
func (i *Instance) keepHome(run string, home *rollout.Home) {
	home.KeepAlive(i.settings.LeaseTerm / beatsPerTerm)
	i.homesMu.Lock()
	defer i.homesMu.Unlock()
	if i.homes[run] == home {
		delete(i.homes, run)
	}
	i.log.Info("run given up", zap.String("run", run))
}

// closeHomes gives all homes up, so that other instances take the runs at once.
func (i *Instance) closeHomes() {
	ctx, cancel := context.WithTimeout(context.Background(), i.settings.LeaseTerm)
	defer cancel()
	i.homesMu.Lock()
	homes := make([]*rollout.Home, 0, len(i.homes))
	for _, home := range i.homes {
		homes = append(homes, home)
	}
	i.homesMu.Unlock()
	var releasing sync.WaitGroup
	for _, home := range homes {
		releasing.Go(func() {
			if err := home.Release(ctx); err != nil {
				i.log.Warn("run was not released", zap.Error(err))
			}
		})
	}
	releasing.Wait()
}

func (i *Instance) homeNames() []string {
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

// homeCall is a trainer's request to a run's home.
type homeCall struct {
	run, team string
	here      func(ctx context.Context, home *rollout.Home) error
	there     func(ctx context.Context, address string) error
}

// atHome carries out a call at the run's home, here or at a peer. While the
// home can't be reached it tries again until patience has passed, and claims
// the run when that is due.
func (i *Instance) atHome(ctx context.Context, call homeCall, patience time.Duration) error {
	until := i.clock.Now().Add(patience)
	for {
		err := i.tryHome(ctx, call)
		again := errors.Is(err, rollout.ErrMoved) || errors.Is(err, rollout.ErrUnavailable)
		if !again || ctx.Err() != nil || i.refusing.Load() || i.clock.Now().After(until) {
			return err
		}
		sleep(ctx, homeRetry)
	}
}

func (i *Instance) tryHome(ctx context.Context, call homeCall) error {
	home, err := i.localHome(call.run, call.team)
	if err == nil {
		return call.here(ctx, home)
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
	state := homeState{ledger: ledger, listed: listed && !member.Leaving, silent: i.silence(call.run, version)}
	switch nextHomeStep(state, i.settings.Name, i.settings.LeaseTerm) {
	case homeHere:
		return i.claimAndCall(ctx, call)
	case homeThere:
		return i.callThere(ctx, call, member.Peer, version)
	}
	i.sight(call.run, version)
	return rollout.ErrUnavailable
}

func (i *Instance) claimAndCall(ctx context.Context, call homeCall) error {
	home, err := i.openHome(ctx, call.run, call.team)
	if err != nil {
		return err
	}
	return call.here(ctx, home)
}

// callThere calls the home at a peer.
func (i *Instance) callThere(ctx context.Context, call homeCall, address string, version objects.Version) error {
	err := call.there(ctx, address)
	if errors.Is(err, rollout.ErrUnavailable) {
		i.sight(call.run, version)
		return err
	}
	i.unsight(call.run)
	return err
}

// sight notes that a home failed while its ledger had a version.
func (i *Instance) sight(run string, version objects.Version) {
	i.homesMu.Lock()
	defer i.homesMu.Unlock()
	if seen, ok := i.sightings[run]; ok && seen.version == version {
		return
	}
	i.sightings[run] = sighting{version: version, since: i.clock.Now()}
}

// unsight notes that a home serves.
func (i *Instance) unsight(run string) {
	i.homesMu.Lock()
	defer i.homesMu.Unlock()
	delete(i.sightings, run)
}

// silence returns for how long the home of a run has failed with its ledger
// unchanged.
func (i *Instance) silence(run string, version objects.Version) time.Duration {
	i.homesMu.Lock()
	defer i.homesMu.Unlock()
	seen, ok := i.sightings[run]
	if !ok || seen.version != version {
		return 0
	}
	return i.clock.Since(seen.since)
}
