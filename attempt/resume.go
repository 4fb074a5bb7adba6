package attempt

import (
	"context"
	"slices"

	"github.com/pomelocross/pomelocross/queue"
	"github.com/pomelocross/pomelocross/upstream"
)

// Resume runs a completion as Stream does, behind what an earlier call has
// generated. The Completion begins with begun.
func (r *Runner) Resume(ctx context.Context, ticket queue.Ticket, request upstream.CompletionRequest, begun Completion, emit func(upstream.Chunk) error) (Completion, error) {
	begun.Ranges = slices.Clone(begun.Ranges)
	return r.stream(ctx, ticket, request, begun, emit)
}
