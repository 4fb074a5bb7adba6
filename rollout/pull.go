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

// Pull settles the batch that the trainer has consumed and returns the next
// one, or nil when none filled within the wait. A batch whose answer was lost
// is returned again, byte for byte, unless its samples have grown too old. A
// newer pull ends an older one that waits.
func (h *Home) Pull(ctx context.Context, request PullRequest) (*Delivery, error) {
	ctx, done := h.takePlace(ctx)
	defer done()
	h.pulling.Lock()
	defer h.pulling.Unlock()
	if err := context.Cause(ctx); err != nil {
		return nil, err
	}
	if err := h.loadSteps(ctx); err != nil {
		return nil, err
	}
	deadline := h.clock.After(time.Duration(request.WaitSeconds * float64(time.Second)))
	for {
		delivery, changed, err := h.tryPull(ctx, request.Consumed)
		if delivery != nil || err != nil {
			return delivery, err
		}
		select {
		case <-changed:
		case <-deadline:
			return nil, h.confirm(ctx)
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-h.ctx.Done():
			return nil, ErrMoved
		}
	}
}

// confirmAge is how long a home believes that it has the run without asking.
const confirmAge = time.Second

// confirm returns nil when the home surely had the run a moment ago. One that
// can't tell must not let its trainer wait, as another may have batches.
func (h *Home) confirm(ctx context.Context) error {
	h.mu.Lock()
	recent := h.clock.Since(h.confirmed) < confirmAge
	h.mu.Unlock()
	if recent {
		return nil
	}
	return h.verify(ctx)
}

// waitingPull is the pull that waits for a batch.
type waitingPull struct{ cancel context.CancelCauseFunc }

// takePlace ends the pull that waits and returns the context of the new one.
func (h *Home) takePlace(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	place := &waitingPull{cancel: cancel}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waiting != nil {
		h.waiting.cancel(ErrSuperseded)
	}
	h.waiting, h.lastCaller = place, h.clock.Now()
	return ctx, func() { h.leavePlace(place) }
}

func (h *Home) leavePlace(place *waitingPull) {
	place.cancel(nil)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waiting == place {
		h.waiting = nil
	}
}

// tryPull does one round: what the trainer's word calls for, then the next
// batch if enough is ready. Without one it returns a channel that is closed
// when there is more.
func (h *Home) tryPull(ctx context.Context, consumed int64) (*Delivery, <-chan struct{}, error) {
	if err := h.settleUncertain(ctx); err != nil {
		return nil, nil, err
	}
	ledger := h.current()
	if ledger.Closed {
		return nil, nil, ErrClosed
	}
	switch ledger.Decide(consumed) {
	case PullRepeat:
		delivery, err := h.repeat(ctx, ledger.Batch)
		return delivery, nil, err
	case PullRefuse:
		return nil, nil, h.refuse(ctx, consumed)
	case PullSettle:
		h.amend((*Ledger).Settle)
	case PullVoid:
		h.amend((*Ledger).Void)
	case PullReclaim:
		h.amend(func(l *Ledger) { l.Reclaim(consumed) })
	}
	body, ref, changed, err := h.compose()
	if body == nil || err != nil {
		return nil, changed, err
	}
	delivery, err := h.handOver(ctx, body, ref)
	if errors.Is(err, errOutdated) {
		return nil, alwaysReady, nil
	}
	return delivery, nil, err
}

// alwaysReady makes a pull try again at once.
var alwaysReady = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// refuse returns the error for a number that fits nothing. A home that has lost
// the run without knowing must not refuse what the next home has handed over.
func (h *Home) refuse(ctx context.Context, consumed int64) error {
	if err := h.verify(ctx); err != nil {
		return err
	}
	ledger := h.current()
	return &OrderError{Given: consumed, Consumed: ledger.Consumed, Last: ledger.Batch.Number}
}

