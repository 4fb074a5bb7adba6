package rollout

import (
	"context"
	"errors"

	"github.com/pomelocross/pomelocross/objects"
)

// change writes the ledger after mutate. It does not end with the caller, whose
// leaving would only make the outcome unknown. When the outcome stays unknown
// the home keeps its samples and settles the question before the next change.
func (h *Home) change(ctx context.Context, mutate func(*Ledger) error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	h.serial.Lock()
	defer h.serial.Unlock()
	if h.ctx.Err() != nil {
		return ErrMoved
	}
	if h.isUncertain() {
		if err := h.reread(ctx); err != nil {
			return err
		}
	}
	next := h.current().Clone()
	if err := mutate(next); err != nil {
		return err
	}
	orphans := h.takeOrphans(next)
	version, err := h.book.save(ctx, next, h.versionNow())
	if err != nil {
		h.orphan(orphans...)
		return h.settleWrite(ctx, next, err)
	}
	h.adopt(next, version)
	return nil
}

// orphan notes contents whose commit failed. The write of the ledger may still
// be under way, so they become garbage only with a later one that succeeds.
func (h *Home) orphan(blobs ...Blob) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.orphans = append(h.orphans, blobs...)
}

// takeOrphans moves orphans into the garbage of next, but for those that next
// refers to after all.
func (h *Home) takeOrphans(next *Ledger) []Blob {
	h.mu.Lock()
	defer h.mu.Unlock()
	taken := h.orphans
	h.orphans = nil
	for _, blob := range taken {
		if !next.refersTo(blob) {
			next.discard(blob)
		}
	}
	return taken
}

// amend changes the ledger without writing it. The next write carries it. Only
// what the trainer's next pull says again may be amended.
func (h *Home) amend(mutate func(*Ledger)) {
	h.serial.Lock()
	defer h.serial.Unlock()
	next := h.current().Clone()
	mutate(next)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unsaved = true
	h.install(next)
}

// settleWrite finds out whether a failed write took effect. The caller holds serial.
func (h *Home) settleWrite(ctx context.Context, next *Ledger, cause error) error {
	h.setUncertain()
	if err := h.reread(ctx); err != nil {
		return errors.Join(err, cause)
	}
	same, err := sameLedger(h.current(), next)
	if err != nil || same {
		return err
	}
	return unavailable(cause)
}

// reread adopts the stored ledger, or gives the home up when the run has
// another. The caller holds serial.
func (h *Home) reread(ctx context.Context) error {
	known := h.current()
	stored, version, err := h.book.ledger(ctx, known.Run)
	if errors.Is(err, ErrUnknownRun) {
		h.giveUp()
		return err
	}
	if err != nil {
		return err
	}
	if stored.Epoch != known.Epoch || stored.Home != known.Home {
		h.giveUp()
		return ErrMoved
	}
	h.adopt(stored, version)
	return nil
}

// settleUncertain finds out what is in force after a write with an unknown outcome.
func (h *Home) settleUncertain(ctx context.Context) error {
	if !h.isUncertain() {
		return nil
	}
	h.serial.Lock()
	defer h.serial.Unlock()
	return h.reread(ctx)
}

// verify returns nil when the platform still names this home.
func (h *Home) verify(ctx context.Context) error {
	known := h.current()
	stored, _, err := h.book.ledger(ctx, known.Run)
	if err != nil {
		return err
	}
	if stored.Epoch != known.Epoch || stored.Home != known.Home {
		h.giveUp()
		return ErrMoved
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmed = h.clock.Now()
	return nil
}

// adopt makes the stored ledger the current one.
func (h *Home) adopt(ledger *Ledger, version objects.Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version, h.uncertain, h.unsaved, h.confirmed = version, false, false, h.clock.Now()
	h.install(ledger)
}

// install makes a ledger the current one and brings the work in line with it.
// The caller holds mu.
func (h *Home) install(ledger *Ledger) {
	if h.ledger != nil && ledger.WeightVersion > h.ledger.WeightVersion {
		h.pace.newWeights(h.clock.Now())
	}
	h.ledger = ledger
	h.align()
	h.schedule()
	h.signal()
}

// sweep deletes stored contents that nothing refers to. It does nothing while
// the platform's ledger may still refer to them.
func (h *Home) sweep(ctx context.Context) error {
	h.serial.Lock()
	defer h.serial.Unlock()
	h.mu.Lock()
	garbage, unsure := h.ledger.Garbage, h.unsaved || h.uncertain
	h.mu.Unlock()
	if unsure || len(garbage) == 0 {
		return nil
	}
	for _, blob := range garbage {
		if err := h.book.remove(ctx, blob); err != nil {
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

func (h *Home) isUncertain() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.uncertain
}

func (h *Home) setUncertain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.uncertain = true
}
