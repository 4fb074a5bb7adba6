package instance

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/platform"
)

const (
	watchWait = 30 * time.Second
	minPause  = 200 * time.Millisecond
	maxPause  = 5 * time.Second
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

// watchConfig follows the deployment's configuration object.
func (i *Instance) watchConfig(ctx context.Context) {
	i.follow(ctx, platform.KindConfig, func(o platform.Object) {
		if o.Name != i.settings.Deployment || o.Deleted {
			return
		}
		var accepted contract.Accepted
		if err := json.Unmarshal(o.Value, &accepted); err != nil {
			i.log.Error("stored configuration is damaged", zap.Error(err))
			return
		}
		snapshot, err := contract.NewSnapshot(accepted)
		if err != nil {
			i.log.Error("stored configuration is refused", zap.Error(err))
			return
		}
		i.send(ctx, configured{snapshot})
	})
}

// watchWeights follows the versions that trainers name.
func (i *Instance) watchWeights(ctx context.Context) {
	i.follow(ctx, platform.KindWeights, func(o platform.Object) {
		var version int64
		if err := json.Unmarshal(o.Value, &version); err == nil {
			i.send(ctx, weighted{model: o.Name, version: version})
		}
	})
}

// follow lists a kind and then watches it, and lists again after a gap.
func (i *Instance) follow(ctx context.Context, kind string, take func(platform.Object)) {
	pause := minPause
	var after platform.Version
	listed := false
	for ctx.Err() == nil {
		list, err := i.readChanges(ctx, kind, after, listed)
		if err != nil {
			listed = listed && !errors.Is(err, platform.ErrGap)
			sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, maxPause)
			continue
		}
		pause, after, listed = minPause, list.Version, true
		for _, o := range list.Objects {
			take(o)
		}
	}
}

func (i *Instance) readChanges(ctx context.Context, kind string, after platform.Version, listed bool) (platform.List, error) {
	if !listed {
		return i.platform.List(ctx, kind)
	}
	return i.platform.Watch(ctx, kind, after, watchWait)
}

func (i *Instance) pollMembers(ctx context.Context) {
	for ctx.Err() == nil {
		members, err := i.platform.Members(ctx)
		if err == nil {
			i.send(ctx, listed{members})
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
