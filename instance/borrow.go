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

// maxLenders bounds the domains that one instance borrows from at once for one
// service, and with it the bytes that borrowing costs.
const maxLenders = 2

// leastBorrowed is what an instance asks of a lender while nothing waits, since
// without any upstream requests are refused rather than queued.
const leastBorrowed = 4

// borrowed are shares of upstreams in another domain.
type borrowed struct {
	member   *slots.Member
	versions map[string]int64 // weight versions by upstream, as the lender says
}

// lenders decides which domains to borrow from and returns them. A service has
// reason to borrow while requests wait for it, or when its own domain has no
// upstream. It stops when nothing waits and nothing borrowed is in use.
func (q *queues) lenders(v *View, own string) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	asked := map[string]bool{}
	for name, one := range q.services {
		stats := one.queue.Stats()
		alone := len(enginesOf(v.Upstream.ByDomain(name, own), 1)) == 0
		if stats.Waiting > 0 || alone {
			q.borrow(one, v, name, own, now)
		}
		for lender := range one.borrowed {
			if stats.Waiting == 0 && !alone && !usesAny(stats, v.Upstream.ByDomain(name, lender)) {
				delete(one.borrowed, lender)
				continue
			}
			asked[lender] = true
		}
	}
	var domains []string
	for name := range asked {
		domains = append(domains, name)
	}
	return domains
}

// borrow adds lenders. Instances rank domains by rendezvous hashing of their own
// names, so that not all of them turn to the same one.
func (q *queues) borrow(one *served, v *View, service, own string, now time.Time) {
	self := v.Domain.Self().Name
	for _, ranked := range domain.Ranked(otherDomains(v, own), self+service) {
		if len(one.borrowed) >= maxLenders {
			return
		}
		if one.borrowed[ranked.Name] == nil && len(enginesOf(v.Upstream.ByDomain(service, ranked.Name), 1)) > 0 {
			one.borrowed[ranked.Name] = &borrowed{member: slots.NewMember(q.timing, now)}
		}
	}
}

// otherDomains returns the declared domains but own, as members by name.
func otherDomains(v *View, own string) []objects.Member {
	var others []objects.Member
	for _, d := range v.Contract.Bundle.Domains {
		if d.Name != own {
			others = append(others, objects.Member{Name: d.Name})
		}
	}
	return others
}

func usesAny(stats queue.Stats, upstreams []upstream.Upstream) bool {
	for _, u := range upstreams {
		if stats.InFlight[u.Name] > 0 {
			return true
		}
	}
	return false
}

// lent lists the upstreams of other domains that this instance has shares of.
func (one *served) lent(v *View, service contract.Service, now time.Time) []queue.Upstream {
	var list []queue.Upstream
	for domain, lender := range one.borrowed {
		shares, granted := lender.member.Shares(now, nil)
		if !granted {
			continue
		}
		for _, u := range v.Upstream.ByDomain(service.Name, domain) {
			if shares[u.Name] == 0 {
				continue
			}
			u.Load.WeightVersion = lender.versions[u.Name]
			list = append(list, queue.Upstream{Upstream: u, Slots: shares[u.Name], Capacity: service.Slots})
		}
	}
	return list
}
