package instance

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/contract"
)

const (
	isolationInterval = time.Second
	// isolatedPause is when callers of a refusing service are told to come back.
	isolatedPause = 5 * time.Second
)

// isolation returns how long ago something unknown here may first have been
// accepted, and whether that makes the instance isolated. An instance that never
// heard the platform, not even through a peer, is isolated for longer than any
// bound.
func (i *Instance) isolation(view *View) (time.Duration, bool) {
	if view.Contract == nil {
		return 0, false
	}
	trusted := i.notices.CompleteUntil(declaredDomains(view.Contract))
	if trusted.IsZero() {
		return 1<<63 - 1, true
	}
	age := i.clock.Since(trusted)
	return age, age > i.settings.IsolationGrace
}

func declaredDomains(c *contract.Snapshot) []string {
	names := make([]string, len(c.Bundle.Domains))
	for n, d := range c.Bundle.Domains {
		names[n] = d.Name
	}
	return names
}

// refusesIsolated reports whether a service takes no work here now, because a
// key may have been withdrawn unheard.
func (i *Instance) refusesIsolated(view *View, service contract.Service) bool {
	age, isolated := i.isolation(view)
	return isolated && !service.ServesIsolated(age)
}

func refuseIsolated() *refusal {
	return &refusal{
		status: http.StatusServiceUnavailable, code: "isolated", notRun: true, retryAfter: isolatedPause,
		message: "this instance does not hear the platform, and the service refuses work then",
	}
}

// watchIsolation ends running requests of services that start to refuse, and
// logs when isolation begins and ends.
func (i *Instance) watchIsolation(ctx context.Context) {
	was := false
	for ctx.Err() == nil {
		view := i.view.Load()
		age, isolated := i.isolation(view)
		if isolated != was {
			i.log.Warn("isolation", zap.Bool("isolated", isolated), zap.Duration("age", age))
			was = isolated
		}
		if isolated {
			i.sessions.cancelServices(func(name string) bool {
				service, _ := view.Contract.Service(name)
				return !service.ServesIsolated(age)
			})
		}
		sleep(ctx, isolationInterval)
	}
}
