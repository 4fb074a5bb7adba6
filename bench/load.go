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

// Load of a deployment. The teams send open-loop requests at rates proportional
// to the square root of their weights. One team's trainer runs steps in a closed
// loop instead.
const (
	openLoadRate       = 14.0 // requests per second of all teams
	deskFraction       = 0.25 // of the open-loop requests
	deskTimeout        = 15 * time.Second
	draftTimeout       = 5 * time.Minute
	medianOutputTokens = 220
	outputLogStdDev    = 0.5 // of log-normal output lengths
	maxOutputTokens    = 2048
	promptTokens       = 900
	prefixesPerTeam    = 6

	samplesPerGroup = 8
	groupsPerStep   = 48
	trainTime       = 30 * time.Second
	floodFactor     = 20
)

// request is an open-loop request or a sample of a step.
type request struct {
	team             string
	weight           int
	class            contract.Class
	arrived          time.Time
	timeout          time.Duration // 0 for samples
	prefix           uint64
	promptTokens     int
	outputTokens     int // actual number generated
	expectedTokens   int // estimate given to the queue
	weightVersion    int64
	minWeightVersion int64
	home             *instance // home of the run; nil for open-loop requests
	excluded         []string
	attempts         int
	onFinish         func(completed bool)
}

func (r *request) ticket(deadline time.Time, domain string) queue.Ticket {
	return queue.Ticket{
		Team: r.team, Weight: r.weight, Class: r.class, Cost: int64(r.expectedTokens), Deadline: deadline,
		Route: route.Request{Domain: domain, Prefix: r.prefix, MinWeightVersion: r.minWeightVersion, Exclude: slices.Clone(r.excluded)},
	}
}

// loadGenerator sends requests to the instances of a simulation.
type loadGenerator struct {
	sim          *simulation
	deployment   *Deployment
	random       *rand.Rand
	floodingTeam string // team whose rate is multiplied by floodFactor
	step         int
	samplesLeft  int
	stepStarted  time.Time
	trainerIdle  time.Duration
	trainerBusy  time.Duration
}

func newLoadGenerator(s *simulation, d *Deployment) *loadGenerator {
	return &loadGenerator{sim: s, deployment: d, random: rand.New(rand.NewPCG(s.options.Seed, 1000))}
}

func (l *loadGenerator) start() {
	sum := 0.0
	for _, t := range l.deployment.Bundle.Teams {
		sum += math.Sqrt(float64(t.Weight))
	}
	for n, t := range l.deployment.Bundle.Teams {
		if t.Name == l.deployment.trainer {
			continue
		}
		l.scheduleArrivals(n, t, openLoadRate*l.sim.options.Rate*math.Sqrt(float64(t.Weight))/sum)
	}
	l.startStep()
}

// scheduleArrivals sends a team's requests, with exponentially distributed times
// between them.
func (l *loadGenerator) scheduleArrivals(n int, t contract.Team, rate float64) {
	currentRate := rate
	if l.floodingTeam == t.Name {
		currentRate *= floodFactor
	}
	pause := time.Duration(l.random.ExpFloat64() / currentRate * float64(time.Second))
	l.sim.clock.after(pause, func() {
		r := l.newRequest(n, t)
		l.sim.pickInstance(r).enqueue(r)
		l.scheduleArrivals(n, t, rate)
	})
}

func (l *loadGenerator) newRequest(n int, t contract.Team) *request {
	r := &request{
		team: t.Name, weight: t.Weight, class: contract.ClassDraft, arrived: l.sim.clock.now, timeout: draftTimeout,
		prefix: uint64(n*prefixesPerTeam+l.random.IntN(prefixesPerTeam)) + 1, promptTokens: promptTokens, outputTokens: l.drawOutputTokens(), expectedTokens: 2 * medianOutputTokens,
	}
	if l.random.Float64() < deskFraction {
		r.class, r.timeout, r.outputTokens = contract.ClassDesk, deskTimeout, min(r.outputTokens, 64)
		r.expectedTokens = 64
	}
	return r
}

func (l *loadGenerator) drawOutputTokens() int {
	n := medianOutputTokens * math.Exp(outputLogStdDev*l.random.NormFloat64())
	return min(max(1, int(n)), maxOutputTokens)
}

// startStep sends the samples of a step to the home instance of the run. The trainer
// is idle until all of them are complete; then it trains for trainTime and starts the
// next step.
func (l *loadGenerator) startStep() {
	s := l.sim
	l.stepStarted, l.samplesLeft = s.clock.now, groupsPerStep*samplesPerGroup
	l.step++
	team, _ := findTeam(l.deployment.Bundle, l.deployment.trainer)
	for group := range groupsPerStep {
		for range samplesPerGroup {
			r := &request{
				team: team.Name, weight: team.Weight, class: contract.ClassRollout, arrived: s.clock.now, home: s.instances[0],
				prefix: uint64(1_000_000*l.step + group), promptTokens: promptTokens, outputTokens: l.drawOutputTokens(), expectedTokens: 2 * medianOutputTokens,
			}
			r.onFinish = func(bool) { l.sampleDone(r) }
			s.instances[0].enqueue(r)
		}
	}
}

func (l *loadGenerator) sampleDone(r *request) {
	l.sim.result.recordSample(l.sim.weightVersion - r.weightVersion)
	l.samplesLeft--
	if l.samplesLeft > 0 {
		return
	}
	l.trainerIdle += l.sim.clock.now.Sub(l.stepStarted)
	l.sim.result.Steps++
	l.sim.clock.after(trainTime, func() {
		l.trainerBusy += trainTime
		l.startStep()
	})
}

// finish adds the idle time of an unfinished step and computes the idle fraction.
func (l *loadGenerator) finish() {
	if l.samplesLeft > 0 {
		l.trainerIdle += l.sim.clock.now.Sub(l.stepStarted)
	}
	l.sim.result.TrainerIdle = l.trainerIdle.Seconds() / (l.trainerIdle + l.trainerBusy).Seconds()
}

func findTeam(b *contract.Bundle, name string) (contract.Team, bool) {
	for _, t := range b.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return contract.Team{}, false
}
