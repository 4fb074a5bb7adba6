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
	// headWatchTimeout is how long a watch call waits for a change. An unresponsive
	// source is detected when the call ends, so the timeout must be short enough to
	// stop the items of an ended batch in time.
	headWatchTimeout = 500 * time.Millisecond
	// headWatchPause is the pause between two watch calls, which limits the call
	// rate. The end of a batch must reach the engines within seconds.
	headWatchPause = 200 * time.Millisecond
	// idlePollInterval is how often an instance without batches checks for new ones.
	idlePollInterval = 100 * time.Millisecond
)

// WatchHeads watches the stored heads until ctx ends and applies ends and changes
// of owner to the batches that run on this instance.
func (s *Service) WatchHeads(ctx context.Context) {
	var after objects.Version
	for ctx.Err() == nil {
		oldest, hasOpen := s.runner.oldestHeadVersion()
		if !hasOpen {
			after = 0
			s.sleep(ctx, idlePollInterval)
			continue
		}
		if after == 0 {
			after = oldest
		}
		after = s.watchOnce(ctx, after)
		s.sleep(ctx, headWatchPause)
	}
}

// watchOnce applies the changes after a version and returns the version to continue
// from.
func (s *Service) watchOnce(ctx context.Context, after objects.Version) objects.Version {
	changes, err := s.heads.Watch(ctx, KindHead, after, headWatchTimeout)
	if errors.Is(err, objects.ErrGap) {
		return s.resyncHeads(ctx)
	}
	if err != nil {
		return after // the store client logs the error
	}
	for _, o := range changes.Objects {
		if h, err := decodeHead(o); err == nil && !o.Deleted {
			s.runner.applyHead(h)
		}
	}
	return changes.Version
}

// resyncHeads applies the stored head of every batch that runs here, after a gap in the
// change history. It returns the version to continue watching from, which is older than
// the heads that were read, so no change is missed.
func (s *Service) resyncHeads(ctx context.Context) objects.Version {
	heads, err := s.heads.List(ctx, KindHead)
	if err != nil {
		return 0 // the store client logs the error
	}
	for _, id := range s.runner.openIDs() {
		began := s.runner.Clock.Now()
		h, err := s.store.Head(ctx, id)
		h.readAt = began
		if err != nil {
			s.log.Warn("batch head could not be read after a gap in the change history; retrying", zap.String("batch", id), telemetry.Error(err))
			return 0
		}
		s.runner.applyHead(h)
	}
	return heads.Version
}

func (s *Service) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.runner.Clock.After(d):
	}
}

// RecentOwners returns the sorted addresses of the instances that own batches submitted
// at or after since. heads are stored objects of KindHead.
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
