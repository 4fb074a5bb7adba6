package batch

import (
	"context"
	"slices"
	"sync"

	"github.com/pomelocross/pomelocross/telemetry"
	"go.uber.org/zap"
)

// Resume runs the batches that an earlier incarnation of this instance owned.
// It tries until the store answers or ctx ends.
func (s *Service) Resume(ctx context.Context) {
	for ctx.Err() == nil {
		heads, err := s.heads.List(ctx, KindHead)
		if err != nil {
			s.sleep(ctx, writePause)
			continue
		}
		for _, o := range heads.Objects {
			h, err := decodeHead(o)
			if err != nil || h.Ended || h.Owner != s.runner.Name {
				continue
			}
			if _, err := s.claim(ctx, h.ID); err != nil {
				s.log.Warn("a batch could not be resumed; its next reader runs it", zap.String("batch", h.ID), telemetry.Error(err))
			}
		}
		return
	}
}

// Handover stops all runs and gives every open batch, with the texts made so
// far, to another instance.
func (s *Service) Handover(ctx context.Context) {
	var each sync.WaitGroup
	for id, left := range s.runner.Stop(ctx) {
		each.Go(func() { s.handOver(ctx, id, left) })
	}
	each.Wait()
}

// unfinished is what an instance leaves of a batch.
type unfinished struct {
	key   string // of the instances that are to run it
	texts map[string]Partial
}

// mostSuccessors bounds the instances that a batch is offered to: each that is gone
// costs a timeout of the grace.
const mostSuccessors = 3

// successors returns the instances to offer batches of a key to.
func (s *Service) successors(key string) []string {
	successors := slices.DeleteFunc(s.peers.Owners(key), func(peer string) bool { return peer == s.runner.Peer })
	return successors[:min(mostSuccessors, len(successors))]
}

func (s *Service) handOver(ctx context.Context, id string, left unfinished) {
	partials := left.texts
	if len(partials) > 0 {
		if _, err := s.keeper.SaveProgress(ctx, id, 0, partials); err != nil {
			s.log.Warn("texts of a batch could not be kept; its items run again", zap.String("batch", id), telemetry.Error(err))
		}
	}
	for _, peer := range s.successors(left.key) {
		ask, cancel := context.WithTimeout(ctx, askMargin)
		err := s.peers.Adopt(ask, peer, id)
		cancel()
		if err == nil {
			s.log.Info("batch handed over", zap.String("batch", id), zap.String("peer", peer), zap.Int("unfinished", len(partials)))
			return
		}
		s.log.Info("another instance did not adopt a batch", zap.String("batch", id), zap.String("peer", peer), telemetry.Error(err))
	}
	if _, err := s.keeper.Change(ctx, id, func(h *Head) bool { h.Owner, h.Peer = "", ""; return !h.Ended }); err != nil {
		s.log.Warn("batch was not given free; its next reader takes it over", zap.String("batch", id), telemetry.Error(err))
	}
}

// Adopt runs a batch that its owner gives away.
func (s *Service) Adopt(ctx context.Context, id string) error {
	_, err := s.claim(ctx, id)
	return err
}

// Stop ends all runs, stores what is finished and returns the texts of
// unfinished items of each open batch.
func (r *Runner) Stop(ctx context.Context) map[string]unfinished {
	r.mu.Lock()
	r.stopping = true
	for _, j := range r.jobs {
		j.stop(errStop)
		j.announce()
	}
	r.mu.Unlock()
	r.running.Wait()
	r.mu.Lock()
	left := map[string]unfinished{}
	for id, j := range r.jobs {
		j.wakeWriter()
		if !j.open() || j.ledger.Whole() {
			continue
		}
		texts := map[string]Partial{}
		for _, s := range j.items {
			if s.events > 0 {
				texts[s.item.ID] = s.partial()
			}
		}
		left[id] = unfinished{ownerKey(j.head.Team, j.sub.Model), texts}
	}
	r.mu.Unlock()
	stored := make(chan struct{})
	go func() { r.writers.Wait(); close(stored) }()
	select {
	case <-stored:
	case <-ctx.Done(): // the store does not answer; the items run again elsewhere
	}
	return left
}
