package batch

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/objects"
)

// sureFor is how long the store's word that it has no further results is good for. It
// stays below the time within which what one instance has shown must show at all.
const sureFor = 700 * time.Millisecond

// Page returns results of a batch that runs here, or ErrNotHere. An empty page
// is given only while it is sure that the store has no further results.
func (r *Runner) Page(ctx context.Context, args ReadArgs) (Page, error) {
	deadline := r.Clock.Now().Add(args.Wait)
	for {
		page, changed, sure, err := r.look(args)
		if err != nil || len(page.Results) > 0 {
			return page, err
		}
		left := deadline.Sub(r.Clock.Now())
		if left <= 0 || changed == nil {
			if sure {
				return page, nil
			}
			if err := r.verify(ctx, args.ID); err != nil {
				return Page{}, err
			}
			page, _, _, err = r.look(args)
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

// look returns what is listed now, and a channel that is closed at a change; nil
// when none will come.
func (r *Runner) look(args ReadArgs) (page Page, changed chan struct{}, sure bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[args.ID]
	switch {
	case j == nil || j.lost:
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
	return j.ledger.Page(args.After), changed, r.Clock.Now().Sub(j.sure) < sureFor, nil
}

// verify reads the store for results that another instance has listed behind the
// known ones. Who owns the batch does not tell: one that was replaced may still
// store what it had.
func (r *Runner) verify(ctx context.Context, id string) error {
	for {
		r.mu.Lock()
		j := r.jobs[id]
		if j == nil || j.lost {
			r.mu.Unlock()
			return nil
		}
		n, sent := j.ledger.Chunks(), r.Clock.Now()
		r.mu.Unlock()
		more, err := r.followOther(ctx, j, n)
		if err != nil {
			return oops.In("batch").With("step", "verify", "batch", id).Wrap(errors.Join(ErrStateUnknown, err))
		}
		if !more {
			r.confirm(j, n, sent)
			return nil
		}
	}
}

// confirm notes that the store had no more than n chunks at a time.
func (r *Runner) confirm(j *job, n int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.ledger.Chunks() == n && at.After(j.sure) {
		j.sure = at
	}
}

// headSeen takes in the stored head of a batch.
func (r *Runner) headSeen(h Stored) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[h.ID]
	if j == nil || j.lost || h.Version < j.head.Version {
		return
	}
	j.head = h
	if h.Owner != r.Name {
		r.Log.Info("batch is run by another instance", zap.String("batch", h.ID), zap.String("owner", h.Owner))
		j.lost = true
		j.stop(errLost)
		j.announce()
		j.wakeWriter()
		return
	}
	if h.Ended {
		j.end(r.Clock.Now())
	}
}

// Ended notes that a batch's end is stored, by the word of another instance.
func (r *Runner) MarkEnded(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	if j == nil {
		r.tellLater(id)
		return
	}
	if !j.ended {
		r.Log.Info("batch ended", zap.String("batch", id), zap.Int("listed", j.ledger.Stored()), zap.Int("open", len(j.items)))
		j.end(r.Clock.Now())
	}
}

// moving reports whether a batch is being handed over.
func (r *Runner) moving(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	return r.stopping && j != nil && j.open()
}

// stopped reports whether no batch will run here any more.
func (r *Runner) stopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopping
}

// toldFor is how long the end of a batch that does not run here is remembered: it may be
// about to, from a head that was read before the end.
const toldFor = 10 * time.Second

// tellLater remembers that a batch has ended. The caller holds mu.
func (r *Runner) tellLater(id string) {
	now := r.Clock.Now()
	maps.DeleteFunc(r.told, func(_ string, at time.Time) bool { return now.Sub(at) > toldFor })
	r.told[id] = now
}

// Runs reports whether a batch runs here.
func (r *Runner) Runs(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	return j != nil && !j.lost
}

// Body returns the body of an item of a batch that runs here.
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

// oldest returns the version after which the heads of all open jobs are to be
// watched, and whether there are any.
func (r *Runner) oldest() (objects.Version, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var least objects.Version
	found := false
	for _, j := range r.jobs {
		if j.open() && (!found || j.head.Version < least) {
			least, found = j.head.Version, true
		}
	}
	return least, found
}

// openIDs returns the batches that run here.
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
