package slots

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// The property test draws the same cases in every run.
var _ = flag.Set("rapid.seed", "1")

var timing = TimingFor(6 * time.Second)

// world is one holder at a time and some members with calls that may be lost.
type world struct {
	now     time.Time
	names   []string
	engines []Engine
	holder  *Allocator
	epoch   int64
	members map[string]*Member
	flying  map[string]Shares // what each member runs
}

func newWorld(members, engines, slots int) *world {
	w := &world{now: time.Unix(1000, 0), members: map[string]*Member{}, flying: map[string]Shares{}}
	for n := range engines {
		w.engines = append(w.engines, Engine{Name: fmt.Sprintf("e%02d", n), Slots: slots})
	}
	for n := range members {
		name := fmt.Sprintf("m%02d", n)
		w.names = append(w.names, name)
		w.members[name] = NewMember(timing, w.now)
		w.flying[name] = Shares{}
	}
	w.elect()
	return w
}

func (w *world) elect() {
	w.epoch++
	w.holder = NewAllocator(timing, w.epoch)
	w.holder.SetMembers(w.names, w.engines, w.now)
}

// usable returns what a member may use now.
func (w *world) usable(name string) Shares {
	for place, n := range w.names {
		if n == name {
			shares, _ := w.members[name].Shares(w.now, FixedShares(w.engines, place, len(w.names)))
			return shares
		}
	}
	return nil
}

// report sends a member's report; the answer comes after delay, or never.
func (w *world) report(name string, demand int, delay time.Duration, lost bool) {
	m := w.members[name]
	sent := w.now
	a := w.holder.HandleReport(Report{Member: name, Applied: m.Applied(), Demand: demand}, sent)
	if !lost {
		m.HandleAnswer(a, sent, sent.Add(delay))
	}
}

func (w *world) used() Shares {
	sum := Shares{}
	for _, name := range w.names {
		for engine, n := range w.usable(name) {
			sum[engine] += n
		}
	}
	if other := w.members["other"]; other != nil {
		borrowed, _ := other.Shares(w.now, nil)
		for engine, n := range borrowed {
			sum[engine] += n
		}
	}
	return sum
}

func TestSharesNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 5).Draw(t, "members"), rapid.IntRange(1, 4).Draw(t, "engines"), rapid.IntRange(1, 9).Draw(t, "slots"))
		w.members["other"] = NewMember(timing, w.now)
		senders := append([]string{"other"}, w.names...)
		cut := map[string]int{} // reports that a member's cut still lasts
		elected := w.now
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(50, 700).Draw(t, "pause")) * time.Millisecond)
			name := rapid.SampledFrom(senders).Draw(t, "member")
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0:
				cut[name] = rapid.IntRange(1, 20).Draw(t, "cut")
			case 1:
				if w.now.Sub(elected) > 2*timing.FallbackAfter() {
					w.now = w.now.Add(timing.Term) // a holder grants nothing in the last term of its lease
					w.elect()
					elected = w.now
				}
			default:
				if cut[name]--; cut[name] > 0 {
					w.report(name, 9, 0, true)
					break
				}
				delay := time.Duration(rapid.IntRange(0, 600).Draw(t, "delay")) * time.Millisecond
				w.report(name, rapid.IntRange(0, 40).Draw(t, "demand"), delay, rapid.IntRange(0, 5).Draw(t, "lost") == 0)
			}
			for engine, n := range w.used() {
				if n > w.engines[0].Slots {
					t.Fatalf("%s: %d slots in use of %d", engine, n, w.engines[0].Slots)
				}
			}
		}
	})
}

func TestSharesFollowDemand(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(4, 3, 16)
	for range 8 {
		w.now = w.now.Add(timing.Interval)
		for n, name := range w.names {
			w.report(name, []int{100, 2, 2, 2}[n], 0, false)
		}
	}
	g.Expect(w.usable("m00").Total()).To(Equal(39))
	g.Expect(w.usable("m01").Total()).To(Equal(3))
}

func TestBorrowersGetWhatIsNotDemanded(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(2, 3, 16)
	w.members["other"] = NewMember(timing, w.now)
	step := func(count, local int) {
		for range count {
			w.now = w.now.Add(timing.Interval)
			w.report("m00", local, 0, false)
			w.report("m01", 0, 0, false)
			w.report("other", 100, 0, false)
		}
	}
	step(6, 4)
	borrowed, _ := w.members["other"].Shares(w.now, nil)
	g.Expect(borrowed.Total()).To(Equal(18))
	step(6, 100)
	borrowed, _ = w.members["other"].Shares(w.now, nil)
	g.Expect(borrowed.Total()).To(BeZero(), "members of the domain come first")
	g.Expect(w.usable("m00").Total()).To(Equal(42))
}

func TestDeadMembersShareReturnsAfterItsTerm(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(2, 1, 16)
	step := func(names ...string) {
		w.now = w.now.Add(timing.Interval)
		for _, name := range names {
			w.report(name, 100, 0, false)
		}
	}
	for range 6 {
		step("m00", "m01")
	}
	g.Expect(w.usable("m00").Total()).To(Equal(8))
	w.holder.SetMembers([]string{"m00"}, w.engines, w.now)
	step("m00")
	g.Expect(w.usable("m00").Total()).To(Equal(8), "before the term ends")
	for range timing.Term/timing.Interval + 1 {
		step("m00")
		w.holder.SetMembers([]string{"m00"}, w.engines, w.now)
	}
	g.Expect(w.usable("m00").Total()).To(Equal(16))
}

func TestFixedSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 40).Draw(t, "members")
		engines := []Engine{{Name: rapid.String().Draw(t, "name"), Slots: rapid.IntRange(0, 64).Draw(t, "slots")}}
		sum := 0
		for place := range members {
			sum += FixedShares(engines, place, members).Total()
		}
		if sum != engines[0].Slots {
			t.Fatalf("%d of %d", sum, engines[0].Slots)
		}
	})
}

func BenchmarkReport(b *testing.B) {
	for _, size := range []struct{ members, engines int }{{2, 3}, {28, 53}} {
		b.Run(fmt.Sprintf("members=%d/engines=%d", size.members, size.engines), func(b *testing.B) {
			w := newWorld(size.members, size.engines, 16)
			for n := 0; b.Loop(); n++ {
				w.now = w.now.Add(timing.Interval / time.Duration(size.members))
				w.report(w.names[n%len(w.names)], 40, 0, false)
			}
		})
	}
}
