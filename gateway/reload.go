package gateway

import (
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/settings"
)

// Reload takes over those of the settings that may change while the instance runs,
// and logs which do and which wait for the next start.
func (g *Gateway) Reload(s *Settings) {
	taken, waiting := settings.Differences(g.live.Load(), s)
	g.log.Info("settings read again", zap.Strings("taken", taken), zap.Strings("atNextStart", waiting))
	g.live.Store(s)
}
