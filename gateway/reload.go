package gateway

import (
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/settings"
)

// Reload applies the settings that may change while the instance runs. It logs which
// changed settings take effect now and which at the next start.
func (g *Gateway) Reload(s *Settings) {
	taken, waiting := settings.Differences(g.currentSettings.Load(), s)
	g.log.Info("settings read again", zap.Strings("taken", taken), zap.Strings("atNextStart", waiting))
	g.currentSettings.Store(s)
}
