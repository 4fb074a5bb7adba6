package batch

import (
	"context"
	"errors"
	"time"

	"github.com/pomelocross/pomelocross/telemetry"
	"go.uber.org/zap"
)

const (
	// sweepInterval is how often old batches are looked for; the call lists all heads.
	sweepInterval = time.Minute
	// sweepSlack is how much longer than it must be readable a batch is kept, for
	// clocks that differ and readers that come late.
	sweepSlack = time.Minute
	// orphaned times that age, a batch is erased by any instance: its owner is gone.
	orphaned = 3
)

// Sweep erases old batches from the store until ctx ends.
func (s *Service) Sweep(ctx context.Context) {
	for {
		s.sleep(ctx, sweepInterval)
		if ctx.Err() != nil {
			return
		}
		if err := s.sweep(ctx, s.runner.Wall()); err != nil {
			s.log.Warn("old batches were not erased", telemetry.Error(err))
		}
	}
}

// sweep erases the batches that this instance ran and that are past their time at
// now, and those that no owner will erase.
func (s *Service) sweep(ctx context.Context, now time.Time) error {
	heads, err := s.heads.List(ctx, KindHead)
	if err != nil {
		return err
	}
	var errs []error
	for _, o := range heads.Objects {
		h, err := decodeHead(o)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		age := s.limitsOf(h.Route).MaxAge + s.runner.Retention + sweepSlack
		mine := h.Owner == s.runner.Name || h.Owner == "" || h.Age(now) > orphaned*age
		if !mine || h.Age(now) < age || s.runner.Runs(h.ID) {
			continue
		}
		ledger := NewLedger(h.Items)
		if err := s.keeper.CatchUp(ctx, h.ID, ledger); err != nil {
			errs = append(errs, err)
			continue
		}
		errs = append(errs, s.keeper.Erase(ctx, h, ledger.Chunks()))
		s.log.Info("old batch erased", zap.String("batch", h.ID), zap.Duration("age", h.Age(now)), zap.Bool("ended", h.Ended))
	}
	return errors.Join(errs...)
}
