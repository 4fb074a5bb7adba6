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
	Length time.Duration // virtual
	// Rate multiplies the open load.
	Rate float64
}

// simulation is one run in progress.
type simulation struct {
	options   Options
	policy    policy
	clock     *clock
	random    *rand.Rand
	timing    slots.Timing
	domains   []string
	engines   []*engine
	byName    map[string]*engine
	instances []*instance
	holders   map[string]*slots.Allocator
	silent    bool   // no holder has its role
	cut       string // domain without links to others
	version   int64  // weight version that the trainer named last
	result    *Result
}

// Run runs one deployment under one policy, fault and seed.
func Run(d *Deployment, o Options) (*Result, error) {
	at := slices.IndexFunc(policies, func(p policy) bool { return p.Name == o.Policy })
	if at < 0 {
		return nil, fmt.Errorf("no policy %q", o.Policy)
	}
	fault, ok := faults[o.Fault]
	if !ok {
		return nil, fmt.Errorf("no fault %q", o.Fault)
	}
	s := newSimulation(d, o, policies[at])
	l := newLoad(s, d)
	l.start()
	fault(s, l)
	s.clock.runUntil(s.clock.now.Add(o.Length))
	l.finish()
	return s.result, nil
}

func newSimulation(d *Deployment, o Options, p policy) *simulation {
	s := &simulation{
		options: o, policy: p, clock: newClock(), random: rand.New(rand.NewPCG(o.Seed, 1)), timing: slots.TimingFor(leaseTerm),
		byName: map[string]*engine{}, holders: map[string]*slots.Allocator{}, version: 1,
		result: newResult(d.Name, o),
	}
	for n, domain := range d.Bundle.Domains {
		s.domains = append(s.domains, domain.Name)
		s.holders[domain.Name] = slots.NewAllocator(s.timing, int64(n+1))
	}
	for n := range d.Engines {
		e := newEngine(d.member(n), d.service().Slots, s.clock)
		s.engines = append(s.engines, e)
		s.byName[e.Name] = e
	}
	for n := range d.Instances {
		i := newInstance(s, fmt.Sprintf("entry-%02d", n), d.domain(n), rand.New(rand.NewPCG(o.Seed, uint64(n)+2)))
		s.instances = append(s.instances, i)
	}
	for n, i := range s.instances {
		i.update()
		offset := s.timing.Interval * time.Duration(n) / time.Duration(len(s.instances))
		s.clock.after(offset, func() { s.clock.every(s.timing.Interval, i.report) })
		s.clock.every(loadInterval, func() { i.readLoads(i.domain); i.update() })
	}
	return s
}

func (s *simulation) enginesIn(domain string) []*engine {
	var found []*engine
	for _, e := range s.engines {
		if e.Domain == domain {
			found = append(found, e)
		}
	}
	return found
}

// slotsIn lists the engines of a domain that the instance believes usable.
func (s *simulation) slotsIn(domain string, i *instance) []slots.Engine {
	var found []slots.Engine
	for _, e := range s.enginesIn(domain) {
		if i.listed[e.Name] && !e.leaving {
			found = append(found, slots.Engine{Name: e.Name, Slots: e.slots})
		}
	}
	return found
}

func (s *simulation) namesIn(domain string) []string {
	var names []string
	for _, i := range s.instances {
		if i.domain == domain {
			names = append(names, i.name)
		}
	}
	return names
}

func (s *simulation) unreachable(from, to string) bool {
	return s.silent || from != to && (from == s.cut || to == s.cut)
}

// list tells all instances after a lag whether an engine is usable.
func (s *simulation) list(e *engine, usable bool) {
	s.clock.after(listLag, func() {
		for _, i := range s.instances {
			i.listed[e.Name] = usable
			i.update()
		}
	})
}

func (s *simulation) refused(r *request, after time.Duration) {
	s.result.Refused++
	if r.timeout > 0 && s.clock.now.Add(after).Sub(r.arrived) > r.timeout {
		s.gaveUp(r)
		return
	}
	s.clock.after(after, func() { s.anyInstance(r).enter(r) })
}

// anyInstance is the balancer: any instance, but always the home for samples.
func (s *simulation) anyInstance(r *request) *instance {
	if r.home != nil {
		return r.home
	}
	return s.instances[s.random.IntN(len(s.instances))]
}

func (s *simulation) retry(i *instance, r *request) {
	if r.attempts >= maxAttempts && r.home == nil {
		s.gaveUp(r)
		return
	}
	if r.attempts >= maxAttempts {
		r.excluded, r.attempts = nil, 0
	}
	i.enter(r)
}

func (s *simulation) gaveUp(r *request) {
	s.result.gaveUp(r)
	if r.finished != nil {
		r.finished(false)
	}
}

func (s *simulation) done(r *request, e *engine) {
	s.result.done(r, s.clock.now.Sub(r.arrived), e.Cost == objects.CostCheap)
	if r.finished != nil {
		r.finished(true)
	}
}
