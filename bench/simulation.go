package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/slots"
)

// Options describe one run.
type Options struct {
	Policy string
	Fault  string
	Seed   uint64
	Length time.Duration // simulated time
	// Rate multiplies the open-loop load.
	Rate float64
}

// simulation is the state of a run.
type simulation struct {
	options            Options
	policy             policy
	clock              *clock
	random             *rand.Rand
	timing             slots.Timing
	domains            []string
	engines            []*engine
	engineByName       map[string]*engine
	instances          []*instance
	holders            map[string]*slots.Allocator
	holdersUnavailable bool   // no failure domain has a slot holder
	isolatedDomain     string // failure domain that cannot reach the others; empty if none
	weightVersion      int64  // newest version that the engines were ordered to load
	result             *Result
}

// Run simulates a deployment with the policy, fault and seed in o. It returns an
// error if the policy or the fault is unknown.
func Run(d *Deployment, o Options) (*Result, error) {
	index := slices.IndexFunc(policies, func(p policy) bool { return p.Name == o.Policy })
	if index < 0 {
		return nil, fmt.Errorf("unknown policy %q", o.Policy)
	}
	fault, ok := faults[o.Fault]
	if !ok {
		return nil, fmt.Errorf("unknown fault %q", o.Fault)
	}
	s := newSimulation(d, o, policies[index])
	l := newLoadGenerator(s, d)
	l.start()
	fault(s, l)
	s.clock.runUntil(s.clock.now.Add(o.Length))
	l.finish()
	return s.result, nil
}

func newSimulation(d *Deployment, o Options, p policy) *simulation {
	s := &simulation{
		options: o, policy: p, clock: newClock(), random: rand.New(rand.NewPCG(o.Seed, 1)), timing: slots.TimingFor(leaseTerm),
		engineByName: map[string]*engine{}, holders: map[string]*slots.Allocator{}, weightVersion: 1,
		result: newResult(d.Name, o),
	}
	for n, domain := range d.Bundle.Domains {
		s.domains = append(s.domains, domain.Name)
		s.holders[domain.Name] = slots.NewAllocator(s.timing, int64(n+1))
	}
	for n := range d.Engines {
		e := newEngine(d.member(n), d.service().Slots, s.clock)
		s.engines = append(s.engines, e)
		s.engineByName[e.Name] = e
	}
	for n := range d.Instances {
		i := newInstance(s, fmt.Sprintf("entry-%02d", n), d.domain(n), rand.New(rand.NewPCG(o.Seed, uint64(n)+2)))
		s.instances = append(s.instances, i)
	}
	for n, i := range s.instances {
		i.updateScheduler()
		offset := s.timing.Interval * time.Duration(n) / time.Duration(len(s.instances))
		s.clock.after(offset, func() { s.clock.every(s.timing.Interval, i.report) })
		s.clock.every(loadInterval, func() { i.readLoads(i.domain); i.updateScheduler() })
	}
	return s
}

func (s *simulation) enginesInDomain(domain string) []*engine {
	var found []*engine
	for _, e := range s.engines {
		if e.Domain == domain {
			found = append(found, e)
		}
	}
	return found
}

// engineSlots returns the engines of a failure domain that the instance considers
// usable and that are not being reclaimed.
func (s *simulation) engineSlots(domain string, i *instance) []slots.Engine {
	var found []slots.Engine
	for _, e := range s.enginesInDomain(domain) {
		if i.usable[e.Name] && !e.leaving {
			found = append(found, slots.Engine{Name: e.Name, Slots: e.slots})
		}
	}
	return found
}

func (s *simulation) instanceNames(domain string) []string {
	var names []string
	for _, i := range s.instances {
		if i.domain == domain {
			names = append(names, i.name)
		}
	}
	return names
}

func (s *simulation) unreachable(from, to string) bool {
	return s.holdersUnavailable || from != to && (from == s.isolatedDomain || to == s.isolatedDomain)
}

// publishUsable updates whether an engine is usable at all instances, after
// listDelay.
func (s *simulation) publishUsable(e *engine, usable bool) {
	s.clock.after(listDelay, func() {
		for _, i := range s.instances {
			i.usable[e.Name] = usable
			i.updateScheduler()
		}
	})
}

func (s *simulation) handleRejection(r *request, retryAfter time.Duration) {
	s.result.Refused++
	if r.timeout > 0 && s.clock.now.Add(retryAfter).Sub(r.arrived) > r.timeout {
		s.abandon(r)
		return
	}
	s.clock.after(retryAfter, func() { s.pickInstance(r).enqueue(r) })
}

// pickInstance acts as the load balancer: it returns the home of the run for a sample,
// and a random instance for other requests.
func (s *simulation) pickInstance(r *request) *instance {
	if r.home != nil {
		return r.home
	}
	return s.instances[s.random.IntN(len(s.instances))]
}

func (s *simulation) retry(i *instance, r *request) {
	if r.attempts >= maxAttempts && r.home == nil {
		s.abandon(r)
		return
	}
	if r.attempts >= maxAttempts {
		r.excluded, r.attempts = nil, 0
	}
	i.enqueue(r)
}

func (s *simulation) abandon(r *request) {
	s.result.recordAbandoned(r)
	if r.onFinish != nil {
		r.onFinish(false)
	}
}

func (s *simulation) complete(r *request, e *engine) {
	s.result.recordCompleted(r, s.clock.now.Sub(r.arrived), e.Cost == objects.CostCheap)
	if r.onFinish != nil {
		r.onFinish(true)
	}
}
