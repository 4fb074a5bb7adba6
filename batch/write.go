package batch

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/telemetry"
	"go.uber.org/zap"
)

const (
	// flushDelay is how long results are collected for one chunk. Every store call is
	// billed, so results are not stored one by one; trainers read twice a second.
	flushDelay = 600 * time.Millisecond
	// earlyFlushDelay is used instead while the due time is more than dueSoon in the
	// future. The trainer does not wait for single results then, and if the owner
	// crashes, results that were not stored are generated again.
	earlyFlushDelay = 1500 * time.Millisecond
	dueSoon         = 2500 * time.Millisecond
	// flushPollInterval is how often the collected results are checked: results that the
	// trainer waits for are stored at once.
	flushPollInterval = 50 * time.Millisecond
	// storeRetryDelay is the delay before a failed store call is repeated.
	storeRetryDelay = 250 * time.Millisecond
)

// Add starts a batch that this instance owns. partials are stored texts of its unfinished
// items, by item ID. It returns false if the batch already runs here, another instance has become
// its owner or the runner is stopping.
func (r *Runner) Add(h Stored, s *Submission, results *ResultLog, partials map[string]Partial, limits Limits) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.jobs[h.ID]; r.stopping || (known != nil && !known.superseded) {
		return false
	}
	now := r.Clock.Now()
	h = r.headNotices[h.ID].apply(h)
	if h.Owner != r.Name {
		r.Log.Info("another instance has taken over the batch while it was loaded; not running it here", zap.String("batch", h.ID), zap.String("owner", h.Owner))
		return false
	}
	partialOf := func(item *Item) *Partial {
		if p, ok := partials[item.ID]; ok {
			return &p
		}
		return r.texts.lookup(item, s.MinVersion)
	}
	j := newJob(h, s, results, partialOf, limits, now)
	r.jobs[h.ID] = j
	r.trainers.submitted(j.trainer(), time.UnixMilli(h.Submitted))
	r.writers.Go(func() { r.writeResults(j) })
	r.Signal()
	return true
}

// writeResults stores a job's results in chunks until no more can follow.
func (r *Runner) writeResults(j *job) {
	for range j.flush {
		r.waitToFlush(j)
		for r.writeChunk(j) {
		}
		if r.writerDone(j) {
			return
		}
	}
}

// writerDone reports whether this instance will store no further results of the job.
func (r *Runner) writerDone(j *job) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return j.superseded || j.results.Complete() || (j.ended && j.results.PendingCount() == 0) || (r.stopping && j.results.PendingCount() == 0)
}

// flushDelayFor returns how long results are collected for a chunk if the batch is due
// in left.
//
// Load pattern: most items of a step complete in its first second or two, and the
// trainer waits for the longest ones.
func flushDelayFor(left time.Duration) time.Duration {
	if left > dueSoon {
		return earlyFlushDelay
	}
	return flushDelay
}

// waitToFlush waits until the next chunk is to be stored.
func (r *Runner) waitToFlush(j *job) {
	for waited := time.Duration(0); waited < flushDelayFor(j.due.Sub(r.Clock.Now())); waited += flushPollInterval {
		r.mu.Lock()
		flush := len(j.items) == 0 || r.stopping || j.ended || j.desiredGroupsDone()
		r.mu.Unlock()
		if flush {
			return
		}
		r.Clock.Sleep(flushPollInterval)
	}
}

// writeChunk stores one chunk and reports whether there is more to store.
func (r *Runner) writeChunk(j *job) bool {
	r.mu.Lock()
	results, n, superseded := j.results.NextChunk(), j.results.Chunks(), j.superseded
	r.mu.Unlock()
	if len(results) == 0 || superseded {
		return false
	}
	sent := r.Clock.Now()
	written, err := r.Store.Append(context.Background(), j.id, n, results)
	if errors.Is(err, objects.ErrRejected) {
		r.Log.Warn("the store rejects results; storing fewer at once, or dropping a single one", zap.String("batch", j.id), zap.Int("chunk", n), zap.Int("results", len(results)), telemetry.Error(err))
		r.rejectedChunk(j, results)
		return true
	}
	if err == nil && !written {
		_, err = r.applyForeignChunk(context.Background(), j, n)
	}
	switch {
	case err != nil:
		return r.retryChunk(j, n, len(results), err)
	case !written:
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.results.Chunks() == n { // otherwise verifyStored has already applied the chunk
		j.results.Apply(results)
	}
	j.verifiedAt = sent
	j.notifyReaders()
	return j.results.PendingCount() > 0
}

// retryChunk handles an error of storing results as chunk n, or of reading that chunk after another
// writer has stored it. It waits and reports whether to try again.
func (r *Runner) retryChunk(j *job, n, results int, cause error) bool {
	fields := []zap.Field{zap.String("batch", j.id), zap.Int("chunk", n), zap.Int("results", results), telemetry.Error(cause)}
	if r.dropAfterEnd(j) {
		r.Log.Warn("results could not be stored before the batch ended; they are dropped", fields...)
		return false
	}
	r.Log.Warn("results could not be stored; retrying", fields...)
	r.Clock.Sleep(storeRetryDelay)
	return true
}

// rejectedChunk handles results that the store would reject each time: chunks become smaller, and
// a single result is dropped. Its item then has no result until the batch expires.
func (r *Runner) rejectedChunk(j *job, results []Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(results) > 1 {
		j.results.HalveChunks()
		return
	}
	j.results.Drop(results...)
	if at := slices.IndexFunc(j.sub.Items, func(i Item) bool { return i.ID == results[0].ID }); at >= 0 && results[0].State == Complete {
		item := &j.sub.Items[at]
		j.items[item.ID] = newItemState(item, nil, r.Clock.Now())
		j.items[item.ID].unstorable = true
	}
}

// dropAfterEnd drops the results that are still to be stored if the batch has ended, and reports
// whether it has: its caller has stopped reading.
func (r *Runner) dropAfterEnd(j *job) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.ended {
		j.results.Drop(j.results.pending...)
	}
	return j.ended
}

// applyForeignChunk applies chunk n if another writer has stored it, and reports whether
// it exists.
func (r *Runner) applyForeignChunk(ctx context.Context, j *job, n int) (bool, error) {
	next := NewResultLog(0)
	next.chunks = n
	found, err := r.Store.ApplyNext(ctx, j.id, next)
	if err != nil || !found {
		return false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.results.Chunks() != n {
		return true, nil // applied in the meantime
	}
	r.Log.Info("found results stored by another instance; adding them to the batch", zap.String("batch", j.id), zap.Int("chunk", n), zap.Int("results", len(next.stored)))
	j.results.Apply(next.stored)
	r.dropStoredItems(j)
	j.notifyReaders()
	return true, nil
}

// dropStoredItems cancels and removes the items whose results are stored by another
// instance. The caller holds mu.
func (r *Runner) dropStoredItems(j *job) {
	for id, s := range j.items {
		if !j.results.IsStored(id) {
			continue
		}
		s.cancel(errOwnerChanged)
		delete(j.items, id)
	}
}
