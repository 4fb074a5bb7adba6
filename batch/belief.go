package batch

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/telemetry"
	"github.com/pomelocross/pomelocross/upstream"
)

// errUnconfirmed is the cause for which a request is cancelled before it is sent.
var errUnconfirmed = errors.New("the store has not confirmed recently that the batch is open")

// trustLimit returns the age of a confirmed head from which no item of its batch is sent,
// given the time within which the end of a batch must stop its items. A request may reach
// its engine as late as upstream.DeliveryTimeout after it was written.
func trustLimit(endBound time.Duration) time.Duration { return endBound - upstream.DeliveryTimeout }

// refreshAge returns the age of a confirmed head from which a sending causes it to be read
// again. Every call to the store is billed, and a read takes milliseconds.
func refreshAge(endBound time.Duration) time.Duration { return trustLimit(endBound) * 2 / 3 }

// confirm records that the head of the job was open and owned by this instance in the store
// at a time of the boot clock. It must be at most the start of the call that read or wrote
// the head.
func (j *job) confirm(at time.Time) {
	if at.After(j.confirmedAt) {
		j.confirmedAt = at
	}
}

// trusts reports whether the head of a job was confirmed recently enough to send its items.
//
// Load pattern: an owner that hears of no change, or was suspended, holds items that wait
// for an engine, a retry or a reward, and their batch has ended or has another owner.
func (r *Runner) trusts(j *job, now time.Time) bool {
	return r.EndBound == 0 || now.Sub(j.confirmedAt) < trustLimit(r.EndBound)
}

// awaitsConfirmation reports whether the work of a job that is not trusted is held back and
// no read of its head can start now.
func (j *job) awaitsConfirmation(now time.Time, trusted bool) bool {
	return !trusted && (j.confirming || now.Before(j.confirmAfter))
}

// mayStart reports whether an item or reward call of a job may be sent, and reads the head
// if its confirmation is getting old. Only sendings cause reads, so that a batch whose items
// all run costs no calls. The caller holds mu.
func (r *Runner) mayStart(ctx context.Context, j *job, now time.Time) bool {
	if r.EndBound == 0 {
		return true
	}
	if now.Sub(j.confirmedAt) >= refreshAge(r.EndBound) && !j.confirming && !now.Before(j.confirmAfter) {
		j.confirming = true
		id := j.id
		go func() {
			r.readHead(ctx, id)
			r.mu.Lock()
			j.confirming = false
			r.mu.Unlock()
			r.Signal()
		}()
	}
	trusted := r.trusts(j, now)
	if !trusted && j.untrustedSince.IsZero() {
		j.untrustedSince = now
	}
	return trusted
}

// readHead reads the head of a batch from the store and applies it. Concurrent reads of a
// batch share one call.
func (r *Runner) readHead(ctx context.Context, id string) {
	_, _, _ = r.headReads.Do(id, func() (any, error) { // the function returns no error
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), trustLimit(r.EndBound)) // a later response is too old to confirm the head
		defer cancel()
		began := r.Clock.Now()
		h, err := r.Store.Head(ctx, id)
		if err == nil {
			h.readAt = began
			r.applyHead(h)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if j := r.jobs[id]; err != nil && j != nil {
			now := r.Clock.Now()
			j.confirmAfter = now.Add(storeRetryDelay)
			r.Log.Info("head of the batch could not be read; its items are not sent once the last confirmation is too old",
				zap.String("batch", id), zap.Duration("headAge", now.Sub(j.confirmedAt)), telemetry.Error(err))
		}
		return nil, nil
	})
}

// permit returns the Permit of a request for an item. Between the decision to send and the
// first byte, a connection may be opened, a reward call may wait for a slot and the process
// may be suspended. If the head is not confirmed and cannot be read, the request is
// cancelled, so that its failure is not attributed to the engine. The caller holds mu.
func (r *Runner) permit(ctx context.Context, j *job, item string, cancel context.CancelCauseFunc) func() bool {
	if r.EndBound == 0 {
		return nil
	}
	id := j.id
	permitted := func() (bool, time.Duration) {
		r.mu.Lock()
		defer r.mu.Unlock()
		now := r.Clock.Now()
		return j.open() && r.trusts(j, now), now.Sub(j.confirmedAt)
	}
	return func() bool {
		ok, age := permitted()
		if !ok {
			r.readHead(ctx, id)
			ok, age = permitted()
		}
		if !ok {
			r.Log.Info("request of a batch is not sent: its head was not confirmed in time", zap.String("batch", id), zap.String("item", item), zap.Duration("headAge", age))
			cancel(errUnconfirmed)
		}
		return ok
	}
}

// heldBackLogDelay is how long the work of a job is held back before that is logged. The
// read of a head takes milliseconds.
const heldBackLogDelay = 250 * time.Millisecond

// logTrusts logs, once each, the open jobs whose work is held back and those whose head is
// confirmed again. The caller holds mu.
func (r *Runner) logTrusts(now time.Time) {
	for _, j := range r.jobs {
		held := now.Sub(j.untrustedSince)
		switch {
		case j.untrustedSince.IsZero():
		case !j.open():
			j.untrustedSince = time.Time{}
		case r.trusts(j, now):
			if j.untrustedLogged {
				r.Log.Info("head of the batch is confirmed again; sending its items", zap.String("batch", j.head.ID), zap.Duration("after", held))
			}
			j.untrustedSince, j.untrustedLogged = time.Time{}, false
		case !j.untrustedLogged && held >= heldBackLogDelay:
			r.Log.Warn("head of the batch was not confirmed in time; its items are held back", zap.String("batch", j.head.ID), zap.Duration("headAge", now.Sub(j.confirmedAt)))
			j.untrustedLogged = true
		}
	}
}

// recordHeadAge records the age of a job's head at a sending. The caller holds mu.
func (r *Runner) recordHeadAge(j *job, now time.Time) {
	if r.RecordHeadAge != nil {
		r.RecordHeadAge(now.Sub(j.confirmedAt))
	}
}
