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
	// listLag is how late instances learn that an engine is gone or back.
	listLag     = 2 * time.Second
	leaseTerm   = 10 * time.Second
	maxAttempts = 4
	maxLenders  = 2
)

// instance is one entry instance with its own queue.
type instance struct {
	sim       *simulation
	name      string
	domain    string
	scheduler *queue.Scheduler
	members   map[string]*slots.Member // by domain of the upstreams
	loads     map[string]upstream.Load
	listed    map[string]bool // engines that the instance believes usable
	waiting   map[*queue.Item]*request
}

func newInstance(s *simulation, name, domain string, random *rand.Rand) *instance {
	order := queue.Fair
	if s.policy.arrival {
		order = queue.FIFO
	}
	i := &instance{sim: s, name: name, domain: domain, members: map[string]*slots.Member{}, loads: map[string]upstream.Load{}, listed: map[string]bool{}, waiting: map[*queue.Item]*request{}}
	i.scheduler = queue.NewScheduler(order, s.policy.chooser(random), random)
	i.members[domain] = slots.NewMember(s.timing, s.clock.now)
	for _, e := range s.engines {
		i.listed[e.Name] = true
	}
	return i
}

// enter queues a request; a refused one comes back when it was told to.
func (i *instance) enter(r *request) {
	deadline := time.Time{}
	if r.timeout > 0 {
		deadline = r.arrived.Add(r.timeout)
	}
	item, err := i.scheduler.Enqueue(r.ticket(deadline, i.domain), i.sim.clock.now)
	if err != nil {
		after, _ := queue.RetryAfter(err)
		i.sim.refused(r, after)
		return
	}
	i.waiting[item] = r
	if r.timeout > 0 {
		i.sim.clock.after(deadline.Sub(i.sim.clock.now), func() {
			if i.scheduler.Remove(item) {
				delete(i.waiting, item)
				i.sim.gaveUp(r)
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
		e := i.sim.byName[u.Name]
		e.send(&work{request: r, ended: func(failed bool, first time.Duration) { i.ended(r, item, e, failed, first) }})
	}
}

func (i *instance) ended(r *request, item *queue.Item, e *engine, failed bool, first time.Duration) {
	now := i.sim.clock.now
	i.scheduler.Observe(item, route.Observation{Failed: failed, FirstToken: first}, now)
	actual := int64(r.output)
	if failed {
		actual = 0
	}
	i.scheduler.Release(item, actual, now)
	if failed {
		r.excluded = append(r.excluded, e.Name)
		r.attempts++
		i.sim.retry(i, r)
	} else {
		i.sim.done(r, e)
	}
	i.dispatch()
}

// update gives the scheduler the shares and loads of now.
func (i *instance) update() {
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
		for _, e := range i.sim.enginesIn(domain) {
			if !i.listed[e.Name] || domain != i.domain && shares[e.Name] == 0 {
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
	engines := i.sim.slotsIn(domain, i)
	names := i.sim.namesIn(domain)
	place, local := slices.BinarySearch(names, i.name)
	var fixed slots.Shares
	if local {
		fixed = slots.FixedShares(engines, place, len(names))
	}
	if i.sim.policy.fixed {
		return fixed, local
	}
	shares, granted := member.Shares(now, fixed)
	if !granted && local && len(names) == 1 {
		return fixed, true
	}
	return shares, granted
}

// report sends the instance's demand to its own holder, and to two others while
// requests wait.
func (i *instance) report() {
	stats := i.scheduler.Stats()
	for _, domain := range i.lenders(stats) {
		if i.sim.unreachable(i.domain, domain) {
			continue
		}
		member := i.members[domain]
		running := slots.Shares{}
		for _, e := range i.sim.enginesIn(domain) {
			if n := stats.InFlight[e.Name]; n > 0 {
				running[e.Name] = n
			}
		}
		now := i.sim.clock.now
		holder := i.sim.holders[domain]
		holder.SetMembers(i.sim.namesIn(domain), i.sim.slotsIn(domain, i), now)
		answer := holder.HandleReport(slots.Report{Member: i.name, Applied: member.Applied(), Demand: stats.Waiting + running.Total(), InFlight: running}, now)
		member.HandleAnswer(answer, now, now)
		if domain != i.domain {
			i.readLoads(domain)
		}
	}
	i.update()
}

func (i *instance) lenders(stats queue.Stats) []string {
	asked := []string{i.domain}
	if i.sim.policy.fixed || stats.Waiting == 0 {
		return asked
	}
	start := slices.Index(i.sim.domains, i.domain)
	for n := 1; n < len(i.sim.domains) && n <= maxLenders; n++ {
		domain := i.sim.domains[(start+n)%len(i.sim.domains)]
		if i.members[domain] == nil {
			i.members[domain] = slots.NewMember(i.sim.timing, i.sim.clock.now)
		}
		asked = append(asked, domain)
	}
	return asked
}

func (i *instance) readLoads(domain string) {
	for _, e := range i.sim.enginesIn(domain) {
		i.loads[e.Name] = e.load()
	}
}
