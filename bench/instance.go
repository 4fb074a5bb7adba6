package bench

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pomelocross/pomelocross/queue"
	"github.com/pomelocross/pomelocross/route"
	"github.com/pomelocross/pomelocross/slots"
	"github.com/pomelocross/pomelocross/upstream"
)

const (
	loadInterval = 500 * time.Millisecond
	// listDelay is the delay until instances see on the instance list that an engine
	// has become unusable or usable.
	listDelay        = 2 * time.Second
	leaseTerm        = 10 * time.Second
	maxAttempts      = 4
	maxLenderDomains = 2
)

// instance is an entry instance with its own queue.
type instance struct {
	sim       *simulation
	name      string
	domain    string
	scheduler *queue.Scheduler
	members   map[string]*slots.Member // by failure domain of the upstreams
	loads     map[string]upstream.Load
	usable    map[string]bool // by engine, as known to this instance
	waiting   map[*queue.Item]*request
}

func newInstance(s *simulation, name, domain string, random *rand.Rand) *instance {
	order := queue.Fair
	if s.policy.fifo {
		order = queue.FIFO
	}
	i := &instance{sim: s, name: name, domain: domain, members: map[string]*slots.Member{}, loads: map[string]upstream.Load{}, usable: map[string]bool{}, waiting: map[*queue.Item]*request{}}
	i.scheduler = queue.NewScheduler(order, s.policy.chooser(random), random)
	i.members[domain] = slots.NewMember(s.timing, s.clock.now)
	for _, e := range s.engines {
		i.usable[e.Name] = true
	}
	return i
}

// enqueue queues a request. A rejected one is sent again after the retry delay that
// the queue returned.
func (i *instance) enqueue(r *request) {
	deadline := time.Time{}
	if r.timeout > 0 {
		deadline = r.arrived.Add(r.timeout)
	}
	item, err := i.scheduler.Enqueue(r.ticket(deadline, i.domain), i.sim.clock.now)
	if err != nil {
		retryAfter, _ := queue.RetryAfter(err)
		i.sim.handleRejection(r, retryAfter)
		return
	}
	i.waiting[item] = r
	if r.timeout > 0 {
		i.sim.clock.after(deadline.Sub(i.sim.clock.now), func() {
			if i.scheduler.Remove(item) {
				delete(i.waiting, item)
				i.sim.abandon(r)
			}
		})
	}
	i.dispatch()
}

func (i *instance) dispatch() {
	for {
		item, u := i.scheduler.Next(i.sim.clock.now)
		if item == nil {
			return
		}
		r := i.waiting[item]
		delete(i.waiting, item)
		e := i.sim.engineByName[u.Name]
		e.submit(&attempt{request: r, onEnd: func(failed bool, firstToken time.Duration) { i.attemptEnded(r, item, e, failed, firstToken) }})
	}
}

func (i *instance) attemptEnded(r *request, item *queue.Item, e *engine, failed bool, firstToken time.Duration) {
	now := i.sim.clock.now
	i.scheduler.Observe(item, route.Observation{Failed: failed, FirstToken: firstToken}, now)
	actual := int64(r.outputTokens)
	if failed {
		actual = 0
	}
	i.scheduler.Release(item, actual, now)
	if failed {
		r.excluded = append(r.excluded, e.Name)
		r.attempts++
		i.sim.retry(i, r)
	} else {
		i.sim.complete(r, e)
	}
	i.dispatch()
}

// updateScheduler passes the current slot shares and loads to the scheduler.
func (i *instance) updateScheduler() {
	var list []queue.Upstream
	now := i.sim.clock.now
	for _, domain := range i.sim.domains {
		member := i.members[domain]
		if member == nil {
			continue
		}
		shares, granted := i.shares(member, domain, now)
		if domain != i.domain && !granted {
			continue
		}
		for _, e := range i.sim.enginesInDomain(domain) {
			if !i.usable[e.Name] || domain != i.domain && shares[e.Name] == 0 {
				continue
			}
			u := upstream.Upstream{Member: e.Member, Load: i.loads[e.Name]}
			list = append(list, queue.Upstream{Upstream: u, Slots: shares[e.Name], Capacity: e.slots})
		}
	}
	i.scheduler.Update(list, now)
	i.dispatch()
}

func (i *instance) shares(member *slots.Member, domain string, now time.Time) (slots.Shares, bool) {
	engines := i.sim.engineSlots(domain, i)
	names := i.sim.instanceNames(domain)
	index, local := slices.BinarySearch(names, i.name)
	var fixed slots.Shares
	if local {
		fixed = slots.FixedShares(engines, index, len(names))
	}
	if i.sim.policy.fixedShares {
		return fixed, local
	}
	shares, granted := member.Shares(now, fixed)
	if !granted && local && len(names) == 1 {
		return fixed, true
	}
	return shares, granted
}

// report sends the instance's demand to the slot holder of its failure domain
// and, while requests wait, to those of maxLenderDomains others.
func (i *instance) report() {
	stats := i.scheduler.Stats()
	for _, domain := range i.reportDomains(stats) {
		if i.sim.unreachable(i.domain, domain) {
			continue
		}
		member := i.members[domain]
		running := slots.Shares{}
		for _, e := range i.sim.enginesInDomain(domain) {
			if n := stats.InFlight[e.Name]; n > 0 {
				running[e.Name] = n
			}
		}
		now := i.sim.clock.now
		holder := i.sim.holders[domain]
		holder.SetMembers(i.sim.instanceNames(domain), i.sim.engineSlots(domain, i), now)
		reply := holder.HandleReport(slots.Report{Member: i.name, Applied: member.Applied(), Demand: stats.Waiting + running.Total(), InFlight: running}, now)
		member.HandleAnswer(reply, now, now)
		if domain != i.domain {
			i.readLoads(domain)
		}
	}
	i.updateScheduler()
}

func (i *instance) reportDomains(stats queue.Stats) []string {
	domains := []string{i.domain}
	if i.sim.policy.fixedShares || stats.Waiting == 0 {
		return domains
	}
	start := slices.Index(i.sim.domains, i.domain)
	for n := 1; n < len(i.sim.domains) && n <= maxLenderDomains; n++ {
		domain := i.sim.domains[(start+n)%len(i.sim.domains)]
		if i.members[domain] == nil {
			i.members[domain] = slots.NewMember(i.sim.timing, i.sim.clock.now)
		}
		domains = append(domains, domain)
	}
	return domains
}

func (i *instance) readLoads(domain string) {
	for _, e := range i.sim.enginesInDomain(domain) {
		i.loads[e.Name] = e.loadReport()
	}
}
