package instance

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/objects"
)

// control owns the view. It applies events in order and publishes the result.
func (i *Instance) control(ctx context.Context) {
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

func (i *Instance) publish(next *View) {
	before := i.view.Swap(next)
	i.queues.update(next, i.settings.Domain)
	if next.Contract != before.Contract || next.Domain != before.Domain {
		i.limits.Set(rateShares(next, i.settings.Domain))
	}
	if next.Contract == before.Contract {
		return
	}
	i.log.Info("configuration in force", zap.Int64("revision", int64(next.Contract.Revision)))
	i.sessions.cancelWithdrawn(next.Contract)
}

func (i *Instance) send(ctx context.Context, e event) {
	select {
	case i.events <- e:
	case <-ctx.Done():
	}
}

// pollMembers reads the instance list and passes on what has changed.
func (i *Instance) pollMembers(ctx context.Context) {
	var last []objects.Member
	read := false
	for ctx.Err() == nil {
		members, err := i.platform.Members(ctx)
		if err == nil && (!read || !slices.Equal(last, members)) {
			last, read = members, true
			i.notices.Members(members)
			i.send(ctx, listRead{})
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