// repeat hands a batch over again. The platform must still name this home: a
// home that was stopped for a while may have been followed by another, which
// has taken the batch back.
func (h *Home) repeat(ctx context.Context, ref BatchRef) (*Delivery, error) {
	if err := h.verify(ctx); err != nil {
		return nil, err
	}
	body, err := h.book.read(ctx, ref.Content, ref.Hash)
	if err != nil {
		return nil, err
	}
	return &Delivery{Number: ref.Number, Body: body}, nil
}

// compose returns the next batch when enough samples of the oldest open step
// are ready, by number or by size, or a channel that is closed when more are.
func (h *Home) compose() ([]byte, BatchRef, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.ledger.Steps {
		state := &h.ledger.Steps[i]
		left := state.Samples - state.Delivered.Count()
		w := h.work[state.Step]
		if left == 0 {
			continue
		}
		if w == nil || w.ready < min(left, h.ledger.BatchSamples) && w.bytes < MaxBatchBytes {
			break
		}
		ref, samples := w.fill(h.ledger.BatchSamples)
		ref.Number = h.ledger.Batch.Number + 1
		body, err := encodeBatch(ref, len(samples) == left, samples)
		return body, ref, nil, err
	}
	return nil, BatchRef{}, h.changed, nil
}

// fill takes units in the order of their completion until a batch is full.
func (w *stepWork) fill(wanted int) (BatchRef, []json.RawMessage) {
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

// encodeBatch returns the JSON of a Batch whose samples are encoded already.
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

// errOutdated means that the ledger has changed since a batch was composed.
var errOutdated = errors.New("batch is outdated")

// prepared is a content that is being handed over. A try that failed goes on
// with the same content under the same name if the batch is still the same.
type prepared struct {
	hash string
	seq  int64
}

// maxOrphans bounds the contents that a home writes under names that its stored
// ledger does not cover, so that the next home can find them.
const maxOrphans = 4

// handOver stores the batch, then commits it to the ledger. Only then may it
// leave the instance.
func (h *Home) handOver(ctx context.Context, body []byte, ref BatchRef) (*Delivery, error) {
	ref.Hash = hashOf(body)
	if err := h.prepare(ctx, ref.Hash); err != nil {
		return nil, err
	}
	ledger, seq := h.current(), h.prepared.seq
	blob, err := h.book.write(ctx, objects.KindBatch, ledger.contentName(seq), body)
	ref.Content = blob
	if err == nil {
		err = h.change(ctx, func(l *Ledger) error {
			if l.Batch.Number+1 != ref.Number || !l.Settled || ref.Oldest < l.FreshFrom() {
				return errOutdated
			}
			l.Seq = seq
			l.Commit(ref)
			return nil
		})
	}
	if errors.Is(err, ErrMoved) || errors.Is(err, ErrUnknownRun) {
		h.removeUnused(ctx, blob)
	}
	if err != nil {
		return nil, oops.In("rollout").With("step", "hand over", "run", ledger.Run).Wrap(err)
	}
	return &Delivery{Number: ref.Number, Body: body}, nil
}

// prepare chooses the name for a content. The caller holds pulling.
func (h *Home) prepare(ctx context.Context, hash string) error {
	stored := h.current().Seq
	if h.prepared.hash == hash && h.prepared.seq > stored {
		return nil
	}
	next := max(h.prepared.seq, stored) + 1
	if h.prepared.seq > stored {
		h.orphan(Blob{Kind: objects.KindBatch, Name: h.current().contentName(h.prepared.seq)})
	}
	h.prepared = prepared{hash: hash, seq: next}
	if next-stored < maxOrphans {
		return nil
	}
	return h.change(ctx, func(l *Ledger) error {
		l.Seq = next - 1
		return nil
	})
}

// removeUnused deletes a content of a home that has lost the run. Its ledger
// write can't take effect any more, but may have done so before the run was
// claimed; then the content belongs to the next home.
func (h *Home) removeUnused(ctx context.Context, blob Blob) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	stored, _, err := h.book.ledger(ctx, h.current().Run)
	used := err == nil && stored.refersTo(blob)
	known := err == nil || errors.Is(err, ErrUnknownRun)
	if known && !used {
		_ = h.book.remove(ctx, blob) // what stays is bounded by one batch a claim
	}
}
