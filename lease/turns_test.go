package lease

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pomelocross/pomelocross/internal/memstore"
)

// turnBound is the time within which the role must not move to another machine and back.
// It is less than the wait of a candidate by the fastest simulated clock.
const turnBound = 10 * time.Second

// turns records the acts of the holders, by name of the machine.
type turns struct {
	lastAct    map[string]time.Duration // last act of each machine
	beforeTurn map[string]time.Duration // last act that was followed by an act of another machine
}

func newTurns() *turns {
	return &turns{lastAct: map[string]time.Duration{}, beforeTurn: map[string]time.Duration{}}
}

// act records an act of a machine. It returns an error if another machine has acted since
// an act of this machine within turnBound.
func (o *turns) act(name string, now time.Duration) error {
	for other, at := range o.lastAct {
		if other != name {
			o.beforeTurn[other] = at
		}
	}
	o.lastAct[name] = now
	if at, found := o.beforeTurn[name]; found && now-at < turnBound {
		return fmt.Errorf("%s acted at %v, then another machine, then %s at %v", name, at, name, now)
	}
	return nil
}

// stop releases the role of a candidate, whose process is then replaced by a new one on the
// same machine. The write of the release can be lost or late.
func (s *simulation) stop(c *simulatedCandidate, incarnation int) {
	if value, held := c.release(s.localTime(c)); held {
		write := &simulatedWrite{expect: c.version, value: value}
		switch rapid.SampledFrom([]string{"arrives", "dropped", "late"}).Draw(s.t, "release") {
		case "arrives":
			s.apply(write)
		case "late":
			s.delayed = append(s.delayed, write)
		}
	}
	if c.write != nil && !c.write.applied {
		s.delayed = append(s.delayed, c.write)
	}
	*c = simulatedCandidate{
		candidate: candidate{self: Identity{Name: c.self.Name, Incarnation: fmt.Sprint("restarted-", incarnation)}, timing: c.timing},
		clockRate: c.clockRate, clockOffset: c.clockOffset,
	}
}

var _ = Describe("Machines that hold a role in turn", func() {
	// A role that moves to another machine and back within the bound counts as two holders
	// at once where the platform doesn't check fencing numbers.
	It("never act in turn and back within the bound, despite stops, lost and late writes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s, acts, epochs := newSimulation(t), newTurns(), map[int64]Identity{}
			for n := range rapid.IntRange(50, 400).Draw(t, "steps") {
				s.now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause"))
				c := rapid.SampledFrom(s.candidates).Draw(t, "candidate")
				switch {
				case len(s.delayed) > 0 && rapid.Bool().Draw(t, "late write arrives"):
					s.apply(s.delayed[0])
					s.delayed = s.delayed[1:]
				case rapid.IntRange(0, 9).Draw(t, "stop") == 0:
					s.stop(c, n)
				default:
					s.step(c)
				}
				s.check(epochs)
				for _, holder := range s.holders() {
					if err := acts.act(holder.self.Name, s.now); err != nil {
						t.Fatal(err)
					}
				}
			}
		})
	})

	var (
		store   *memstore.Store
		clock   *clockwork.FakeClock
		attempt func(k *Keeper) bool
		start   func(name string) *Keeper
	)

	BeforeEach(func() {
		store, clock = memstore.New(), clockwork.NewFakeClock()
		start = func(name string) *Keeper { return NewKeeper("role", name, store, clock, DefaultTiming()) }
		attempt = func(k *Keeper) bool {
			Expect(k.Attempt(context.Background())).To(Succeed())
			_, held := k.Grant(0)
			return held
		}
	})

	// Two instances that were stopped one after the other gave the role to each other within
	// a second.
	It("wait for the bound after stops in turn, unless a third machine takes the role", func(ctx SpecContext) {
		a, b := start("a"), start("b")
		Expect(attempt(a)).To(BeTrue())
		Expect(a.Release(ctx)).To(Succeed())
		Expect(attempt(b)).To(BeTrue(), "the first to take over need not wait")
		Expect(b.Release(ctx)).To(Succeed())
		restarted, third := start("a"), start("c")
		Expect(attempt(restarted)).To(BeFalse())
		clock.Advance(DefaultTerm + DefaultMargin - time.Nanosecond)
		Expect(attempt(restarted)).To(BeFalse())
		Expect(attempt(third)).To(BeTrue())
		Expect(third.Release(ctx)).To(Succeed())
		Expect(attempt(restarted)).To(BeFalse(), "its wait starts with the last holder's release")
		clock.Advance(DefaultTerm + DefaultMargin)
		Expect(attempt(restarted)).To(BeTrue())
	})

	It("need not wait after a holder that has held the role for longer than the bound", func(ctx SpecContext) {
		a, b := start("a"), start("b")
		Expect(attempt(a)).To(BeTrue())
		Expect(a.Release(ctx)).To(Succeed())
		for range 6 {
			Expect(attempt(b)).To(BeTrue())
			clock.Advance(DefaultRenew)
		}
		Expect(b.Release(ctx)).To(Succeed())
		Expect(attempt(start("a"))).To(BeTrue())
	})

	It("need not wait when the last holder itself has restarted", func(ctx SpecContext) {
		a := start("a")
		Expect(attempt(a)).To(BeTrue())
		Expect(a.Release(ctx)).To(Succeed())
		Expect(attempt(start("a"))).To(BeTrue())
	})

	// The lease of an instance that was killed expired, and the next holder stopped at once.
	It("wait for the bound after a takeover of an expired lease and a stop", func(ctx SpecContext) {
		a, b := start("a"), start("b")
		Expect(attempt(a)).To(BeTrue())
		Expect(attempt(b)).To(BeFalse())
		clock.Advance(DefaultTerm + DefaultMargin)
		Expect(attempt(b)).To(BeTrue())
		Expect(b.Release(ctx)).To(Succeed())
		Expect(attempt(start("a"))).To(BeFalse())
	})

	// A stopping instance took the role that it had just released again, since it renews
	// leases until its end. It sent no orders, so the role was vacant until the lease expired.
	It("do not take back a role that they have released", func(ctx SpecContext) {
		a, b := start("a"), start("b")
		Expect(attempt(a)).To(BeTrue())
		Expect(a.Retire(ctx)).To(Succeed())
		for range 3 {
			clock.Advance(DefaultRenew)
			Expect(attempt(a)).To(BeFalse())
		}
		Expect(attempt(b)).To(BeTrue())
	})
})
