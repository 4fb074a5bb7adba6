package rollout

import (
	"context"
	"errors"

	"github.com/pomelocross/pomelocross/objects"
)

// updateLedger applies mutate to a copy of the ledger and writes the copy. The
// write ignores cancellation of ctx, because an interrupted write would have an
// unknown outcome. If the outcome is unknown anyway, the home keeps its samples
// and rereads the ledger before the next update.
func (h *Home) updateLedger(ctx context.Context, mutate func(*Ledger) error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	if h.ctx.Err() != nil {
		return ErrMoved
	}
	if h.isOutcomeUnknown() {
		if err := h.reloadLedger(ctx); err != nil {
			return err
		}
	}
	next := h.currentLedger().Clone()
	if err := mutate(next); err != nil {
		return err
	}
	orphans := h.takeOrphans(next)
	version, err := h.ledgers.writeLedger(ctx, next, h.currentVersion())
	if err != nil {
		h.addOrphans(orphans...)
		return h.resolveFailedWrite(ctx, next, err)
	}
	h.setStoredLedger(next, version)
	return nil
}

// addOrphans records blobs whose commit failed. The failed ledger write may still
// take effect, so the blobs become garbage only with a later successful write.
func (h *Home) addOrphans(blobs ...Blob) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.orphans = append(h.orphans, blobs...)
}

// takeOrphans empties the list of orphans and adds them to the garbage of next,
// except for those that next references. It returns all of them.
func (h *Home) takeOrphans(next *Ledger) []Blob {
	h.mu.Lock()
	defer h.mu.Unlock()
	taken := h.orphans
	h.orphans = nil
	for _, blob := range taken {
		if !next.references(blob) {
			next.addGarbage(blob)
		}
	}
	return taken
}

// updateUnsaved changes the ledger in memory only; the next write includes the
// change. It is safe only for changes that the trainer's next pull repeats.
func (h *Home) updateUnsaved(mutate func(*Ledger)) {
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	next := h.currentLedger().Clone()
	mutate(next)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unsaved = true
	h.setLedger(next)
}

// resolveFailedWrite rereads the ledger to find out whether the write of next,
// which failed with cause, took effect. The caller holds ledgerMu.
func (h *Home) resolveFailedWrite(ctx context.Context, next *Ledger, cause error) error {
	h.setOutcomeUnknown()
	if err := h.reloadLedger(ctx); err != nil {
		return errors.Join(err, cause)
	}
	same, err := sameLedger(h.currentLedger(), next)
	if err != nil || same {
		return err
	}
	return wrapUnavailable(cause)
}

// reloadLedger replaces the ledger by the stored one. It stops the home if the run
// no longer exists or another home has claimed it. The caller holds ledgerMu.
func (h *Home) reloadLedger(ctx context.Context) error {
	known := h.currentLedger()
	stored, version, err := h.ledgers.readLedger(ctx, known.Run)
	if errors.Is(err, ErrUnknownRun) {
		h.cancel()
		return err
	}
	if err != nil {
		return err
	}
	if stored.Epoch != known.Epoch || stored.Home != known.Home {
		h.cancel()
		return ErrMoved
	}
	h.setStoredLedger(stored, version)
	return nil
}

// resolveUnknownOutcome rereads the ledger after a write with an unknown outcome.
func (h *Home) resolveUnknownOutcome(ctx context.Context) error {
	if !h.isOutcomeUnknown() {
		return nil
	}
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	return h.reloadLedger(ctx)
}

// verifyOwnership reads the stored ledger and returns nil if it still names this
// home. Otherwise it stops the home and returns ErrMoved.
func (h *Home) verifyOwnership(ctx context.Context) error {
	known := h.currentLedger()
	stored, _, err := h.ledgers.readLedger(ctx, known.Run)
	if err != nil {
		return err
	}
	if stored.Epoch != known.Epoch || stored.Home != known.Home {
		h.cancel()
		return ErrMoved
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmedAt = h.clock.Now()
	return nil
}

// setStoredLedger makes a ledger that is stored with the given version the current
// one.
func (h *Home) setStoredLedger(ledger *Ledger, version objects.Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version, h.outcomeUnknown, h.unsaved, h.confirmedAt = version, false, false, h.clock.Now()
	h.setLedger(ledger)
}

// setLedger makes a ledger the current one, updates the steps to match it and
// wakes a waiting pull. The caller holds mu.
func (h *Home) setLedger(ledger *Ledger) {
	if h.ledger != nil && ledger.WeightVersion > h.ledger.WeightVersion {
		h.timing.recordVersion(h.clock.Now())
	}
	h.ledger = ledger
	h.reconcile()
	h.schedule()
	h.notifyPull()
}

// collectGarbage deletes stored blobs that the ledger no longer references. It
// does nothing while the stored ledger may still reference them.
func (h *Home) collectGarbage(ctx context.Context) error {
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	h.mu.Lock()
	garbage, mayBeReferenced := h.ledger.Garbage, h.unsaved || h.outcomeUnknown
	h.mu.Unlock()
	if mayBeReferenced || len(garbage) == 0 {
		return nil
	}
	for _, blob := range garbage {
		if err := h.ledgers.deleteBlob(ctx, blob); err != nil {
			return err
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ledger = h.ledger.Clone()
	h.ledger.Garbage = nil
	return nil
}

func sameLedger(a, b *Ledger) (bool, error) {
	first, err := encode(a)
	if err != nil {
		return false, err
	}
	second, err := encode(b)
	return string(first) == string(second), err
}

func (h *Home) isOutcomeUnknown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outcomeUnknown
}

func (h *Home) setOutcomeUnknown() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomeUnknown = true
}
