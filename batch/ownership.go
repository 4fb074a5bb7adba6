package batch

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/objects"
)

// verifiedTTL is how long a check that the store has no further results remains valid.
// It must stay below the time within which a result that one instance has returned must
// be visible on all instances.
const verifiedTTL = 700 * time.Millisecond

// Page returns results of a batch that runs here, or ErrNotHere. It waits up to
// args.Wait for a result. It returns an empty page only if a check that the store has
// no further results is still valid.
func (r *Runner) Page(ctx context.Context, args ReadArgs) (Page, error) {
	deadline := r.Clock.Now().Add(args.Wait)
	for {
		page, changed, verified, err := r.snapshot(args)
		if err != nil || len(page.Results) > 0 {
			return page, err
		}
		left := deadline.Sub(r.Clock.Now())
		if left <= 0 || changed == nil {
			if verified {
				return page, nil
			}
			if err := r.verifyStored(ctx, args.ID); err != nil {
				return Page{}, err
			}
			page, _, _, err = r.snapshot(args)
			return page, err
		}
		select {
		case <-changed:
		case <-r.Clock.After(left):
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
	}
}

// snapshot returns the stored results and a channel that is closed at the next change,
// or nil if there will be none. verified reports whether the last check that the store
// has no further results is still valid.
func (r *Runner) snapshot(args ReadArgs) (page Page, changed chan struct{}, verified bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[args.ID]
	switch {
	case j == nil || j.superseded:
		return Page{}, nil, false, ErrNotHere
	case r.stopping && j.open():
		return Page{}, nil, false, ErrHandingOver
	case r.stopping:
		return Page{}, nil, false, ErrNotHere
	}
	if j.head.Team != args.Team {
		return Page{}, nil, false, oops.In("batch").With("batch", args.ID).Wrap(ErrNotFound)
	}
	if !j.ended {
		changed = j.changed
	}
	return j.results.Page(args.After), changed, r.Clock.Now().Sub(j.verifiedAt) < verifiedTTL, nil
}

// verifyStored reads from the store any chunks that another instance has appended.
// Checking the owner is not enough: a former owner may still store pending results.
func (r *Runner) verifyStored(ctx context.Context, id string) error {
	for {
		r.mu.Lock()
		j := r.jobs[id]
		if j == nil || j.superseded {
			r.mu.Unlock()
			return nil
		}
		n, readAt := j.results.Chunks(), r.Clock.Now()
		r.mu.Unlock()
		more, err := r.applyForeignChunk(ctx, j, n)
		if err != nil {
			return oops.In("batch").With("step", "verify", "batch", id).Wrap(errors.Join(ErrStateUnknown, err))
		}
		if !more {
			r.markVerified(j, n, readAt)
			return nil
		}
	}
}

// markVerified records that the store had no more than n chunks at the given time.
func (r *Runner) markVerified(j *job, n int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.results.Chunks() == n && at.After(j.verifiedAt) {
		j.verifiedAt = at
	}
}

// applyHead applies the stored head of a batch to its job. It ignores versions older
// than the known one. A head of a batch that does not run here is kept for Add.
func (r *Runner) applyHead(h Stored) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[h.ID]
	if j == nil || j.superseded {
		r.noteHead(h)
		return
	}
	if h.Version < j.head.Version {
		return
	}
	if h.Version > j.head.Version {
		j.head = h
	}
	age := r.Clock.Now().Sub(j.confirmedAt)
	if h.Owner != r.Name {
		r.Log.Info("another instance has taken over the batch; cancelling its items here", zap.String("batch", h.ID), zap.String("owner", h.Owner), zap.Duration("headAge", age))
		j.superseded = true
		j.cancelAttempts(errOwnerChanged)
		j.notifyReaders()
		j.wakeWriter()
		return
	}
	if h.Ended && !j.ended {
		r.Log.Info("end of the batch was read from the store", zap.String("batch", h.ID), zap.Duration("headAge", age))
		r.endJob(j)
	}
	j.confirm(h.readAt)
}

// MarkEnded handles a notification from another instance that the end of a batch is
// stored.
func (r *Runner) MarkEnded(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	if j == nil {
		r.noteEnd(id)
		return
	}
	if !j.ended {
		r.Log.Info("batch ended", zap.String("batch", id), zap.Int("listed", j.results.StoredCount()), zap.Int("open", len(j.items)), zap.Duration("headAge", r.Clock.Now().Sub(j.confirmedAt)))
		r.endJob(j)
	}
}

// endJob ends a job. It keeps the texts of items that wait for an engine or for their
// reward: their groups may be submitted again. The caller holds mu.
func (r *Runner) endJob(j *job) {
	if !j.ended {
		for _, s := range j.items {
			if s.running == nil {
				r.texts.add(s)
			}
		}
	}
	j.end(r.Clock.Now())
}

// handingOver reports whether a batch is being handed over.
func (r *Runner) handingOver(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	return r.stopping && j != nil && j.open()
}

// isStopping reports whether the runner is stopping and accepts no more batches.
func (r *Runner) isStopping() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopping
}

// Runs reports whether a batch runs here.
func (r *Runner) Runs(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	return j != nil && !j.superseded
}

// Body returns the body of an item of a team's batch that runs here. It returns false
// if there is no such batch or item.
func (r *Runner) Body(id, team, item string) ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	if j == nil || j.head.Team != team {
		return nil, false
	}
	for i := range j.sub.Items {
		if j.sub.Items[i].ID == item {
			return j.sub.Items[i].Body, true
		}
	}
	return nil, false
}

// oldestHeadVersion returns the smallest head version of all open jobs, from which
// their heads must be watched, and whether there are open jobs.
func (r *Runner) oldestHeadVersion() (objects.Version, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var oldest objects.Version
	found := false
	for _, j := range r.jobs {
		if j.open() && (!found || j.head.Version < oldest) {
			oldest, found = j.head.Version, true
		}
	}
	return oldest, found
}

// openIDs returns the IDs of all open batches that run here.
func (r *Runner) openIDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, j := range r.jobs {
		if j.open() {
			ids = append(ids, id)
		}
	}
	return ids
}
