package rollout

import (
	"context"
	"time"
)

// maxIdleIntervals is the number of heartbeat intervals after which a home without
// calls from its trainer stops writing heartbeats.
const maxIdleIntervals = 9

// KeepAlive calls Tick at each interval until the home is stopped.
func (h *Home) KeepAlive(interval time.Duration) {
	ticker := h.clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-ticker.Chan():
			h.Tick(interval)
		}
	}
}

// Tick does the periodic work of a home: it moves stragglers, writes a heartbeat to
// the ledger, which shows other instances that the home is live, and deletes
// garbage. If no trainer has called the home for maxIdleIntervals, it writes no
// heartbeat, so that another instance can claim the run. A failed write is retried
// at the next tick.
func (h *Home) Tick(interval time.Duration) {
	h.moveStragglers()
	h.mu.Lock()
	active := h.activePull != nil || h.clock.Since(h.lastCallAt) < maxIdleIntervals*interval
	h.mu.Unlock()
	if !active {
		return
	}
	err := h.updateLedger(h.ctx, func(l *Ledger) error {
		l.Heartbeat++
		return nil
	})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(h.ctx, storeTimeout)
	defer cancel()
	_ = h.collectGarbage(ctx) // the next tick retries the rest
}
