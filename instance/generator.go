package instance

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/pomelocross/pomelocross/attempt"
	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/queue"
	"github.com/pomelocross/pomelocross/rollout"
	"github.com/pomelocross/pomelocross/route"
	"github.com/pomelocross/pomelocross/upstream"
)

const (
	// sampleTimeout bounds one attempt at a sample.
	sampleTimeout = 10 * time.Minute
	// queuedShare is how many samples may wait for each that runs, so that a slot
	// which becomes free is used at once.
	queuedShare = 0.25
	minSamples  = 4
)

// generator runs samples through the instance's own traffic path.
type generator struct{ instance *Instance }

// Limit implements rollout.Limiter: the instance's share of the slots of the
// model's engines in its failure domain, and some more to wait for one.
func (g generator) Limit(model string) int {
	i := g.instance
	view := i.view.Load()
	if view.Contract == nil {
		return minSamples
	}
	slots := 0
	for _, service := range view.Contract.ServicesOfModel(model) {
		share := max(1, service.Slots/max(1, len(view.Domain.Peers(i.settings.Domain))))
		slots += share * len(inDomain(view.Upstream.ByService(service.Name), i.settings.Domain))
	}
	return max(minSamples, slots+int(queuedShare*float64(slots)))
}

// Generate implements rollout.Generator.
func (g generator) Generate(ctx context.Context, order rollout.SampleRequest) (rollout.Sample, error) {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	i := g.instance
	view := i.view.Load()
	services := view.Contract.ServicesOfModel(order.Model)
	if len(services) == 0 {
		return rollout.Sample{}, queue.ErrNoUpstream
	}
	service := services[0].Name
	ctx, span := tracer.Start(ctx, "sample")
	defer span.End()
	engines := inDomain(view.Upstream.ByService(service), i.settings.Domain)
	ticket := queue.Ticket{
		Team: order.Team, Weight: weightOf(view.Contract, order.Team), Class: contract.ClassRollout, Cost: int64(order.Group.MaxTokens),
		Route: route.Request{
			Service: service, Domain: i.settings.Domain,
			MinWeightVersion: minWeightVersion(engines, order), Exclude: avoided(engines, order),
		},
	}
	tally := i.usage.meter.Begin(order.Team, service)
	completion, err := i.runner.Resume(ctx, ticket, upstream.CompletionRequest{
		ID: newRequestID(), Model: order.Model, Prompt: order.Group.Prompt, MaxTokens: order.Group.MaxTokens,
		Temperature: order.Group.Temperature, Seed: order.Group.Seed + int64(order.Index),
	}, order.Partial, func(chunk upstream.Chunk) error {
		tally.Output(int64(chunk.Tokens))
		order.OnTokens(chunk.WeightVersion, chunk.Tokens)
		return nil
	})
	tally.End(i.clock.Now(), int64(completion.PromptTokens), completion.OutputTokens > order.Partial.OutputTokens)
	if err != nil {
		return rollout.Sample{}, interrupted(completion, err)
	}
	return rollout.Sample{Step: order.Step, Number: order.Number, Group: order.Group.ID, Index: order.Index, Completion: completion}, nil
}

// minWeightVersion returns the preferred version if an engine that is not
// leaving says it has it, else the oldest that may be used.
func minWeightVersion(engines []upstream.Upstream, order rollout.SampleRequest) int64 {
	for _, u := range engines {
		if !u.Leaving && u.Load.WeightVersion >= order.PreferredWeightVersion {
			return max(order.PreferredWeightVersion, order.MinWeightVersion)
		}
	}
	return order.MinWeightVersion
}

// avoided returns the upstreams to exclude: those the order avoids, but none if
// no other could be used.
func avoided(engines []upstream.Upstream, order rollout.SampleRequest) []string {
	usable := slices.ContainsFunc(engines, func(u upstream.Upstream) bool {
		return !u.Leaving && u.Load.WeightVersion >= order.MinWeightVersion && !slices.Contains(order.Avoid, u.Name)
	})
	if !usable {
		return nil
	}
	return slices.Clone(order.Avoid)
}

func interrupted(begun attempt.Completion, err error) error {
	failed := &rollout.Interrupted{Partial: begun, Err: err}
	var last *attempt.Error
	if errors.As(err, &last) {
		failed.Upstream = last.Upstream
	}
	return failed
}
