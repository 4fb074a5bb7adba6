package gateway

import (
	"context"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/platform"
)

// followEvacuations follows the evacuated failure domains until ctx ends. Requests that
// run in such a domain go on; new ones are sent to other domains or rejected.
func (g *Gateway) followEvacuations(ctx context.Context) {
	if g.settings.EvacuationBound == 0 {
		g.evacuationsListed.Store(true)
		return
	}
	g.follow(ctx, platform.KindEvacuations, g.settings.evacuationPath().readerWait, nil, func() { g.evacuationsListed.Store(true) }, g.applyEvacuation)
}

// applyEvacuation applies a changed or removed evacuation to the roster.
func (g *Gateway) applyEvacuation(o objects.Object) {
	if g.roster.SetEvacuated(o.Name, !o.Deleted) {
		g.log.Info("evacuation of a failure domain changed", zap.String("domain", o.Name), zap.Bool("evacuated", !o.Deleted), zap.Int64("revision", int64(o.Version)))
	}
}
