package attempt

import (
	"context"
	"slices"

	"github.com/pomelocross/pomelocross/queue"
	"github.com/pomelocross/pomelocross/upstream"
)

// Resume is like Stream, but continues after prior, the output of an earlier
// call. The returned Completion starts with prior; emit gets only new chunks.
func (r *Runner) Resume(ctx context.Context, ticket queue.Ticket, request upstream.CompletionRequest, prior Completion, emit func(upstream.Chunk) error) (Completion, error) {
	prior.Ranges = slices.Clone(prior.Ranges)
	return r.stream(ctx, ticket, request, prior, emit)
}
