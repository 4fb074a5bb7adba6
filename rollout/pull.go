package rollout

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pomelocross/pomelocross/platform"
)

// Pull settles the batch that the trainer has consumed and returns the next
// one, or nil when none filled within the wait. A batch whose answer was lost
// is returned again, byte for byte, unless its samples have grown too old.
func (h *Home) Pull(ctx context.Context, request PullRequest) (*Batch, error) {
	h.pulling.Lock()
	defer h.pulling.Unlock()
	if batch, err := h.settleOrRepeat(ctx, request.Consumed); batch != nil || err != nil {
		return batch, err
	}
	deadline := h.clock.After(time.Duration(request.WaitSeconds * float64(time.Second)))
	for {
		if err := h.dropStale(ctx); err != nil {
			return nil, err
		}
		batch, ref, changed := h.compose()
		if batch != nil {
			handed, err := h.handOver(ctx, batch, ref)
			if handed || err != nil {
				return batch, err
			}
			continue
		}
		select {
		case <-changed:
		case <-deadline:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-h.ctx.Done():
			return nil, ErrMoved
		}
	}
}

func (h *Home) settleOrRepeat(ctx context.Context, consumed int64) (*Batch, error) {
	h.serial.Lock()
	defer h.serial.Unlock()
	ledger := h.current()
	switch {
	case consumed == ledger.Batch.Number && !ledger.Settled:
		return nil, h.settle(ctx, ledger)
	case consumed != ledger.Consumed:
		return nil, ErrOrder
	case ledger.Settled:
		return nil, nil
	case ledger.Batch.Oldest < ledger.FreshFrom():
		return nil, h.void(ctx, ledger)
	}
	var batch Batch
	return &batch, h.book.read(ctx, platform.KindBatch, ledger.Batch.Object, &batch)
}

func (h *Home) settle(ctx context.Context, ledger *Ledger) error {
	next := ledger.Clone()
	next.Settle()
	if err := h.commit(ctx, next); err != nil {
		return err
	}
	h.forget(ctx, ledger.Batch.Object)
	return nil
}

func (h *Home) void(ctx context.Context, ledger *Ledger) error {
	next := ledger.Clone()
	step, samples, object := next.Batch.Step, slices.Clone(next.Batch.Samples), next.Batch.Object
	next.Void()
	if err := h.commit(ctx, next); err != nil {
		return err
	}
	h.forget(ctx, object)
	return h.reorder(ctx, next, step, samples)
}

// dropStale generates ready samples anew that the trainer's version has left behind.
func (h *Home) dropStale(ctx context.Context) error {
	ledger := h.current()
	for step, numbers := range h.takeStale(ledger.FreshFrom()) {
		if err := h.reorder(ctx, ledger, step, numbers); err != nil {
			return err
		}
	}
	return nil
}

func (h *Home) takeStale(freshFrom int64) map[int64][]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	stale := map[int64][]int{}
	for step, samples := range h.ready {
		for n, sample := range samples {
			if sample.Oldest() < freshFrom {
				stale[step] = append(stale[step], n)
				delete(samples, n)
			}
		}
	}
	return stale
}

// compose returns the next batch when enough samples of the oldest open step
// are ready, or a channel that is closed when more are.
func (h *Home) compose() (*Batch, BatchRef, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, state := range h.ledger.Steps {
		left := state.Samples - state.Delivered.Count()
		if left == 0 {
			continue
		}
		wanted := min(left, h.ledger.BatchSamples)
		if len(h.ready[state.Step]) < wanted {
			return nil, BatchRef{}, h.changed
		}
		batch, ref := fill(h.ledger, state, h.ready[state.Step], wanted)
		batch.StepWhole = len(batch.Samples) == left
		return batch, ref, nil
	}
	return nil, BatchRef{}, h.changed
}

// fill takes up to wanted samples in the order of their numbers, within the
// size of a platform object.
func fill(ledger *Ledger, state StepState, ready map[int]Sample, wanted int) (*Batch, BatchRef) {
	numbers := make([]int, 0, len(ready))
	for n := range ready {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	batch := &Batch{Number: ledger.Batch.Number + 1, Step: state.Step}
	ref := BatchRef{Number: batch.Number, Step: state.Step}
	size := 0
	for _, n := range numbers[:wanted] {
		sample := ready[n]
		size += encodedSize(sample)
		if size > MaxBatchBytes && len(batch.Samples) > 0 {
			break
		}
		batch.Samples = append(batch.Samples, sample)
		ref.Samples = append(ref.Samples, n)
		if ref.Oldest == 0 || sample.Oldest() < ref.Oldest {
			ref.Oldest = sample.Oldest()
		}
	}
	return batch, ref
}

func encodedSize(sample Sample) int {
	data, err := json.Marshal(sample)
	if err != nil {
		return MaxBatchBytes
	}
	return len(data)
}

// handOver stores the batch, then commits it to the ledger. Only then may it
// leave the instance. It returns false when the batch grew stale meanwhile.
func (h *Home) handOver(ctx context.Context, batch *Batch, ref BatchRef) (bool, error) {
	hash, err := hashOf(batch)
	if err != nil {
		return false, err
	}
	ref.Hash = hash
	ref.Object = batchObject(h.current().Run, ref.Number, hash)
	if err := h.book.create(ctx, platform.KindBatch, ref.Object, batch); err != nil {
		return false, err
	}
	h.serial.Lock()
	defer h.serial.Unlock()
	next := h.current().Clone()
	if ref.Oldest < next.FreshFrom() {
		return false, nil
	}
	next.Commit(ref)
	if err := h.commit(ctx, next); err != nil {
		return false, err
	}
	h.discard(ref)
	return true, nil
}

func (h *Home) discard(ref BatchRef) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range ref.Samples {
		delete(h.ready[ref.Step], n)
	}
}
