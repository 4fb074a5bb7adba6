package batch

import (
	"context"
	"errors"
	"time"

	"github.com/pomelocross/pomelocross/telemetry"
	"go.uber.org/zap"
)

const (
	// sweepInterval is the time between two sweeps; each lists all heads.
	sweepInterval = time.Minute
	// sweepMargin is how long a batch is kept beyond the time that it must be readable, to
	// allow for clock differences and late readers.
	sweepMargin = time.Minute
	// orphanFactor is the multiple of the deletion age after which any instance deletes a
	// batch, assuming that its owner no longer exists.
	orphanFactor = 3
)

// Sweep periodically deletes old batches from the store until ctx ends.
func (s *Service) Sweep(ctx context.Context) {
	for {
		s.sleep(ctx, sweepInterval)
		if ctx.Err() != nil {
			return
		}
		if err := s.sweep(ctx, s.runner.Wall()); err != nil {
			s.log.Warn("old batches could not be deleted; retrying at the next sweep", telemetry.Error(err))
		}
	}
}

// sweep deletes the batches that are past their deletion age at now: those that this
// instance ran, those without an owner and, by orphanFactor, those whose owner no longer
// exists.
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
		age := s.runner.LimitsOf(h.Head).MaxAge + s.runner.Retention + sweepMargin
		responsible := h.Owner == s.runner.Name || h.Owner == "" || h.Age(now) > orphanFactor*age
		if !responsible || h.Age(now) < age || s.runner.Runs(h.ID) {
			continue
		}
		results := NewResultLog(h.Items)
		if err := s.store.CatchUp(ctx, h.ID, results); err != nil {
			errs = append(errs, err)
			continue
		}
		errs = append(errs, s.store.Delete(ctx, h, results.Chunks()))
		s.log.Info("old batch deleted", zap.String("batch", h.ID), zap.Duration("age", h.Age(now)), zap.Bool("ended", h.Ended))
	}
	return errors.Join(errs...)
}
