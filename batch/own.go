package batch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/objects"

	"github.com/pomelocross/pomelocross/telemetry"
)

// sureFor is how long the store's word that it has no further results is good for. It stays below the time within which what one instance has shown must
// show at all.
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
	if j == nil || j.lost || r.stopping {
		return Page{}, nil, false, ErrNotHere
	}
	if j.head.Team != args.Team {
		return Page{}, nil, false, oops.In("batch").With("batch", args.ID).Wrap(ErrUnknown)
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
			return oops.In("batch").With("step", "verify", "batch", id).Wrap(errors.Join(ErrUnsure, err))
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
func (r *Runner) Ended(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j := r.jobs[id]; j != nil {
		r.Log.Info("batch ended", zap.String("batch", id), zap.Int("listed", j.ledger.Stored()), zap.Int("open", len(j.items)))
		j.end(r.Clock.Now())
	}
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

const (
	// headsWait is how long a watch of heads waits for a change.
	headsWait = 3 * time.Second
	// headsPause is the least time between two watches, which bounds the calls;
	// an end must reach the engines within seconds.
	headsPause = 700 * time.Millisecond
	// idlePause is how often an instance without batches looks for new ones.
	idlePause = 100 * time.Millisecond
)

// WatchHeads follows ends and changes of owner of the batches that run here,
// until ctx ends.
func (s *Service) WatchHeads(ctx context.Context) {
	var after objects.Version
	for ctx.Err() == nil {
		oldest, busy := s.runner.oldest()
		if !busy {
			after = 0
			s.sleep(ctx, idlePause)
			continue
		}
		if after == 0 {
			after = oldest
		}
		after = s.watchOnce(ctx, after)
		s.sleep(ctx, headsPause)
	}
}

func (s *Service) watchOnce(ctx context.Context, after objects.Version) objects.Version {
	changes, err := s.store.Watch(ctx, KindHead, after, headsWait)
	if errors.Is(err, objects.ErrGap) {
		return s.recheck(ctx)
	}
	if err != nil {
		return after // the store's client tells of it
	}
	for _, o := range changes.Objects {
		if h, err := decodeHead(o); err == nil && !o.Deleted {
			s.runner.headSeen(h)
		}
	}
	return changes.Version
}

// recheck reads every head after a gap in the history.
func (s *Service) recheck(ctx context.Context) objects.Version {
	for _, id := range s.runner.openIDs() {
		h, err := s.keeper.Head(ctx, id)
		if err != nil {
			s.log.Warn("a batch could not be checked after a gap", zap.String("batch", id), telemetry.Error(err))
			continue
		}
		s.runner.headSeen(h)
	}
	return 0
}

func (s *Service) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.runner.Clock.After(d):
	}
}

// Resume runs the batches that an earlier incarnation of this instance owned.
// It tries until the store answers or ctx ends.
func (s *Service) Resume(ctx context.Context) {
	for ctx.Err() == nil {
		heads, err := s.store.List(ctx, KindHead)
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
	for id, partials := range s.runner.Stop(ctx) {
		each.Go(func() { s.handOver(ctx, id, partials) })
	}
	each.Wait()
}

func (s *Service) handOver(ctx context.Context, id string, partials map[string]Partial) {
	if len(partials) > 0 {
		if _, err := s.keeper.SaveProgress(ctx, id, 0, partials); err != nil {
			s.log.Warn("texts of a batch could not be kept; its items run again", zap.String("batch", id), telemetry.Error(err))
		}
	}
	for _, peer := range s.peers.Others() {
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
func (r *Runner) Stop(ctx context.Context) map[string]map[string]Partial {
	r.mu.Lock()
	r.stopping = true
	for _, j := range r.jobs {
		j.stop(errStop)
		j.announce()
	}
	r.mu.Unlock()
	r.running.Wait()
	r.mu.Lock()
	left := map[string]map[string]Partial{}
	for id, j := range r.jobs {
		j.wakeWriter()
		if !j.open() || j.ledger.Whole() {
			continue
		}
		left[id] = map[string]Partial{}
		for _, s := range j.items {
			if s.events > 0 {
				left[id][s.item.ID] = s.partial()
			}
		}
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
