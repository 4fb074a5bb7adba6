package batch

import (
	"context"
	"time"

	"github.com/pomelocross/pomelocross/telemetry"
	"go.uber.org/zap"
)

const (
	// flushDelay gathers results into one chunk: a store call for each result
	// would be priced, and trainers read twice a second.
	flushDelay = 600 * time.Millisecond
	// earlyDelay is that while the results are not wanted for dueSoon yet: nobody
	// waits for single ones, and those of an owner that is lost are made again.
	earlyDelay = 1500 * time.Millisecond
	dueSoon    = 2500 * time.Millisecond
	// flushStep is how often a chunk that gathers is looked at: results that the
	// trainer waits for go at once.
	flushStep = 50 * time.Millisecond
	// writePause is the pause after a chunk that could not be stored.
	writePause = 250 * time.Millisecond
)

// Add takes over a batch that this instance owns. It returns false when it runs
// here already or the runner stops.
func (r *Runner) Add(h Stored, s *Submission, l *Ledger, partials map[string]Partial, limits Limits) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.jobs[h.ID]; r.stopping || (known != nil && !known.lost) {
		return false
	}
	now := r.Clock.Now()
	if _, ended := r.told[h.ID]; ended {
		h.Ended = true // its end was stored after h was read
	}
	kept := func(item *Item) *Partial {
		if p, ok := partials[item.ID]; ok {
			return &p
		}
		return r.kept.fit(item, s.MinVersion)
	}
	j := newJob(h, s, l, kept, limits, now)
	r.jobs[h.ID] = j
	r.writers.Go(func() { r.write(j) })
	r.Signal()
	return true
}

// write stores a job's results until there will be no more.
func (r *Runner) write(j *job) {
	for range j.flush {
		r.pauseBeforeChunk(j)
		for r.writeNext(j) {
		}
		if r.written(j) {
			return
		}
	}
}

// written reports whether no further result of the job will be stored here.
func (r *Runner) written(j *job) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return j.lost || j.ledger.Whole() || (j.ended && j.ledger.Pending() == 0) || (r.stopping && j.ledger.Pending() == 0)
}

// gather returns how long results gather when a batch's are due in left.
//
// Load pattern: most items of a step are done in its first second or two, and the
// trainer waits for its longest ones.
func gather(left time.Duration) time.Duration {
	if left > dueSoon {
		return earlyDelay
	}
	return flushDelay
}

func (r *Runner) pauseBeforeChunk(j *job) {
	for waited := time.Duration(0); waited < gather(j.due.Sub(r.Clock.Now())); waited += flushStep {
		r.mu.Lock()
		now := len(j.items) == 0 || r.stopping || j.ended || j.flushNow()
		r.mu.Unlock()
		if now {
			return
		}
		r.Clock.Sleep(flushStep)
	}
}

// writeNext stores one chunk and reports whether more is to be stored.
func (r *Runner) writeNext(j *job) bool {
	r.mu.Lock()
	results, n, lost := j.ledger.Next(), j.ledger.Chunks(), j.lost
	r.mu.Unlock()
	if len(results) == 0 || lost {
		return false
	}
	sent := r.Clock.Now()
	written, err := r.Store.Append(context.Background(), j.head.ID, n, results)
	if err != nil {
		r.Log.Warn("results could not be stored yet", zap.String("batch", j.head.ID), zap.Int("chunk", n), zap.Int("results", len(results)), telemetry.Error(err))
		r.Clock.Sleep(writePause)
		return true
	}
	if !written {
		if _, err := r.followOther(context.Background(), j, n); err != nil {
			r.Log.Warn("a chunk of another writer could not be read", zap.String("batch", j.head.ID), zap.Int("chunk", n), telemetry.Error(err))
			r.Clock.Sleep(writePause)
		}
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.ledger.Chunks() == n { // else a reader has found the chunk first
		j.ledger.Apply(results)
	}
	j.sure = sent
	j.announce()
	return j.ledger.Pending() > 0
}

// followOther applies chunk n if another writer has stored it, and reports whether
// one has.
func (r *Runner) followOther(ctx context.Context, j *job, n int) (bool, error) {
	fresh := NewLedger(0)
	fresh.chunks = n
	found, err := r.Store.Follow(ctx, j.head.ID, fresh)
	if err != nil || !found {
		return false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.ledger.Chunks() != n {
		return true, nil // applied meanwhile
	}
	r.Log.Info("results were found stored that were not listed here", zap.String("batch", j.head.ID), zap.Int("chunk", n), zap.Int("results", len(fresh.stored)))
	j.ledger.Apply(fresh.stored)
	r.dropListed(j)
	j.announce()
	return true, nil
}

// dropListed ends runs of items that another instance has listed. The caller
// holds mu.
func (r *Runner) dropListed(j *job) {
	for id, s := range j.items {
		if !j.ledger.Listed(id) {
			continue
		}
		if s.running != nil {
			s.running.cancel(errLost)
		}
		delete(j.items, id)
	}
}
