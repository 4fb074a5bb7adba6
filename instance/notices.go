package instance

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/notice"
	"github.com/pomelocross/pomelocross/objects"
)

const (
	// saveInterval is the maximum time between two saves of the member list.
	saveInterval = 30 * time.Second
	// restoreWait is how long a restarted instance waits for the platform or a
	// peer before it uses the configuration saved on disk.
	restoreWait         = 3 * time.Second
	restorePollInterval = 20 * time.Millisecond
	// membersPollInterval is how often the size of the member list is checked.
	membersPollInterval = 500 * time.Millisecond
)

// NoticeService is the RPC service through which peers exchange configuration and
// membership.
type NoticeService struct{ instance *Instance }

// Exchange processes a peer's message and replies with one of this instance.
func (s *NoticeService) Exchange(m notice.Message, reply *notice.Message) error {
	return s.instance.notices.Exchange(m, reply)
}

func (i *Instance) newNotices() *notice.Endpoint {
	return notice.NewEndpoint(notice.Options{
		Self: i.self(), Caller: i.dialer, Store: i.platform,
		Kinds: []string{objects.KindConfig, objects.KindWeights}, Decode: i.decodeObject,
		Sink: noticeSink{i}, Clock: i.clock, Timing: notice.DefaultTiming(), Limits: domain.DefaultLimits(),
		Seeds: i.settings.Peers,
	})
}

// decodeObject converts an object of the platform to an item. It returns false for
// objects that are malformed, deleted or of another deployment.
func (i *Instance) decodeObject(o objects.Object) (notice.Item, bool) {
	item := notice.Item{Kind: o.Kind, Name: o.Name, Value: o.Value}
	if o.Kind == objects.KindWeights {
		err := json.Unmarshal(o.Value, &item.Revision)
		return item, err == nil
	}
	if o.Name != i.settings.Deployment || o.Deleted {
		return item, false
	}
	var header struct {
		Revision int64 `json:"revision"`
	}
	if err := json.Unmarshal(o.Value, &header); err != nil {
		i.log.Error("ignored a stored configuration that cannot be decoded", zap.Error(err))
		return item, false
	}
	item.Revision = header.Revision
	return item, true
}

// noticeSink forwards updates to the control goroutine.
type noticeSink struct{ instance *Instance }

// Check implements notice.Sink.
func (s noticeSink) Check(item notice.Item) error {
	if item.Kind == objects.KindWeights {
		return nil
	}
	_, err := s.instance.decodeSnapshot(item)
	if err != nil {
		s.instance.log.Error("rejected an invalid configuration", zap.Int64("revision", item.Revision), zap.Error(err))
	}
	return err
}

// Deliver implements notice.Sink. It saves the state before it sends the event. The
// send needs no context, since the control goroutine runs for as long as updates
// arrive.
func (s noticeSink) Deliver(item notice.Item) {
	s.instance.saveState()
	if item.Kind == objects.KindWeights {
		s.instance.events <- weightsEvent{model: item.Name, version: item.Revision}
		return
	}
	if snapshot, err := s.instance.decodeSnapshot(item); err == nil {
		s.instance.events <- configEvent{snapshot}
	}
}

// Membership implements notice.Sink.
func (s noticeSink) Membership(view *domain.View) { s.instance.events <- membershipEvent{view} }

// decodeSnapshot decodes a configuration item. It returns an error unless the item
// is a valid configuration of this deployment at the revision of the item.
func (i *Instance) decodeSnapshot(item notice.Item) (*contract.Snapshot, error) {
	var accepted contract.Accepted
	if err := json.Unmarshal(item.Value, &accepted); err != nil {
		return nil, oops.In("instance").With("step", "decode configuration").Wrap(err)
	}
	if item.Kind != objects.KindConfig || accepted.Bundle.Deployment != i.settings.Deployment || int64(accepted.Revision) != item.Revision {
		return nil, oops.In("instance").With("step", "decode configuration").Errorf("item %s/%s does not hold this deployment's revision %d", item.Kind, item.Name, item.Revision)
	}
	return contract.NewSnapshot(accepted)
}

// runNotices follows updates until ctx ends. The configuration saved on disk is
// used only after restoreWait without a response from the platform or a peer, since
// it may be older than the one in force before the restart.
func (i *Instance) runNotices(ctx context.Context) {
	if i.disk == nil {
		i.notices.Run(ctx)
		return
	}
	state, err := i.disk.Load()
	if err != nil {
		i.log.Error("saved configuration could not be read from disk", zap.Error(err))
	}
	if len(state.Members) > 0 {
		i.notices.Members(state.Members)
	}
	var loops sync.WaitGroup
	loops.Go(func() { i.notices.Run(ctx) })
	loops.Go(func() { i.saveMembers(ctx) })
	i.awaitPlatform(ctx)
	i.notices.Restore(state.Items)
	loops.Wait()
}

// awaitPlatform waits up to restoreWait for the first message from the platform,
// received directly or through a peer.
func (i *Instance) awaitPlatform(ctx context.Context) {
	deadline := i.clock.Now().Add(restoreWait)
	for ctx.Err() == nil && i.notices.SyncAge() < 0 && i.clock.Now().Before(deadline) {
		sleep(ctx, restorePollInterval)
	}
}

// saveMembers saves the member list to disk within membersPollInterval after its
// length has changed, so that a restarted instance knows its peers, and otherwise
// at each saveInterval. Configuration updates are saved by noticeSink before they
// are in force.
func (i *Instance) saveMembers(ctx context.Context) {
	var lastSave time.Time
	savedCount := 0
	for ctx.Err() == nil {
		count := len(i.view.Load().Domain.Members())
		if count != savedCount || i.clock.Since(lastSave) >= saveInterval {
			i.saveState()
			lastSave, savedCount = i.clock.Now(), count
		}
		sleep(ctx, membersPollInterval)
	}
}

// saveState saves the current configuration, weight versions and member list to
// disk, if there is a data directory. It saves nothing before the first item.
func (i *Instance) saveState() {
	if i.disk == nil {
		return
	}
	i.diskMu.Lock()
	defer i.diskMu.Unlock()
	items := i.notices.Items()
	if len(items) == 0 {
		return
	}
	if err := i.disk.Save(notice.State{Items: items, Members: i.view.Load().Domain.Members()}); err != nil {
		i.log.Warn("configuration could not be saved to disk", zap.Error(err))
	}
}
