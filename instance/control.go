package instance

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/upstream"
)

// pollTimeout bounds one reading of loads.
const pollTimeout = 2 * time.Second

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

func (i *Instance) pollMembers(ctx context.Context) {
	for ctx.Err() == nil {
		members, err := i.platform.Members(ctx)
		if err == nil {
			i.notices.Members(members)
		}
		sleep(ctx, i.settings.MembersInterval)
	}
}

// pollLoads asks the upstreams of the instance's own domain for their load.
func (i *Instance) pollLoads(ctx context.Context) {
	for ctx.Err() == nil {
		if loads := i.readLoads(ctx); len(loads) > 0 {
			i.send(ctx, loaded{loads})
		}
		sleep(ctx, i.settings.LoadInterval)
	}
}

func (i *Instance) readLoads(ctx context.Context) map[string]upstream.Load {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	type reading struct {
		name string
		load upstream.Load
		err  error
	}
	view := i.view.Load()
	readings := make(chan reading)
	asked := 0
	for _, m := range view.Domain.Upstreams() {
		if m.Domain != i.settings.Domain {
			continue
		}
		asked++
		go func() {
			load, err := i.client.ReportedLoad(ctx, m.Address)
			readings <- reading{m.Name, load, err}
		}()
	}
	loads := map[string]upstream.Load{}
	for range asked {
		r := <-readings
		if r.err == nil {
			loads[r.name] = r.load
		}
	}
	return loads
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
