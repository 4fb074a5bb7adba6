package bench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/queue"
	"github.com/pomelocross/pomelocross/route"
)

// The load of one deployment. Teams send open load in proportion to the square
// root of their weight; one team's trainer runs steps in a closed loop.
const (
	openRate     = 14.0 // requests a second of all teams
	deskPart     = 0.25 // of open requests
	deskTimeout  = 15 * time.Second
	draftTimeout = 5 * time.Minute
	meanOutput   = 220 // tokens
	spreadOutput = 0.5 // of the logarithm
	maxOutput    = 2048
	promptTokens = 900
	prefixesTeam = 6

	groupSamples = 8
	stepGroups   = 48
	trainTime    = 30 * time.Second
	floodFactor  = 20
)

// request is one request or sample.
type request struct {
	team     string
	weight   int
	class    contract.Class
	arrived  time.Time
	timeout  time.Duration // 0 for samples
	prefix   uint64
	prompt   int
	output   int // true length in tokens
	expected int // what the queue is told
	version  int64
	minimum  int64 // weight version
	home     *instance
	excluded []string
	attempts int
	finished func(whole bool)
}

func (r *request) ticket(deadline time.Time, domain string) queue.Ticket {
	return queue.Ticket{
		Team: r.team, Weight: r.weight, Class: r.class, Cost: int64(r.expected), Deadline: deadline,
		Route: route.Request{Domain: domain, Prefix: r.prefix, MinWeightVersion: r.minimum, Exclude: slices.Clone(r.excluded)},
	}
}

// load sends requests into a simulation.
type load struct {
	sim     *simulation
	d       *Deployment
	random  *rand.Rand
	flood   string // team that sends much more
	step    int
	left    int
	posted  time.Time
	idle    time.Duration
	trained time.Duration
}

func newLoad(s *simulation, d *Deployment) *load {
	return &load{sim: s, d: d, random: rand.New(rand.NewPCG(s.options.Seed, 1000))}
}

func (l *load) start() {
	sum := 0.0
	for _, t := range l.d.Bundle.Teams {
		sum += math.Sqrt(float64(t.Weight))
	}
	for n, t := range l.d.Bundle.Teams {
		if t.Name == l.d.trainer {
			continue
		}
		l.arrive(n, t, openRate*l.sim.options.Rate*math.Sqrt(float64(t.Weight))/sum)
	}
	l.postStep()
}

// arrive sends a team's next request after an exponential pause.
func (l *load) arrive(n int, t contract.Team, rate float64) {
	now := rate
	if l.flood == t.Name {
		now *= floodFactor
	}
	pause := time.Duration(l.random.ExpFloat64() / now * float64(time.Second))
	l.sim.clock.after(pause, func() {
		r := l.request(n, t)
		l.sim.anyInstance(r).enter(r)
		l.arrive(n, t, rate)
	})
}

func (l *load) request(n int, t contract.Team) *request {
	r := &request{
		team: t.Name, weight: t.Weight, class: contract.ClassDraft, arrived: l.sim.clock.now, timeout: draftTimeout,
		prefix: uint64(n*prefixesTeam+l.random.IntN(prefixesTeam)) + 1, prompt: promptTokens, output: l.length(), expected: 2 * meanOutput,
	}
	if l.random.Float64() < deskPart {
		r.class, r.timeout, r.output = contract.ClassDesk, deskTimeout, min(r.output, 64)
		r.expected = 64
	}
	return r
}

func (l *load) length() int {
	n := meanOutput * math.Exp(spreadOutput*l.random.NormFloat64())
	return min(max(1, int(n)), maxOutput)
}

// postStep sends the samples of a step to the run's home. The trainer is idle
// until they are whole, then trains and names a weight version.
func (l *load) postStep() {
	s := l.sim
	l.posted, l.left = s.clock.now, stepGroups*groupSamples
	l.step++
	team, _ := teamOf(l.d.Bundle, l.d.trainer)
	for group := range stepGroups {
		for range groupSamples {
			r := &request{
				team: team.Name, weight: team.Weight, class: contract.ClassRollout, arrived: s.clock.now, home: s.instances[0],
				prefix: uint64(1_000_000*l.step + group), prompt: promptTokens, output: l.length(), expected: 2 * meanOutput,
			}
			r.finished = func(bool) { l.sampleDone(r) }
			s.instances[0].enter(r)
		}
	}
}

func (l *load) sampleDone(r *request) {
	l.sim.result.staleness(l.sim.version - r.version)
	l.left--
	if l.left > 0 {
		return
	}
	l.idle += l.sim.clock.now.Sub(l.posted)
	l.sim.result.Steps++
	l.sim.clock.after(trainTime, func() {
		l.trained += trainTime
		l.postStep()
	})
}

// finish closes the account of a step still open.
func (l *load) finish() {
	if l.left > 0 {
		l.idle += l.sim.clock.now.Sub(l.posted)
	}
	l.sim.result.TrainerIdle = l.idle.Seconds() / (l.idle + l.trained).Seconds()
}

func teamOf(b *contract.Bundle, name string) (contract.Team, bool) {
	for _, t := range b.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return contract.Team{}, false
}
