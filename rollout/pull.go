package rollout

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/objects"
)

// Pull settles the batch that the trainer has consumed and returns the next one, or
// nil if no batch was filled within the wait. A batch whose response was lost is
// returned again, byte for byte, unless its samples have become stale. A newer
// pull ends an older one, which returns ErrSuperseded.
func (h *Home) Pull(ctx context.Context, request PullRequest) (*Delivery, error) {
	ctx, done := h.registerPull(ctx)
	defer done()
	h.pullMu.Lock()
	defer h.pullMu.Unlock()
	if err := context.Cause(ctx); err != nil {
		return nil, err
	}
	if err := h.loadSteps(ctx); err != nil {
		return nil, err
	}
	deadline := h.clock.After(time.Duration(request.WaitSeconds * float64(time.Second)))
	for {
		delivery, changed, err := h.pullOnce(ctx, request.Consumed)
		if delivery != nil || err != nil {
			return delivery, err
		}
		select {
		case <-changed:
		case <-deadline:
			return nil, h.confirmOwnership(ctx)
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-h.ctx.Done():
			return nil, ErrMoved
		}
	}
}

// maxConfirmationAge is how long a home relies on its last check that it still
// serves the run.
const maxConfirmationAge = time.Second

// confirmOwnership returns nil if ownership of the run was confirmed within
// maxConfirmationAge or the stored ledger still names this home. Without confirmation
// the home must not return an empty response, because another home may have batches
// for the trainer.
func (h *Home) confirmOwnership(ctx context.Context) error {
	h.mu.Lock()
	recent := h.clock.Since(h.confirmedAt) < maxConfirmationAge
	h.mu.Unlock()
	if recent {
		return nil
	}
	return h.verifyOwnership(ctx)
}

// activePull is the newest pull of the run.
type activePull struct{ cancel context.CancelCauseFunc }

// registerPull cancels the previous pull and registers a new one. It returns the
// context of the new pull and a function that unregisters it.
func (h *Home) registerPull(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	pull := &activePull{cancel: cancel}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.activePull != nil {
		h.activePull.cancel(ErrSuperseded)
	}
	h.activePull, h.lastCallAt = pull, h.clock.Now()
	return ctx, func() { h.unregisterPull(pull) }
}

func (h *Home) unregisterPull(pull *activePull) {
	pull.cancel(nil)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.activePull == pull {
		h.activePull = nil
	}
}

// pullOnce applies the trainer's acknowledgement to the ledger, then returns the
// next batch if enough samples are ready. Otherwise it returns a channel that is
// closed when more samples may be ready.
func (h *Home) pullOnce(ctx context.Context, consumed int64) (*Delivery, <-chan struct{}, error) {
	if err := h.resolveUnknownOutcome(ctx); err != nil {
		return nil, nil, err
	}
	ledger := h.currentLedger()
	if ledger.Closed {
		return nil, nil, ErrClosed
	}
	switch ledger.Decide(consumed) {
	case PullRepeat:
		delivery, err := h.redeliver(ctx, ledger.Batch)
		return delivery, nil, err
	case PullReject:
		return nil, nil, h.batchNumberError(ctx, consumed)
	case PullSettle:
		h.updateUnsaved((*Ledger).Settle)
	case PullVoid:
		h.updateUnsaved((*Ledger).Void)
	case PullReclaim:
		h.updateUnsaved(func(l *Ledger) { l.Reclaim(consumed) })
	}
	body, ref, changed, err := h.composeBatch()
	if body == nil || err != nil {
		return nil, changed, err
	}
	delivery, err := h.commitBatch(ctx, body, ref)
	if errors.Is(err, errBatchOutdated) {
		return nil, closedChannel, nil
	}
	return delivery, nil, err
}

// closedChannel makes Pull retry immediately.
var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// batchNumberError returns the error for a batch number that the ledger does not
// accept. It verifies ownership first: a home that has lost the run without noticing
// must not reject a batch that the next home has delivered.
func (h *Home) batchNumberError(ctx context.Context, consumed int64) error {
	if err := h.verifyOwnership(ctx); err != nil {
		return err
	}
	ledger := h.currentLedger()
	return &OrderError{Given: consumed, Consumed: ledger.Consumed, Last: ledger.Batch.Number}
}

// redeliver returns a committed batch again. It verifies ownership first: if this
// home was paused for a while, another one may have claimed the run and voided the
// batch.
func (h *Home) redeliver(ctx context.Context, ref BatchRef) (*Delivery, error) {
	if err := h.verifyOwnership(ctx); err != nil {
		return nil, err
	}
	body, err := h.ledgers.readBlob(ctx, ref.Content, ref.Hash)
	if err != nil {
		return nil, err
	}
	return &Delivery{Number: ref.Number, Body: body}, nil
}

// composeBatch returns the encoded next batch if enough samples of the oldest step
// with undelivered samples are ready, by number or by size. Otherwise it returns a
// nil body and a channel that is closed when more samples may be ready.
func (h *Home) composeBatch() ([]byte, BatchRef, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.ledger.Steps {
		state := &h.ledger.Steps[i]
		undelivered := state.Samples - state.Delivered.Count()
		w := h.steps[state.Step]
		if undelivered == 0 {
			continue
		}
		if w == nil || w.ready < min(undelivered, h.ledger.BatchSamples) && w.readyBytes < MaxBatchBytes {
			break
		}
		ref, samples := w.fillBatch(h.ledger.BatchSamples)
		ref.Number = h.ledger.Batch.Number + 1
		body, err := encodeBatch(ref, len(samples) == undelivered, samples)
		return body, ref, nil, err
	}
	return nil, BatchRef{}, h.changed, nil
}

