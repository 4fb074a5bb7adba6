package batch

import (
	"context"
	"slices"
	"sync"

	"github.com/pomelocross/pomelocross/telemetry"
	"go.uber.org/zap"
)

// Resume runs the batches that an earlier incarnation of this instance owned.
// It retries until the store returns the list of heads or ctx ends.
func (s *Service) Resume(ctx context.Context) {
	for ctx.Err() == nil {
		heads, err := s.heads.List(ctx, KindHead)
		if err != nil {
			s.sleep(ctx, storeRetryDelay)
			continue
		}
		for _, o := range heads.Objects {
			h, err := decodeHead(o)
			if err != nil || h.Ended || h.Owner != s.runner.Name {
				continue
			}
			if _, err := s.claim(ctx, h.ID, ownedBy(s.runner.Name)); err != nil {
				s.log.Warn("batch could not be resumed after a restart; the next read takes it over", zap.String("batch", h.ID), telemetry.Error(err))
			}
		}
		return
	}
}

// Handover stops all items and transfers every open batch, with the texts generated
// so far, to another instance.
func (s *Service) Handover(ctx context.Context) {
	var wg sync.WaitGroup
	for id, unfinished := range s.runner.Stop(ctx) {
		wg.Go(func() { s.handOverBatch(ctx, id, unfinished) })
	}
	wg.Wait()
}

// unfinishedBatch is the state of an open batch when its owner stops.
type unfinishedBatch struct {
	ownerKey string // key of Peers.Owners
	texts    map[string]Partial
}

// maxSuccessors limits the number of instances that a batch is offered to. Each
// unreachable one costs a call timeout out of the shutdown grace period.
const maxSuccessors = 3

// successors returns the instances that batches with an owner key are offered to,
// in order of preference.
func (s *Service) successors(key string) []string {
	peers := slices.DeleteFunc(s.peers.Owners(key), func(peer string) bool { return peer == s.runner.Peer })
	return peers[:min(maxSuccessors, len(peers))]
}

// handOverBatch stores the unfinished texts of a batch and offers it to other
// instances in turn. If none adopts it, the batch is stored without an owner.
func (s *Service) handOverBatch(ctx context.Context, id string, unfinished unfinishedBatch) {
	partials := unfinished.texts
	if len(partials) > 0 {
		if _, err := s.store.SaveProgress(ctx, id, 0, partials); err != nil {
			s.log.Warn("unfinished texts of a batch could not be stored; its items are generated again", zap.String("batch", id), telemetry.Error(err))
		}
	}
	for _, peer := range s.successors(unfinished.ownerKey) {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeoutMargin)
		err := s.peers.Adopt(callCtx, peer, id)
		cancel()
		if err == nil {
			s.log.Info("batch handed over", zap.String("batch", id), zap.String("peer", peer), zap.Int("unfinished", len(partials)))
			return
		}
		s.log.Info("instance did not adopt the batch; trying the next one", zap.String("batch", id), zap.String("peer", peer), telemetry.Error(err))
	}
	_, err := s.store.UpdateHead(ctx, id, func(h *Head) bool {
		clearOwner := !h.Ended && h.Owner == s.runner.Name // a response to Adopt may have been lost
		if clearOwner {
			h.Owner, h.Peer = "", ""
		}
		return clearOwner
	})
	if err != nil {
		s.log.Warn("owner of the batch could not be cleared; the next read takes it over", zap.String("batch", id), telemetry.Error(err))
	}
}

// Adopt makes this instance the owner of a batch that its current owner hands over.
func (s *Service) Adopt(ctx context.Context, id string) error {
	_, err := s.claim(ctx, id, ownedByAny)
	return err
}

// Stop cancels all items, stores the finished results and returns the texts of the
// unfinished items of each open batch, by batch ID.
func (r *Runner) Stop(ctx context.Context) map[string]unfinishedBatch {
	r.mu.Lock()
	r.stopping = true
	for _, j := range r.jobs {
		j.cancelAttempts(errStopping)
		j.notifyReaders()
	}
	r.mu.Unlock()
	r.attempts.Wait()
	r.mu.Lock()
	unfinished := map[string]unfinishedBatch{}
	for id, j := range r.jobs {
		j.wakeWriter()
		if !j.open() || j.results.Complete() {
			continue
		}
		texts := map[string]Partial{}
		for _, s := range j.items {
			if s.events > 0 || s.failures > 0 {
				texts[s.item.ID] = s.partial()
			}
		}
		unfinished[id] = unfinishedBatch{ownerKey(j.head.Team, j.sub.Model), texts}
	}
	r.mu.Unlock()
	stored := make(chan struct{})
	go func() { r.writers.Wait(); close(stored) }()
	select {
	case <-stored:
	case <-ctx.Done(): // the store does not respond; other instances run these items again
	}
	return unfinished
}
