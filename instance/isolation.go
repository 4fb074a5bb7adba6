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
	// isolatedRetryAfter is the Retry-After of requests rejected during isolation.
	isolatedRetryAfter = 5 * time.Second
)

// isolation returns the age of the instance's information from the platform, and
// whether that age makes the instance isolated. The instance may not know the
// changes that the platform has accepted since then. An instance that has
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

// rejectsWhileIsolated reports whether a service currently rejects requests because
// the instance is isolated: a key may have been withdrawn without the instance
// knowing.
func (i *Instance) rejectsWhileIsolated(view *View, service contract.Service) bool {
	age, isolated := i.isolation(view)
	return isolated && !service.ServesIsolated(age)
}

func isolatedError() *errorResponse {
	return &errorResponse{
		status: http.StatusServiceUnavailable, code: "isolated", notRun: true, retryAfter: isolatedRetryAfter,
		message: "this instance does not hear the platform, and the service refuses work then",
	}
}

// watchIsolation cancels running requests of services that reject requests during
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
