// Package straggler compares policies for the slowest samples of a step: wait,
// run a duplicate and use the first to finish, or resume on another engine. It
// simulates engines in steps of one second; the result depends only on the case and
// its seed.
package straggler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pomelocross/pomelocross/rollout"
)

// Policy is a way to handle stragglers.
type Policy int

// The policies.
const (
	Wait      Policy = iota
	Duplicate        // run a duplicate from the start on another engine; the first to finish counts
	Resume           // stop, and continue after the generated tokens on another engine
)

// String returns the policy's name.
func (p Policy) String() string { return [...]string{"wait", "twice", "resume"}[p] }

// Case describes a step and the engines that run it.
type Case struct {
	Samples int
	Slots   int       // concurrent samples per engine
	Rates   []float64 // tokens per second and sample, by engine
	// Median and Spread are the parameters of the log-normal distribution of sample
	// lengths: the median in tokens and the standard deviation of the logarithm.
	Median float64
	Spread float64
	Seed   uint64
}

// Result is the outcome of a step.
type Result struct {
	Finish    time.Duration
	Generated float64 // tokens, including those of discarded attempts
	Delivered float64 // tokens of the attempts that finished first
	Drawn     float64 // tokens, sum of the lengths drawn for the first attempts
}

// TokenOverhead returns the tokens generated per token delivered.
func (r Result) TokenOverhead() float64 { return r.Generated / r.Delivered }

// Bias returns the relative difference between the delivered and the drawn
// lengths; 0 means that the policy has no length bias.
func (r Result) Bias() float64 { return r.Delivered/r.Drawn - 1 }

// attempt is one attempt to run a sample on an engine.
type attempt struct {
	sample    int
	engine    int
	length    float64
	tokens    float64 // including those resumed from earlier attempts
	generated float64 // tokens, by this attempt only
	started   time.Time
	moves     int
	excluded  []int // engines on which the sample was a straggler
}

// step is the state of a simulated step.
type step struct {
	c         Case
	policy    Policy
	random    *rand.Rand
	now       time.Time
	freeSlots []int
	pending   []*attempt
	running   []*attempt
	finished  map[int]bool
	meanRate  float64 // tokens per second of finished attempts, moving average
	result    Result
}

// Run simulates a case under a policy.
func Run(c Case, policy Policy) Result {
	s := &step{c: c, policy: policy, random: rand.New(rand.NewPCG(c.Seed, 1)), finished: map[int]bool{}}
	for range c.Rates {
		s.freeSlots = append(s.freeSlots, c.Slots)
	}
	for n := range c.Samples {
		length := s.drawLength()
		s.result.Drawn += length
		s.pending = append(s.pending, &attempt{sample: n, length: length})
	}
	begin := s.now
	for len(s.finished) < c.Samples {
		s.startPending()
		s.generate()
		s.now = s.now.Add(time.Second)
		if len(s.pending) == 0 && policy != Wait {
			s.handleStragglers()
		}
	}
	s.result.Finish = s.now.Sub(begin)
	return s.result
}

func (s *step) drawLength() float64 {
	return math.Ceil(s.c.Median * math.Exp(s.c.Spread*s.random.NormFloat64()))
}

// startPending assigns pending attempts to the engines with the most free slots.
func (s *step) startPending() {
	waiting := s.pending
	s.pending = nil
	for i, a := range waiting {
		engine := s.pickEngine(a.excluded)
		if engine < 0 {
			s.pending = append(s.pending, waiting[i:]...)
			return
		}
		a.engine, a.started = engine, s.now
		s.freeSlots[engine]--
		s.running = append(s.running, a)
	}
}

// pickEngine returns the engine with the most free slots that is not excluded,
// or -1 if there is none.
func (s *step) pickEngine(excluded []int) int {
	best := -1
	for e, free := range s.freeSlots {
		if free > 0 && !slices.Contains(excluded, e) && (best < 0 || free > s.freeSlots[best]) {
			best = e
		}
	}
	return best
}

// generate runs all attempts for one second.
func (s *step) generate() {
	for _, a := range s.running {
		tokens := min(s.c.Rates[a.engine], a.length-a.tokens)
		a.tokens += tokens
		a.generated += tokens
		s.result.Generated += tokens
	}
	running := s.running[:0]
	for _, a := range s.running {
		if !s.finished[a.sample] && a.tokens >= a.length {
			s.finish(a)
		}
		if s.finished[a.sample] {
			s.freeSlots[a.engine]++
			continue
		}
		running = append(running, a)
	}
	s.running = running
}

func (s *step) finish(a *attempt) {
	s.finished[a.sample] = true
	s.result.Delivered += a.length
	rate := a.generated / (s.now.Sub(a.started) + time.Second).Seconds()
	if s.meanRate == 0 {
		s.meanRate = rate
	}
	s.meanRate += 0.2 * (rate - s.meanRate)
}

// handleStragglers applies the policy to the samples that rollout.Stragglers
// selects.
func (s *step) handleStragglers() {
	var samples []rollout.RunningSample
	for i, a := range s.running {
		samples = append(samples, rollout.RunningSample{Number: i, Started: a.started, Tokens: int(a.generated), Moves: a.moves})
	}
	for _, i := range rollout.Stragglers(samples, s.meanRate, s.now) {
		a := s.running[i]
		if s.policy == Duplicate {
			a.moves = math.MaxInt32 // no further duplicates of this sample
			s.pending = append(s.pending, &attempt{sample: a.sample, length: s.drawLength(), moves: math.MaxInt32, excluded: []int{a.engine}})
			continue
		}
		s.freeSlots[a.engine]++
		s.pending = append(s.pending, &attempt{
			sample: a.sample, length: a.length, tokens: a.tokens, moves: a.moves + 1, excluded: append(slices.Clone(a.excluded), a.engine),
		})
		s.running[i] = nil
	}
	s.compact()
}

func (s *step) compact() {
	running := s.running[:0]
	for _, a := range s.running {
		if a != nil {
			running = append(running, a)
		}
	}
	s.running = running
}

// Row holds the means of a case's results over several seeds.
type Row struct {
	Name          string
	Policy        Policy
	Finish        time.Duration
	TokenOverhead float64
	Bias          float64
}

// String returns the row as a line of a Markdown table.
func (r Row) String() string {
	return fmt.Sprintf("| %s | %s | %.0f | %.3f | %+.2f%% |", r.Name, r.Policy, r.Finish.Seconds(), r.TokenOverhead, 100*r.Bias)
}

// Mean runs a case with the seeds 1 to n and returns the means.
func Mean(name string, c Case, policy Policy, n int) Row {
	row := Row{Name: name, Policy: policy}
	for seed := range n {
		c.Seed = uint64(seed + 1)
		r := Run(c, policy)
		row.Finish += r.Finish / time.Duration(n)
		row.TokenOverhead += r.TokenOverhead() / float64(n)
		row.Bias += r.Bias() / float64(n)
	}
	return row
}
