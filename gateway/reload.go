package gateway

import (
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/settings"
)

// Reload applies changes of reloadable settings to the running instance. It logs which
// changed settings take effect now and which after a restart.
func (g *Gateway) Reload(s *Settings) {
	reloaded, atRestart := settings.Differences(g.currentSettings.Load(), s)
	g.log.Info("settings read again", zap.Strings("taken", reloaded), zap.Strings("atNextStart", atRestart))
	g.currentSettings.Store(s)
	g.buffers.SetLimit(memoryShare(s.MemoryMB))
	g.intake.SetSettings(s.intake())
}
