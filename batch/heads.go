package batch

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/telemetry"
)

const (
	// headsWait is how long a watch of heads waits for a change. A source that has
	// gone silent is noticed when it ends, in time to stop the runs of an ended batch.
	headsWait = 500 * time.Millisecond
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
	changes, err := s.heads.Watch(ctx, KindHead, after, headsWait)
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

// recheck reads the head of every batch that runs here after a gap in the history, and
// returns the version to go on from, which is older than what was read.
func (s *Service) recheck(ctx context.Context) objects.Version {
	heads, err := s.heads.List(ctx, KindHead)
	if err != nil {
		return 0 // the store's client tells of it
	}
	for _, id := range s.runner.openIDs() {
		h, err := s.keeper.Head(ctx, id)
		if err != nil {
			s.log.Warn("a batch could not be checked after a gap", zap.String("batch", id), telemetry.Error(err))
			return 0
		}
		s.runner.headSeen(h)
	}
	return heads.Version
}

func (s *Service) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.runner.Clock.After(d):
	}
}

// RecentOwners returns the addresses of the instances that own batches submitted
// after a time, in order; heads are stored ones.
func RecentOwners(heads []objects.Object, since time.Time) ([]string, error) {
	owners := map[string]bool{}
	for _, o := range heads {
		h, err := decodeHead(o)
		if err != nil {
			return nil, err
		}
		if h.Peer != "" && h.Submitted >= since.UnixMilli() {
			owners[h.Peer] = true
		}
	}
	return slices.Sorted(maps.Keys(owners)), nil
}
