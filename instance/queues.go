package instance

import (
	"sync"

	"github.com/pomelocross/pomelocross/platform"
	"github.com/pomelocross/pomelocross/queue"
	"github.com/pomelocross/pomelocross/route"
)

// queues holds one queue for each declared service.
type queues struct {
	mu       sync.RWMutex // guards services
	services map[string]*queue.Queue
}

func (q *queues) of(service string) *queue.Queue {
	q.mu.RLock()
	defer q.mu.RUnlock()
	return q.services[service]
}

// update gives each queue the instance's share of the domain's upstreams.
func (q *queues) update(v *View, domain string) {
	if v.Contract == nil {
		return
	}
	peers := max(1, len(v.Domain.Peers(domain)))
	for _, service := range v.Contract.Bundle.Services {
		share := max(1, service.Slots/peers)
		var slotted []queue.Slotted
		for _, u := range v.Upstream.Of(service.Name) {
			if u.Domain == domain && u.Role == platform.RoleUpstream {
				slotted = append(slotted, queue.Slotted{Upstream: u, Slots: share})
			}
		}
		q.ensure(service.Name).Update(slotted)
	}
}

func (q *queues) ensure(service string) *queue.Queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.services == nil {
		q.services = map[string]*queue.Queue{}
	}
	if q.services[service] == nil {
		q.services[service] = queue.New(route.Default())
	}
	return q.services[service]
}
