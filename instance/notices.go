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
	// saveInterval is how often the disk is written for the sake of members.
	saveInterval = 30 * time.Second
	// restoreWait is how long a restarted instance waits for the platform or a
	// peer before it puts the disk's configuration in force.
	restoreWait = 3 * time.Second
	restoreStep = 20 * time.Millisecond
	// membersStep is how soon a change of the instance list is noticed.
	membersStep = 500 * time.Millisecond
)

// NoticeService answers peers' exchanges.
type NoticeService struct{ instance *Instance }

// Exchange takes a peer's message and answers with the instance's own.
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

// decodeObject turns an object of the platform into an item of the deployment.
func (i *Instance) decodeObject(o objects.Object) (notice.Item, bool) {
	item := notice.Item{Kind: o.Kind, Name: o.Name, Value: o.Value}
	if o.Kind == objects.KindWeights {
		err := json.Unmarshal(o.Value, &item.Revision)
		return item, err == nil
	}
	if o.Name != i.settings.Deployment || o.Deleted {
		return item, false
	}
	var head struct {
		Revision int64 `json:"revision"`
	}
	if err := json.Unmarshal(o.Value, &head); err != nil {
		i.log.Error("stored configuration is damaged", zap.Error(err))
		return item, false
	}
	item.Revision = head.Revision
	return item, true
}

// noticeSink hands news to the control goroutine.
type noticeSink struct{ instance *Instance }

// Check implements notice.Sink.
func (s noticeSink) Check(item notice.Item) error {
	if item.Kind == objects.KindWeights {
		return nil
	}
	_, err := s.instance.snapshotOf(item)
	if err != nil {
		s.instance.log.Error("configuration is refused", zap.Int64("revision", item.Revision), zap.Error(err))
	}
	return err
}

// News implements notice.Sink. News always reaches the control goroutine, which
// runs for as long as news arrives.
func (s noticeSink) Deliver(item notice.Item) {
	s.instance.keep()
	if item.Kind == objects.KindWeights {
		s.instance.events <- weighted{model: item.Name, version: item.Revision}
		return
	}
	if snapshot, err := s.instance.snapshotOf(item); err == nil {
		s.instance.events <- configured{snapshot}
	}
}

// Membership implements notice.Sink.
func (s noticeSink) Membership(view *domain.View) { s.instance.events <- membership{view} }

func (i *Instance) snapshotOf(item notice.Item) (*contract.Snapshot, error) {
	var accepted contract.Accepted
	if err := json.Unmarshal(item.Value, &accepted); err != nil {
		return nil, oops.In("instance").With("step", "decode configuration").Wrap(err)
	}
	if item.Kind != objects.KindConfig || accepted.Bundle.Deployment != i.settings.Deployment || int64(accepted.Revision) != item.Revision {
		return nil, oops.In("instance").With("step", "decode configuration").Errorf("item %s/%s does not hold this deployment's revision %d", item.Kind, item.Name, item.Revision)
	}
	return contract.NewSnapshot(accepted)
}

// runNotices follows news until ctx ends. What the disk holds is put in force
// when neither the platform nor a peer has answered for a while, since the disk
// may be older than what was in force before.
func (i *Instance) runNotices(ctx context.Context) {
	if i.disk == nil {
		i.notices.Run(ctx)
		return
	}
	state, err := i.disk.Load()
	if err != nil {
		i.log.Error("kept configuration was not read", zap.Error(err))
	}
	if len(state.Members) > 0 {
		i.notices.Members(state.Members)
	}
	var loops sync.WaitGroup
	loops.Go(func() { i.notices.Run(ctx) })
	loops.Go(func() { i.keepMembers(ctx) })
	i.awaitWord(ctx)
	i.notices.Restore(state.Items)
	loops.Wait()
}

// awaitWord waits until the platform was heard, for restoreWait at most.
func (i *Instance) awaitWord(ctx context.Context) {
	deadline := i.clock.Now().Add(restoreWait)
	for ctx.Err() == nil && i.notices.SyncAge() < 0 && i.clock.Now().Before(deadline) {
		sleep(ctx, restoreStep)
	}
}

// keepMembers keeps the disk's instance list up to date: soon when its length
// changes, so that a restart knows whom to ask, and now and then. News is kept by
// the sink before it is in force.
func (i *Instance) keepMembers(ctx context.Context) {
	var saved time.Time
	kept := 0
	for ctx.Err() == nil {
		listed := len(i.view.Load().Domain.Members())
		if listed != kept || i.clock.Since(saved) >= saveInterval {
			i.keep()
			saved, kept = i.clock.Now(), listed
		}
		sleep(ctx, membersStep)
	}
}

func (i *Instance) keep() {
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
		i.log.Warn("configuration was not kept", zap.Error(err))
	}
}
