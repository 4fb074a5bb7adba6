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

// queueSet holds a queue for each declared service, with this instance's shares of
// the slots of the service's upstreams.
type queueSet struct {
	clock  clockwork.Clock
	timing slots.Timing

	mu       sync.RWMutex // guards services and their slot members
	services map[string]*serviceQueue
}

// serviceQueue is the queue of a service on this instance.
type serviceQueue struct {
	queue  *queue.Queue
	member *slots.Member
	// borrowed are the slot shares of upstreams in other domains, by domain.
	borrowed map[string]*borrowedShares
}

func newQueues(clock clockwork.Clock, timing slots.Timing) *queueSet {
	return &queueSet{clock: clock, timing: timing, services: map[string]*serviceQueue{}}
}

func (q *queueSet) get(service string) *queue.Queue {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if sq := q.services[service]; sq != nil {
		return sq.queue
	}
	return nil
}

// update sets the upstreams and slots of each queue, and drops the queues of
// services that are no longer declared.
func (q *queueSet) update(v *View, domain string) {
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
		sq := q.ensure(service.Name, now)
		list := localSlots(v, service, domain, sq.member, now)
		sq.queue.Update(append(list, sq.borrowedSlots(v, service, now)...))
	}
}

func (q *queueSet) ensure(service string, now time.Time) *serviceQueue {
	if q.services[service] == nil {
		q.services[service] = &serviceQueue{queue: queue.New(route.Default()), member: slots.NewMember(q.timing, now), borrowed: map[string]*borrowedShares{}}
	}
	return q.services[service]
}

// localSlots returns the upstreams of a service in the domain with the number of
// slots that this instance may use of each.
func localSlots(v *View, service contract.Service, domain string, member *slots.Member, now time.Time) []queue.Upstream {
	local := v.Upstream.ByDomain(service.Name, domain)
	shares := currentShares(v, enginesOf(local, service.Slots), domain, member, now)
	list := make([]queue.Upstream, len(local))
	for i, u := range local {
		list[i] = queue.Upstream{Upstream: u, Slots: shares[u.Name], Capacity: service.Slots}
	}
	sortByHash(list, v.Domain.Self().Name)
	return list
}

// sortByHash sorts upstreams by a hash of the names of the instance and the
// upstream. Requests go to the first of several equally loaded upstreams, so each
// instance needs a different order.
func sortByHash(list []queue.Upstream, instance string) {
	hashes := make(map[string]uint64, len(list))
	for _, u := range list {
		hashes[u.Name] = xxhash.Sum64String(instance + "\x00" + u.Name)
	}
	slices.SortFunc(list, func(a, b queue.Upstream) int {
		return cmp.Compare(hashes[a.Name], hashes[b.Name])
	})
}

// currentShares returns the slots that this instance may use. The only instance of
// a domain does not wait for a grant from the holder of the upstream role.
func currentShares(v *View, engines []slots.Engine, domain string, member *slots.Member, now time.Time) slots.Shares {
	names := entryNames(v, domain)
	index := 0
	for i, name := range names {
		if name == v.Domain.Self().Name {
			index = i
		}
	}
	fixed := slots.FixedShares(engines, index, max(1, len(names)))
	shares, granted := member.Shares(now, fixed)
	if !granted && len(names) <= 1 {
		return fixed
	}
	return shares
}

// entryNames returns the names of the entry instances of a domain, sorted.
func entryNames(v *View, domain string) []string {
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

// reports returns a report for each service that uses slots in a domain, with the
// slots in use on this instance and its demand.
func (q *queueSet) reports(v *View, member, domain string) []slots.Report {
	q.mu.RLock()
	defer q.mu.RUnlock()
	var reports []slots.Report
	for name, sq := range q.services {
		slotMember := sq.memberFor(v, domain)
		if slotMember == nil {
			continue
		}
		stats := sq.queue.Stats()
		running := slots.Shares{}
		for _, u := range v.Upstream.ByDomain(name, domain) {
			if n := stats.InFlight[u.Name]; n > 0 {
				running[u.Name] = n
			}
		}
		demand := stats.Waiting + running.Total()
		if domain != v.Domain.Self().Domain {
			demand = max(demand, minBorrowDemand)
		}
		reports = append(reports, slots.Report{
			Service: name, Member: member, Applied: slotMember.Applied(), Demand: demand, Waiting: stats.Waiting, InFlight: running,
		})
	}
	return reports
}

// memberFor returns the member that receives shares of a domain's upstreams, or nil
// if the service does not borrow from the domain.
func (sq *serviceQueue) memberFor(v *View, domain string) *slots.Member {
	if domain == v.Domain.Self().Domain {
		return sq.member
	}
	if domainShares := sq.borrowed[domain]; domainShares != nil {
		return domainShares.member
	}
	return nil
}

// applyReply applies a holder's reply to a call that was sent at the time sent.
func (q *queueSet) applyReply(domain string, call SlotCall, reply SlotReply, sent time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	for i, answer := range reply.Answers {
		sq := q.services[call.Reports[i].Service]
		if sq == nil {
			continue
		}
		if domainShares := sq.borrowed[domain]; domainShares != nil {
			domainShares.member.HandleAnswer(answer, sent, now)
			domainShares.versions = answer.Versions
			continue
		}
		sq.member.HandleAnswer(answer, sent, now)
	}
}

// allStats returns the statistics of all queues by service.
func (q *queueSet) allStats() map[string]queue.Stats {
	q.mu.RLock()
	defer q.mu.RUnlock()
	all := make(map[string]queue.Stats, len(q.services))
	for name, sq := range q.services {
		all[name] = sq.queue.Stats()
	}
	return all
}
