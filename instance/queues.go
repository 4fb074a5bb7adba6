package instance

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/queue"
	"github.com/pomelocross/pomelocross/route"
	"github.com/pomelocross/pomelocross/slots"
	"github.com/pomelocross/pomelocross/upstream"
)

// queues holds one queue for each declared service, with this instance's shares
// of the service's upstreams.
type queues struct {
	clock  clockwork.Clock
	timing slots.Timing

	mu       sync.RWMutex // guards services and the members in them
	services map[string]*served
}

// served is one service at this instance.
type served struct {
	queue  *queue.Queue
	member *slots.Member
	// borrowed are the shares of upstreams in other domains, by domain.
	borrowed map[string]*borrowed
}

func newQueues(clock clockwork.Clock, timing slots.Timing) *queues {
	return &queues{clock: clock, timing: timing, services: map[string]*served{}}
}

func (q *queues) of(service string) *queue.Queue {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if one := q.services[service]; one != nil {
		return one.queue
	}
	return nil
}

// update gives each queue the instance's share of the domain's upstreams, and
// drops queues of services that are no longer declared.
func (q *queues) update(v *View, domain string) {
	if v.Contract == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	for name := range q.services {
		if _, declared := v.Contract.Service(name); !declared {
			q.services[name].queue.Update(nil)
			delete(q.services, name)
		}
	}
	for _, service := range v.Contract.Bundle.Services {
		one := q.ensure(service.Name, now)
		list := slotted(v, service, domain, one.member, now)
		one.queue.Update(append(list, one.lent(v, service, now)...))
	}
}

func (q *queues) ensure(service string, now time.Time) *served {
	if q.services[service] == nil {
		q.services[service] = &served{queue: queue.New(route.Default()), member: slots.NewMember(q.timing, now), borrowed: map[string]*borrowed{}}
	}
	return q.services[service]
}

// slotted lists the domain's upstreams of a service with this instance's shares.
func slotted(v *View, service contract.Service, domain string, member *slots.Member, now time.Time) []queue.Upstream {
	local := v.Upstream.ByDomain(service.Name, domain)
	shares := sharesNow(v, enginesOf(local, service.Slots), domain, member, now)
	list := make([]queue.Upstream, len(local))
	for i, u := range local {
		list[i] = queue.Upstream{Upstream: u, Slots: shares[u.Name], Capacity: service.Slots}
	}
	spread(list, v.Domain.Self().Name)
	return list
}

// spread orders upstreams by a hash of the instance's and their names, since the
// first of equals is chosen and instances should not choose the same one.
func spread(list []queue.Upstream, instance string) {
	places := make(map[string]uint64, len(list))
	for _, u := range list {
		places[u.Name] = xxhash.Sum64String(instance + "\x00" + u.Name)
	}
	slices.SortFunc(list, func(a, b queue.Upstream) int {
		return cmp.Compare(places[a.Name], places[b.Name])
	})
}

// sharesNow returns the slots that this instance may use. An instance that is
// alone in its domain need not wait for a holder.
func sharesNow(v *View, engines []slots.Engine, domain string, member *slots.Member, now time.Time) slots.Shares {
	names := memberNames(v, domain)
	place := 0
	for i, name := range names {
		if name == v.Domain.Self().Name {
			place = i
		}
	}
	fixed := slots.FixedShares(engines, place, max(1, len(names)))
	shares, granted := member.Shares(now, fixed)
	if !granted && len(names) <= 1 {
		return fixed
	}
	return shares
}

// memberNames returns the entry instances of a domain, sorted.
func memberNames(v *View, domain string) []string {
	var names []string
	for _, peer := range v.Domain.Peers(domain) {
		names = append(names, peer.Name)
	}
	return names
}

func enginesOf(upstreams []upstream.Upstream, perUpstream int) []slots.Engine {
	var engines []slots.Engine
	for _, u := range upstreams {
		if !u.Leaving {
			engines = append(engines, slots.Engine{Name: u.Name, Slots: perUpstream})
		}
	}
	return engines
}

// reports says of each service what this instance uses and could use of the
// upstreams of a domain.
func (q *queues) reports(v *View, member, domain string) []slots.Report {
	q.mu.RLock()
	defer q.mu.RUnlock()
	var reports []slots.Report
	for name, one := range q.services {
		asked := one.memberOf(v, domain)
		if asked == nil {
			continue
		}
		stats := one.queue.Stats()
		running := slots.Shares{}
		for _, u := range v.Upstream.ByDomain(name, domain) {
			if n := stats.InFlight[u.Name]; n > 0 {
				running[u.Name] = n
			}
		}
		demand := stats.Waiting + running.Total()
		if domain != v.Domain.Self().Domain {
			demand = max(demand, leastBorrowed)
		}
		reports = append(reports, slots.Report{
			Service: name, Member: member, Applied: asked.Applied(), Demand: demand, Waiting: stats.Waiting, InFlight: running,
		})
	}
	return reports
}

// memberOf returns the member that takes shares of a domain's upstreams, nil
// when none is wanted.
func (one *served) memberOf(v *View, domain string) *slots.Member {
	if domain == v.Domain.Self().Domain {
		return one.member
	}
	if lender := one.borrowed[domain]; lender != nil {
		return lender.member
	}
	return nil
}

// answered takes in a holder's reply to a call sent at sent.
func (q *queues) answered(domain string, call SlotCall, reply SlotReply, sent time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	for i, answer := range reply.Answers {
		one := q.services[call.Reports[i].Service]
		if one == nil {
			continue
		}
		if lender := one.borrowed[domain]; lender != nil {
			lender.member.HandleAnswer(answer, sent, now)
			lender.versions = answer.Versions
			continue
		}
		one.member.HandleAnswer(answer, sent, now)
	}
}

// stats returns the state of each queue by service.
func (q *queues) stats() map[string]queue.Stats {
	q.mu.RLock()
	defer q.mu.RUnlock()
	all := make(map[string]queue.Stats, len(q.services))
	for name, one := range q.services {
		all[name] = one.queue.Stats()
	}
	return all
}
