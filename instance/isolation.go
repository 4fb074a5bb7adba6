package instance

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/contract"
)

const (
	isolationCheckInterval = time.Second
	// isolatedRetryAfter is the Retry-After sent with refusals during isolation.
	isolatedRetryAfter = 5 * time.Second
)

// isolation returns the age of the instance's knowledge of the platform, and
// whether that age makes the instance isolated. The platform may have accepted
// changes during this time that the instance does not know. An instance that has
// never received a message from the platform, not even through a peer, is isolated
// with the maximum duration, which exceeds any limit.
func (i *Instance) isolation(view *View) (time.Duration, bool) {
	if view.Contract == nil {
		return 0, false
	}
	trustedSince := i.notices.CompleteUntil(declaredDomains(view.Contract))
	if trustedSince.IsZero() {
		return 1<<63 - 1, true
	}
	age := i.clock.Since(trustedSince)
	return age, age > i.settings.IsolationGrace
}

func declaredDomains(c *contract.Snapshot) []string {
	names := make([]string, len(c.Bundle.Domains))
	for n, d := range c.Bundle.Domains {
		names[n] = d.Name
	}
	return names
}

// refusesWhileIsolated reports whether a service refuses requests at present
// because the instance is isolated: a key may have been withdrawn without the
// instance knowing.
func (i *Instance) refusesWhileIsolated(view *View, service contract.Service) bool {
	age, isolated := i.isolation(view)
	return isolated && !service.ServesIsolated(age)
}

func isolatedError() *errorResponse {
	return &errorResponse{
		status: http.StatusServiceUnavailable, code: "isolated", notRun: true, retryAfter: isolatedRetryAfter,
		message: "this instance is isolated from the platform, and the service refuses requests during isolation",
	}
}

// watchIsolation cancels running requests of services that refuse requests during
// isolation, and logs when isolation begins and ends.
func (i *Instance) watchIsolation(ctx context.Context) {
	wasIsolated := false
	for ctx.Err() == nil {
		view := i.view.Load()
		age, isolated := i.isolation(view)
		if isolated != wasIsolated {
			i.log.Warn("isolation state changed", zap.Bool("isolated", isolated), zap.Duration("age", age))
			wasIsolated = isolated
		}
		if isolated {
			i.sessions.cancelServices(func(name string) bool {
				service, _ := view.Contract.Service(name)
				return !service.ServesIsolated(age)
			})
		}
		sleep(ctx, isolationCheckInterval)
	}
}
