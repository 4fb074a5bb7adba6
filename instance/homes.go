package instance

import (
	"context"
	"encoding/json"
	"errors"
	"net/rpc"
	"slices"
	"time"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/platform"
	"github.com/pomelocross/pomelocross/queue"
	"github.com/pomelocross/pomelocross/rollout"
	"github.com/pomelocross/pomelocross/route"
	"github.com/pomelocross/pomelocross/upstream"
)

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

// homeOf returns the local home of a run, or the instance that has it. A run
// whose home is gone from the member list is taken over.
func (i *Instance) homeOf(ctx context.Context, run, team string) (*rollout.Home, platform.Member, error) {
	home, err := i.localHome(run, team)
	if !errors.Is(err, rollout.ErrMoved) {
		return home, platform.Member{}, err
	}
	ledger, err := i.ledger(ctx, run)
	if err != nil {
		return nil, platform.Member{}, err
	}
	if ledger.Team != team {
		return nil, platform.Member{}, rollout.ErrOtherTeam
	}
	if member, ok := i.view.Load().Domain.Entry(ledger.Home); ok && ledger.Home != i.settings.Name && !member.Leaving {
		return nil, member, nil
	}
	home, err = i.openHome(ctx, run)
	return home, platform.Member{}, err
}

func (i *Instance) ledger(ctx context.Context, run string) (*rollout.Ledger, error) {
	o, err := i.platform.Get(ctx, platform.KindRun, run)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, rollout.ErrUnknownRun
	}
	if err != nil {
		return nil, err
	}
	ledger := &rollout.Ledger{}
	return ledger, json.Unmarshal(o.Value, ledger)
}

func (i *Instance) openHome(ctx context.Context, run string) (*rollout.Home, error) {
	home, err := rollout.Open(ctx, i.platform, generator{i}, i.clock, run, i.settings.Name)
	if err != nil {
		return nil, err
	}
	i.homesMu.Lock()
	defer i.homesMu.Unlock()
	if old := i.homes[run]; old != nil {
		old.Close()
	}
	i.homes[run] = home
	return home, nil
}

func (i *Instance) closeHomes() {
	i.homesMu.Lock()
	defer i.homesMu.Unlock()
	for _, home := range i.homes {
		home.Close()
	}
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

// startStep starts a step at the run's home, here or at a peer.
func (i *Instance) startStep(ctx context.Context, run, team string, spec rollout.StepSpec) error {
	return i.atHome(ctx, run, team, func(home *rollout.Home) error {
		return home.StartStep(ctx, spec)
	}, func(address string) error {
		return i.dialer.Call(ctx, address, "Rollout.Step", StepCall{run, team, spec}, &struct{}{})
	})
}

// pull pulls a batch from the run's home, here or at a peer.
func (i *Instance) pull(ctx context.Context, run, team string, request rollout.PullRequest) (*rollout.Batch, error) {
	var batch *rollout.Batch
	err := i.atHome(ctx, run, team, func(home *rollout.Home) (err error) {
		batch, err = home.Pull(ctx, request)
		return err
	}, func(address string) error {
		var reply PullReply
		if err := i.dialer.Call(ctx, address, "Rollout.Pull", PullCall{run, team, request}, &reply); err != nil {
			return err
		}
		if reply.Filled {
			batch = &reply.Batch
		}
		return nil
	})
	return batch, err
}

// atHome calls here or there. When the home does not answer or says that it
// has moved, the run is taken over and here is called.
func (i *Instance) atHome(ctx context.Context, run, team string, here func(*rollout.Home) error, there func(address string) error) error {
	home, member, err := i.homeOf(ctx, run, team)
	if err != nil {
		return err
	}
	if home != nil {
		return here(home)
	}
	err = peerError(there(member.Peer))
	if err == nil || ctx.Err() != nil || !errors.Is(err, rollout.ErrMoved) {
		return err
	}
	home, err = i.openHome(ctx, run)
	if err != nil {
		return err
	}
	return here(home)
}

// peerError turns a peer's answer back into the package's errors. A peer that
// did not answer counts as moved: taking the run over is safe, as the ledger
// stops the old home.
func peerError(err error) error {
	if err == nil {
		return nil
	}
	var answered rpc.ServerError
	if !errors.As(err, &answered) {
		return errors.Join(rollout.ErrMoved, err)
	}
	for _, known := range []error{rollout.ErrMoved, rollout.ErrOrder, rollout.ErrOtherTeam, rollout.ErrStepExists, rollout.ErrTooMany, rollout.ErrUnknownRun} {
		if answered.Error() == known.Error() {
			return known
		}
	}
	return err
}

// nameWeights tells all instances of a trainer's newest weight version.
func (i *Instance) nameWeights(ctx context.Context, model string, version int64) error {
	for {
		o, err := i.platform.Get(ctx, platform.KindWeights, model)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		var named int64
		_ = json.Unmarshal(o.Value, &named) // absent reads as zero
		if named >= version {
			return nil
		}
		_, err = i.platform.Put(ctx, platform.KindWeights, model, o.Version, version)
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
}

// generator runs samples through the instance's own traffic path.
type generator struct{ instance *Instance }

// sampleTimeout bounds one try at a sample.
const sampleTimeout = 10 * time.Minute

// Generate implements rollout.Generator.
func (g generator) Generate(ctx context.Context, order rollout.SampleOrder) (rollout.Sample, error) {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	i := g.instance
	view := i.view.Load()
	services := view.Contract.ServicesOfModel(order.Model)
	if len(services) == 0 {
		return rollout.Sample{}, queue.ErrNoService
	}
	service := services[0].Name
	ctx, span := tracer.Start(ctx, "sample")
	defer span.End()
	tally := i.usage.meter.Begin(order.Team, service)
	completion, err := i.runner.Stream(ctx, queue.Ticket{
		Team: order.Team, Weight: weightOf(view.Contract, order.Team), Class: contract.ClassRollout, Cost: int64(order.Group.MaxTokens),
		Route: route.Request{Service: service, Domain: i.settings.Domain, MinWeightVersion: order.FreshFrom},
	}, upstream.CompletionRequest{
		ID: newRequestID(), Model: order.Model, Prompt: order.Group.Prompt, MaxTokens: order.Group.MaxTokens,
		Temperature: order.Group.Temperature, Seed: order.Group.Seed + int64(order.Index),
	}, func(chunk upstream.Chunk) error {
		tally.Output(int64(chunk.Tokens))
		return nil
	})
	tally.End(i.clock.Now(), int64(completion.PromptTokens), completion.OutputTokens > 0)
	if err != nil {
		return rollout.Sample{}, err
	}
	return rollout.Sample{Step: order.Step, Number: order.Number, Group: order.Group.ID, Index: order.Index, Completion: completion}, nil
}
