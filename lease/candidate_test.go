package lease

import (
	"flag"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/pomelocross/pomelocross/objects"
)

// The property test draws the same cases in every run.
var _ = flag.Set("rapid.seed", "1")

// Clock rates whose ratio stays within 1 + Margin/Term.
const (
	slowestRate = 0.92
	fastestRate = 1.10
)

// simulated is one candidate with its own clock and its calls on their way.
type simulated struct {
	candidate
	rate   float64
	offset time.Duration
	read   *simulatedRead
	write  *simulatedWrite
}

type simulatedRead struct {
	version objects.Version
	value   Value
}

// simulatedWrite travels to the store, takes effect there, and is answered; it
// may be given up by its sender at any point and still take effect later.
type simulatedWrite struct {
	expect   objects.Version
	value    Value
	arrived  bool
	version  objects.Version
	conflict bool
}

// world is a store and its candidates at one moment of true time.
type world struct {
	t          *rapid.T
	now        time.Duration
	version    objects.Version
	stored     Value
	candidates []*simulated
	late       []*simulatedWrite // given up by their senders, still on their way
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t}
	for n := range rapid.IntRange(2, 4).Draw(t, "candidates") {
		w.candidates = append(w.candidates, &simulated{
			candidate: candidate{self: Identity{Name: fmt.Sprint("entry-", n/2), Incarnation: fmt.Sprint(n)}, timing: DefaultTiming()},
			rate:      rapid.Float64Range(slowestRate, fastestRate).Draw(t, "rate"),
			offset:    time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "offset")),
		})
	}
	return w
}

// local returns the candidate's reading of its own clock.
func (w *world) local(c *simulated) time.Time {
	return time.Unix(0, 0).Add(c.offset + time.Duration(float64(w.now)*c.rate))
}

// arrive lets a write take effect, or not.
func (w *world) arrive(write *simulatedWrite) {
	write.arrived, write.conflict = true, write.expect != w.version
	if !write.conflict {
		w.version++
		w.stored, write.version = write.value, w.version
	}
}

// step lets one thing happen to candidate c.
func (w *world) step(c *simulated) {
	switch {
	case c.write != nil && !c.write.arrived:
		w.travel(c)
	case c.write != nil:
		w.answer(c)
	case c.read != nil:
		c.observe(c.read.version, c.read.value, w.local(c))
		c.read = nil
		w.maybeWrite(c)
	case !c.mustRead():
		w.maybeWrite(c)
	default:
		c.read = &simulatedRead{w.version, w.stored}
	}
}

func (w *world) travel(c *simulated) {
	switch rapid.SampledFrom([]string{"arrives", "dropped", "late"}).Draw(w.t, "write") {
	case "arrives":
		w.arrive(c.write)
	case "late":
		w.late = append(w.late, c.write)
		c.write = nil
	case "dropped":
		c.write = nil
	}
}

func (w *world) answer(c *simulated) {
	if lost := rapid.Bool().Draw(w.t, "answer lost"); !lost && !c.write.conflict {
		c.written(c.write.version, w.local(c))
	}
	c.write = nil
}

func (w *world) maybeWrite(c *simulated) {
	value, due := c.next(w.local(c))
	if !due {
		return
	}
	c.sending(value, w.local(c))
	c.write = &simulatedWrite{expect: c.seen, value: value}
}

// holders returns the candidates that believe to hold the role now.
func (w *world) holders() []*simulated {
	var found []*simulated
	for _, c := range w.candidates {
		g := Grant{Epoch: c.value.Epoch, Until: c.until}
		if !c.until.IsZero() && g.Valid(w.local(c), 0) {
			found = append(found, c)
		}
	}
	return found
}

func (w *world) check(epochs map[int64]Identity) {
	holders := w.holders()
	if len(holders) > 1 {
		w.t.Fatalf("two valid grants at %v: %+v and %+v", w.now, holders[0].candidate, holders[1].candidate)
	}
	for _, c := range holders {
		if first, known := epochs[c.value.Epoch]; known && first != c.self {
			w.t.Fatalf("epoch %d was held by %v and %v", c.value.Epoch, first, c.self)
		}
		epochs[c.value.Epoch] = c.self
	}
}

var _ = Describe("Candidates", func() {
	It("never hold two valid grants at once, whatever is lost, late or drifting", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w, epochs := newWorld(t), map[int64]Identity{}
			for range rapid.IntRange(50, 400).Draw(t, "steps") {
				w.now += time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(t, "pause"))
				w.check(epochs)
				if len(w.late) > 0 && rapid.Bool().Draw(t, "late write arrives") {
					w.arrive(w.late[0])
					w.late = w.late[1:]
				} else {
					w.step(rapid.SampledFrom(w.candidates).Draw(t, "candidate"))
				}
				w.check(epochs)
			}
		})
	})
})
