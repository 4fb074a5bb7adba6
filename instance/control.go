package instance

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/objects"
)

// runControl applies events in order and publishes the resulting view. It is the
// only writer of the view after startup.
func (i *Instance) runControl(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-i.events:
			next := *i.view.Load()
			e.apply(&next)
			i.publish(&next)
		}
	}
}

// publish makes next the current view, and applies it to the queues, the token rate
// limits and the running requests.
func (i *Instance) publish(next *View) {
	previous := i.view.Swap(next)
	i.queues.update(next, i.settings.Domain)
	if next.Contract != previous.Contract || next.Domain != previous.Domain {
		i.limits.Set(tokenRateShares(next, i.settings.Domain))
	}
	if next.Contract == previous.Contract {
		return
	}
	i.log.Info("configuration in force", zap.Int64("revision", int64(next.Contract.Revision)))
	i.sessions.cancelWithdrawn(next.Contract)
}

func (i *Instance) sendEvent(ctx context.Context, e event) {
	select {
	case i.events <- e:
	case <-ctx.Done():
	}
}

// pollMembers reads the member list from the platform at each MembersInterval and
// forwards changes.
func (i *Instance) pollMembers(ctx context.Context) {
	var last []objects.Member
	hasRead := false
	for ctx.Err() == nil {
		members, err := i.platform.Members(ctx)
		if err == nil && (!hasRead || !slices.Equal(last, members)) {
			last, hasRead = members, true
			i.notices.Members(members)
			i.sendEvent(ctx, membersReadEvent{})
		}
		sleep(ctx, i.settings.MembersInterval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
