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
	// sampleTimeout limits one attempt to generate a sample.
	sampleTimeout = 10 * time.Minute
	// queuedFraction is the number of samples per slot that may wait in the queue, so
	// that a free slot is used at once.
	queuedFraction = 0.25
	minSamples     = 4
)

// generator generates rollout samples through the same queues and upstreams as
// the requests of callers.
type generator struct{ instance *Instance }

// Limit implements rollout.Limiter. It returns the instance's share of the slots of
// the model's engines in its failure domain plus queuedFraction, and at least
// minSamples.
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
	return max(minSamples, slots+int(queuedFraction*float64(slots)))
}

// Generate implements rollout.Generator.
func (g generator) Generate(ctx context.Context, request rollout.SampleRequest) (rollout.Sample, error) {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	i := g.instance
	view := i.view.Load()
	services := view.Contract.ServicesOfModel(request.Model)
	if len(services) == 0 {
		return rollout.Sample{}, queue.ErrNoUpstream
	}
	service := services[0].Name
	ctx, span := tracer.Start(ctx, "sample")
	defer span.End()
	engines := inDomain(view.Upstream.ByService(service), i.settings.Domain)
	ticket := queue.Ticket{
		Team: request.Team, Weight: weightOf(view.Contract, request.Team), Class: contract.ClassRollout, Cost: int64(request.Group.MaxTokens),
		Route: route.Request{
			Service: service, Domain: i.settings.Domain,
			MinWeightVersion: minWeightVersion(engines, request), Exclude: excludedUpstreams(engines, request),
		},
	}
	tally := i.usage.meter.Begin(request.Team, service)
	completion, err := i.runner.Resume(ctx, ticket, upstream.CompletionRequest{
		ID: newRequestID(), Model: request.Model, Prompt: request.Group.Prompt, MaxTokens: request.Group.MaxTokens,
		Temperature: request.Group.Temperature, Seed: request.Group.Seed + int64(request.Index),
	}, request.Partial, func(chunk upstream.Chunk) error {
		tally.Output(int64(chunk.Tokens))
		request.OnTokens(chunk.WeightVersion, chunk.Tokens)
		return nil
	})
	tally.End(i.clock.Now(), int64(completion.PromptTokens), completion.OutputTokens > request.Partial.OutputTokens)
	if err != nil {
		return rollout.Sample{}, interruptedError(completion, err)
	}
	return rollout.Sample{Step: request.Step, Number: request.Number, Group: request.Group.ID, Index: request.Index, Completion: completion}, nil
}

// minWeightVersion returns the preferred version if an engine that is not leaving
// reports it or a newer one, otherwise the oldest usable version.
func minWeightVersion(engines []upstream.Upstream, request rollout.SampleRequest) int64 {
	for _, u := range engines {
		if !u.Leaving && u.Load.WeightVersion >= request.PreferredWeightVersion {
			return max(request.PreferredWeightVersion, request.MinWeightVersion)
		}
	}
	return request.MinWeightVersion
}

// excludedUpstreams returns the upstreams that the request avoids, or none if no
// other upstream is usable.
func excludedUpstreams(engines []upstream.Upstream, request rollout.SampleRequest) []string {
	usable := slices.ContainsFunc(engines, func(u upstream.Upstream) bool {
		return !u.Leaving && u.Load.WeightVersion >= request.MinWeightVersion && !slices.Contains(request.Avoid, u.Name)
	})
	if !usable {
		return nil
	}
	return slices.Clone(request.Avoid)
}

func interruptedError(partial attempt.Completion, err error) error {
	interrupted := &rollout.Interrupted{Partial: partial, Err: err}
	var attemptErr *attempt.Error
	if errors.As(err, &attemptErr) {
		interrupted.Upstream = attemptErr.Upstream
	}
	return interrupted
}
