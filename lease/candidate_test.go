package lease

import (
	"flag"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/pomelocross/pomelocross/objects"
)

// A fixed seed makes the property test generate the same cases in every run.
var _ = flag.Set("rapid.seed", "1")

// Limits of the simulated clock rates. Their ratio is less than 1 + Margin/Term.
const (
	minClockRate = 0.92
	maxClockRate = 1.10
)

// simulatedCandidate is a candidate with its own clock and its calls in flight.
type simulatedCandidate struct {
	candidate
	clockRate   float64
	clockOffset time.Duration
	read        *simulatedRead
	write       *simulatedWrite
}

type simulatedRead struct {
	version objects.Version
	value   Value
}

// simulatedWrite is sent to the store, takes effect there and gets a response. Its
// sender may time out at any point, and the write may still take effect later.
type simulatedWrite struct {
	expect   objects.Version
	value    Value
	applied  bool
	version  objects.Version
	conflict bool
}

// simulation is a store and its candidates at one point of simulated real time.
type simulation struct {
	t          *rapid.T
	now        time.Duration
	version    objects.Version
	stored     Value
	candidates []*simulatedCandidate
	delayed    []*simulatedWrite // timed out at their senders, but still in flight
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t}
	for n := range rapid.IntRange(2, 4).Draw(t, "candidates") {
		s.candidates = append(s.candidates, &simulatedCandidate{
			candidate:   candidate{self: Identity{Name: fmt.Sprint("entry-", n/2), Incarnation: fmt.Sprint(n)}, timing: DefaultTiming()},
			clockRate:   rapid.Float64Range(minClockRate, maxClockRate).Draw(t, "rate"),
			clockOffset: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "offset")),
		})
	}
	return s
}

// localTime returns the current time on the candidate's clock.
func (s *simulation) localTime(c *simulatedCandidate) time.Time {
	return time.Unix(0, 0).Add(c.clockOffset + time.Duration(float64(s.now)*c.clockRate))
}

// apply applies a write to the store, or marks it as a conflict if the stored
// version differs from the expected one.
func (s *simulation) apply(write *simulatedWrite) {
	write.applied, write.conflict = true, write.expect != s.version
	if !write.conflict {
		s.version++
		s.stored, write.version = write.value, s.version
	}
}

// step advances candidate c by one event.
func (s *simulation) step(c *simulatedCandidate) {
	switch {
	case c.write != nil && !c.write.applied:
		s.deliver(c)
	case c.write != nil:
		s.respond(c)
	case c.read != nil:
		c.observe(c.read.version, c.read.value, s.localTime(c))
		c.read = nil
		s.maybeWrite(c)
	case !c.mustRead():
		s.maybeWrite(c)
	default:
		c.read = &simulatedRead{s.version, s.stored}
	}
}

func (s *simulation) deliver(c *simulatedCandidate) {
	switch rapid.SampledFrom([]string{"arrives", "dropped", "late"}).Draw(s.t, "write") {
	case "arrives":
		s.apply(c.write)
	case "late":
		s.delayed = append(s.delayed, c.write)
		c.write = nil
	case "dropped":
		c.write = nil
	}
}

func (s *simulation) respond(c *simulatedCandidate) {
	if responseLost := rapid.Bool().Draw(s.t, "response lost"); !responseLost && !c.write.conflict {
		c.confirmWrite(c.write.version, s.localTime(c))
	}
	c.write = nil
}

func (s *simulation) maybeWrite(c *simulatedCandidate) {
	value, due := c.nextWrite(s.localTime(c))
	if !due {
		return
	}
	c.beginWrite(value, s.localTime(c))
	c.write = &simulatedWrite{expect: c.version, value: value}
}

// holders returns the candidates with a valid grant on their own clock.
func (s *simulation) holders() []*simulatedCandidate {
	var found []*simulatedCandidate
	for _, c := range s.candidates {
		g := Grant{Epoch: c.value.Epoch, Until: c.until}
		if !c.until.IsZero() && g.Valid(s.localTime(c), 0) {
			found = append(found, c)
		}
	}
	return found
}

func (s *simulation) check(epochs map[int64]Identity) {
	holders := s.holders()
	if len(holders) > 1 {
		s.t.Fatalf("two valid grants at %v: %+v and %+v", s.now, holders[0].candidate, holders[1].candidate)
	}
	for _, c := range holders {
		if first, known := epochs[c.value.Epoch]; known && first != c.self {
			s.t.Fatalf("epoch %d was held by %v and %v", c.value.Epoch, first, c.self)
		}
		epochs[c.value.Epoch] = c.self
	}
}

var _ = Describe("Candidates", func() {
	It("never hold two valid grants at once despite lost or late writes and clock drift", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s, epochs := newSimulation(t), map[int64]Identity{}
			for range rapid.IntRange(50, 400).Draw(t, "steps") {
				s.now += time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(t, "pause"))
				s.check(epochs)
				if len(s.delayed) > 0 && rapid.Bool().Draw(t, "late write arrives") {
					s.apply(s.delayed[0])
					s.delayed = s.delayed[1:]
				} else {
					s.step(rapid.SampledFrom(s.candidates).Draw(t, "candidate"))
				}
				s.check(epochs)
			}
		})
	})
})
