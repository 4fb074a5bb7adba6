package gateway

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// confirmation records when the configuration was last confirmed to be the store's.
type confirmation struct {
	asOf    atomic.Int64 // nanoseconds of the boot clock; 0 before the first confirmation
	expired atomic.Bool  // keys are not accepted
}

// confirm records that the configuration was the store's at a time. An earlier time than
// the recorded one has no effect.
func (c *confirmation) confirm(asOf time.Time) {
	for {
		known := c.asOf.Load()
		if asOf.UnixNano() <= known || c.asOf.CompareAndSwap(known, asOf.UnixNano()) {
			return
		}
	}
}

// age returns the time since the last confirmation.
func (c *confirmation) age(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, c.asOf.Load()))
}

// keysConfirmed reports whether keys may be accepted: a key of the known configuration
// may have been withdrawn since it was last confirmed. It is always true without
// StrictRevoke.
func (g *Gateway) keysConfirmed() bool {
	if !g.settings.StrictRevoke {
		return true
	}
	age := g.confirmation.age(g.clock.Now())
	expired := age > g.settings.RevokeBound
	if g.confirmation.expired.CompareAndSwap(!expired, expired) {
		g.log.Info("acceptance of keys changed", zap.Bool("accepted", !expired), zap.Duration("unconfirmed", age), zap.Int64("config", g.configVersion()))
	}
	return !expired
}

// maxConfigWait returns the wait of a watch of the configuration: wait or, if keys are
// accepted only with a confirmed configuration, as much less as several confirmations
// within the bound take.
func (s *Settings) maxConfigWait(wait time.Duration) time.Duration {
	const confirmationsPerBound = 5 // a source, its reader and a source that fails take a wait each
	if !s.StrictRevoke {
		return wait
	}
	return min(wait, s.RevokeBound/confirmationsPerBound)
}
