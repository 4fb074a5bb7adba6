package instance

import (
	"time"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/queue"
	"github.com/pomelocross/pomelocross/slots"
	"github.com/pomelocross/pomelocross/upstream"
)

// maxLenderDomains limits how many other domains an instance borrows slots from
// at a time for one service. It bounds the traffic of slot reports.
const maxLenderDomains = 2

// minBorrowDemand is the minimum demand, in slots, that an instance reports to a
// lending domain, even while no request waits: without any upstream, requests
// are rejected instead of queued, so no demand would be measured.
const minBorrowDemand = 4

// borrowedShares are this instance's shares of the slots of upstreams in another
// domain.
type borrowedShares struct {
	member   *slots.Member
	versions map[string]int64 // weight versions by upstream, as reported by the lending domain
}

// lenderDomains updates the set of domains to borrow slots from and returns it. A
// service borrows while requests wait for it or while its own domain has no
// upstream. It stops borrowing from a domain when no request waits and no
// request is in flight on an upstream there.
//
// current returns the view in force. It is called with mu held: a view is published
// before the queues are updated from it, so it is never older than the queues.
func (q *queueSet) lenderDomains(current func() *View, own string) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	v, now := current(), q.clock.Now()
	lenders := map[string]bool{}
	for name, sq := range q.services {
		stats := sq.queue.Stats()
		noLocalUpstream := len(enginesOf(v.Upstream.ByDomain(name, own), 1)) == 0
		if stats.Waiting > 0 || noLocalUpstream {
			q.addLenders(sq, v, name, own, now)
		}
		for lender := range sq.borrowed {
			if stats.Waiting == 0 && !noLocalUpstream && !anyInFlight(stats, v.Upstream.ByDomain(name, lender)) {
				delete(sq.borrowed, lender)
				continue
			}
			lenders[lender] = true
		}
	}
	var domains []string
	for name := range lenders {
		domains = append(domains, name)
	}
	return domains
}

// addLenders adds domains to borrow from, up to maxLenderDomains. Each instance
// ranks the domains by rendezvous hashing with its own name, which spreads the
// instances over the domains.
func (q *queueSet) addLenders(sq *serviceQueue, v *View, service, own string, now time.Time) {
	self := v.Domain.Self().Name
	for _, ranked := range domain.Ranked(otherDomains(v, own), self+service) {
		if len(sq.borrowed) >= maxLenderDomains {
			return
		}
		if sq.borrowed[ranked.Name] == nil && len(enginesOf(v.Upstream.ByDomain(service, ranked.Name), 1)) > 0 {
			sq.borrowed[ranked.Name] = &borrowedShares{member: slots.NewMember(q.timing, now)}
		}
	}
}

// otherDomains returns all declared domains except own. Only the name of each
// member is set, as domain.Ranked expects members.
func otherDomains(v *View, own string) []objects.Member {
	var others []objects.Member
	for _, d := range v.Contract.Bundle.Domains {
		if d.Name != own {
			others = append(others, objects.Member{Name: d.Name})
		}
	}
	return others
}

func anyInFlight(stats queue.Stats, upstreams []upstream.Upstream) bool {
	for _, u := range upstreams {
		if stats.InFlight[u.Name] > 0 {
			return true
		}
	}
	return false
}

// borrowedSlots returns the upstreams of other domains in which this instance
// holds slots, with the number of slots.
func (sq *serviceQueue) borrowedSlots(v *View, service contract.Service, now time.Time) []queue.Upstream {
	var list []queue.Upstream
	for domain, domainShares := range sq.borrowed {
		shares, granted := domainShares.member.Shares(now, nil)
		if !granted {
			continue
		}
		for _, u := range v.Upstream.ByDomain(service.Name, domain) {
			if shares[u.Name] == 0 {
				continue
			}
			u.Load.WeightVersion = domainShares.versions[u.Name]
			list = append(list, queue.Upstream{Upstream: u, Slots: shares[u.Name], Capacity: service.Slots})
		}
	}
	return list
}