// fillBatch adds units in the order of their completion until the batch has wanted
// samples or would exceed MaxBatchBytes. The batch has at least one unit.
func (w *stepWork) fillBatch(wanted int) (BatchRef, []json.RawMessage) {
	ref := BatchRef{Step: w.spec.Step}
	var samples []json.RawMessage
	size := 0
	for _, unit := range w.units {
		unitSize := 0
		for _, n := range unit {
			unitSize += len(w.samples[n].data)
		}
		full := len(samples) >= wanted || size+unitSize > MaxBatchBytes
		if full && len(samples) > 0 {
			break
		}
		size += unitSize
		for _, n := range unit {
			s := &w.samples[n]
			samples = append(samples, s.data)
			ref.Samples.Set(n, true)
			if ref.Oldest == 0 || s.oldest < ref.Oldest {
				ref.Oldest = s.oldest
			}
		}
	}
	return ref, samples
}

// encodeBatch returns the JSON of a Batch whose samples are already encoded. whole is
// its StepWhole.
func encodeBatch(ref BatchRef, whole bool, samples []json.RawMessage) ([]byte, error) {
	head, err := encode(Batch{Number: ref.Number, Step: ref.Step, StepWhole: whole})
	if err != nil {
		return nil, err
	}
	var body bytes.Buffer
	body.Write(bytes.TrimSuffix(head, []byte("null}")))
	body.WriteByte('[')
	for i, sample := range samples {
		if i > 0 {
			body.WriteByte(',')
		}
		body.Write(sample)
	}
	body.WriteString("]}")
	return body.Bytes(), nil
}

// errBatchOutdated means that the ledger has changed since a batch was composed. The
// pull then composes another one.
var errBatchOutdated = errors.New("ledger has changed since the batch was composed")

// preparedBatch identifies the batch that is being committed. A retry after a failure
// writes the same content under the same name if the batch has not changed.
type preparedBatch struct {
	hash string // of the content
	seq  int64  // in its blob name
}

// maxOrphans limits how far the sequence numbers of blobs that a home writes may be
// ahead of those in the stored ledger, so that the next home can find and delete
// blobs that were never committed.
const maxOrphans = 4

// commitBatch stores the batch and then commits it to the ledger. The batch must not
// leave the instance before that.
func (h *Home) commitBatch(ctx context.Context, body []byte, ref BatchRef) (*Delivery, error) {
	ref.Hash = contentHash(body)
	if err := h.reserveBatchSeq(ctx, ref.Hash); err != nil {
		return nil, err
	}
	ledger, seq := h.currentLedger(), h.prepared.seq
	blob, err := h.ledgers.writeBlob(ctx, objects.KindBatch, ledger.blobName(seq), body)
	ref.Content = blob
	if err == nil {
		err = h.updateLedger(ctx, func(l *Ledger) error {
			if l.Batch.Number+1 != ref.Number || !l.Settled || ref.Oldest < l.MinWeightVersion() {
				return errBatchOutdated
			}
			l.Seq = seq
			l.Commit(ref)
			return nil
		})
	}
	if errors.Is(err, ErrMoved) || errors.Is(err, ErrUnknownRun) {
		h.deleteUncommitted(ctx, blob)
	}
	if err != nil {
		return nil, oops.In("rollout").With("step", "commit batch", "run", ledger.Run).Wrap(err)
	}
	return &Delivery{Number: ref.Number, Body: body}, nil
}

// reserveBatchSeq sets h.prepared to the sequence number for a batch with the given
// content hash. The caller holds pullMu.
func (h *Home) reserveBatchSeq(ctx context.Context, hash string) error {
	stored := h.currentLedger().Seq
	if h.prepared.hash == hash && h.prepared.seq > stored {
		return nil
	}
	next := max(h.prepared.seq, stored) + 1
	if h.prepared.seq > stored {
		h.addOrphans(Blob{Kind: objects.KindBatch, Name: h.currentLedger().blobName(h.prepared.seq)})
	}
	h.prepared = preparedBatch{hash: hash, seq: next}
	if next-stored < maxOrphans {
		return nil
	}
	return h.updateLedger(ctx, func(l *Ledger) error {
		l.Seq = next - 1
		return nil
	})
}

// deleteUncommitted deletes a blob of a home that has lost the run, unless the stored
// ledger references it. The home's ledger write can no longer take effect, but it may have
// done so before the run was claimed; then the next home needs the blob.
func (h *Home) deleteUncommitted(ctx context.Context, blob Blob) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	stored, _, err := h.ledgers.readLedger(ctx, h.currentLedger().Run)
	referenced := err == nil && stored.references(blob)
	conclusive := err == nil || errors.Is(err, ErrUnknownRun)
	if conclusive && !referenced {
		_ = h.ledgers.deleteBlob(ctx, blob) // on failure, at most one batch per claim is left in the store
	}
}
