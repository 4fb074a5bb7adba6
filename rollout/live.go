package rollout

import (
	"context"
	"time"
)

// idleBeats is for how many beats a home stays live without a trainer's call.
const idleBeats = 9

// KeepAlive shows others that the home is live, moves stragglers and deletes
// garbage, at each interval until the home is given up.
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

// Tick does the work of one interval. A home that no trainer reaches writes
// nothing, so that another instance may claim the run; a failed write is
// repeated at the next tick.
func (h *Home) Tick(interval time.Duration) {
	h.moveStragglers()
	h.mu.Lock()
	live := h.waiting != nil || h.clock.Since(h.lastCaller) < idleBeats*interval
	h.mu.Unlock()
	if !live {
		return
	}
	err := h.change(h.ctx, func(l *Ledger) error {
		l.Beat++
		return nil
	})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(h.ctx, storeTimeout)
	defer cancel()
	_ = h.sweep(ctx) // what is left is tried again
}
