package slots

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// The fixed seed makes the property tests draw the same cases in every run.
var _ = flag.Set("rapid.seed", "1")

var timing = TimingFor(6 * time.Second)

// cluster simulates several members and one allocator at a time. Answers may be lost
// or delayed.
type cluster struct {
	now       time.Time
	names     []string
	engines   []Engine
	allocator *Allocator
	epoch     int64
	members   map[string]*Member
	inFlight  map[string]Shares // requests in flight by member
}

func newCluster(members, engines, slots int) *cluster {
	c := &cluster{now: time.Unix(1000, 0), members: map[string]*Member{}, inFlight: map[string]Shares{}}
	for n := range engines {
		c.engines = append(c.engines, Engine{Name: fmt.Sprintf("e%02d", n), Slots: slots})
	}
	for n := range members {
		name := fmt.Sprintf("m%02d", n)
		c.names = append(c.names, name)
		c.members[name] = NewMember(timing, c.now)
		c.inFlight[name] = Shares{}
	}
	c.startAllocator()
	return c
}

func (c *cluster) startAllocator() {
	c.epoch++
	c.allocator = NewAllocator(timing, c.epoch)
	c.allocator.SetMembers(c.names, c.engines, c.now)
}

// usable returns the shares a member may use now.
func (c *cluster) usable(name string) Shares {
	for index, n := range c.names {
		if n == name {
			shares, _ := c.members[name].Shares(c.now, FixedShares(c.engines, index, len(c.names)))
			return shares
		}
	}
	return nil
}

// report sends a member's report. The answer arrives after delay, or not at all if
// lost is set.
func (c *cluster) report(name string, demand int, delay time.Duration, lost bool) {
	m := c.members[name]
	sent := c.now
	a := c.allocator.HandleReport(Report{Member: name, Applied: m.Applied(), Demand: demand}, sent)
	if !lost {
		m.HandleAnswer(a, sent, sent.Add(delay))
	}
}

func (c *cluster) totalUsable() Shares {
	sum := Shares{}
	for _, name := range c.names {
		for engine, n := range c.usable(name) {
			sum[engine] += n
		}
	}
	if other := c.members["other"]; other != nil {
		borrowed, _ := other.Shares(c.now, nil)
		for engine, n := range borrowed {
			sum[engine] += n
		}
	}
	return sum
}

func TestSharesNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(1, 5).Draw(t, "members"), rapid.IntRange(1, 4).Draw(t, "engines"), rapid.IntRange(1, 9).Draw(t, "slots"))
		c.members["other"] = NewMember(timing, c.now)
		senders := append([]string{"other"}, c.names...)
		lostReports := map[string]int{} // remaining reports that are lost, by member
		startedAt := c.now
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			c.now = c.now.Add(time.Duration(rapid.IntRange(50, 700).Draw(t, "pause")) * time.Millisecond)
			name := rapid.SampledFrom(senders).Draw(t, "member")
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0:
				lostReports[name] = rapid.IntRange(1, 20).Draw(t, "cut")
			case 1:
				if c.now.Sub(startedAt) > 2*timing.FallbackAfter() {
					c.now = c.now.Add(timing.Term) // the role holder grants nothing in the last term of its lease
					c.startAllocator()
					startedAt = c.now
				}
			default:
				if lostReports[name]--; lostReports[name] > 0 {
					c.report(name, 9, 0, true)
					break
				}
				delay := time.Duration(rapid.IntRange(0, 600).Draw(t, "delay")) * time.Millisecond
				c.report(name, rapid.IntRange(0, 40).Draw(t, "demand"), delay, rapid.IntRange(0, 5).Draw(t, "lost") == 0)
			}
			for engine, n := range c.totalUsable() {
				if n > c.engines[0].Slots {
					t.Fatalf("%s: %d slots in use of %d", engine, n, c.engines[0].Slots)
				}
			}
		}
	})
}

func TestSharesFollowDemand(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(4, 3, 16)
	for range 8 {
		c.now = c.now.Add(timing.Interval)
		for n, name := range c.names {
			c.report(name, []int{100, 2, 2, 2}[n], 0, false)
		}
	}
	g.Expect(c.usable("m00").Total()).To(Equal(39))
	g.Expect(c.usable("m01").Total()).To(Equal(3))
}

func TestBorrowersGetSlotsWithoutLocalDemand(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(2, 3, 16)
	c.members["other"] = NewMember(timing, c.now)
	step := func(count, local int) {
		for range count {
			c.now = c.now.Add(timing.Interval)
			c.report("m00", local, 0, false)
			c.report("m01", 0, 0, false)
			c.report("other", 100, 0, false)
		}
	}
	step(6, 4)
	borrowed, _ := c.members["other"].Shares(c.now, nil)
	g.Expect(borrowed.Total()).To(Equal(18))
	step(6, 100)
	borrowed, _ = c.members["other"].Shares(c.now, nil)
	g.Expect(borrowed.Total()).To(BeZero(), "members of the domain take precedence over borrowers")
	g.Expect(c.usable("m00").Total()).To(Equal(42))
}

func TestShareOfRemovedMemberIsFreedAfterItsTerm(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(2, 1, 16)
	step := func(names ...string) {
		c.now = c.now.Add(timing.Interval)
		for _, name := range names {
			c.report(name, 100, 0, false)
		}
	}
	for range 6 {
		step("m00", "m01")
	}
	g.Expect(c.usable("m00").Total()).To(Equal(8))
	c.allocator.SetMembers([]string{"m00"}, c.engines, c.now)
	step("m00")
	g.Expect(c.usable("m00").Total()).To(Equal(8), "the removed member's share stays reserved until its term ends")
	for range timing.Term/timing.Interval + 1 {
		step("m00")
		c.allocator.SetMembers([]string{"m00"}, c.engines, c.now)
	}
	g.Expect(c.usable("m00").Total()).To(Equal(16))
}

func TestFixedSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 40).Draw(t, "members")
		engines := []Engine{{Name: rapid.String().Draw(t, "name"), Slots: rapid.IntRange(0, 64).Draw(t, "slots")}}
		sum := 0
		for index := range members {
			sum += FixedShares(engines, index, members).Total()
		}
		if sum != engines[0].Slots {
			t.Fatalf("%d of %d", sum, engines[0].Slots)
		}
	})
}

func BenchmarkReport(b *testing.B) {
	for _, size := range []struct{ members, engines int }{{2, 3}, {28, 53}} {
		b.Run(fmt.Sprintf("members=%d/engines=%d", size.members, size.engines), func(b *testing.B) {
			c := newCluster(size.members, size.engines, 16)
			for n := 0; b.Loop(); n++ {
				c.now = c.now.Add(timing.Interval / time.Duration(size.members))
				c.report(c.names[n%len(c.names)], 40, 0, false)
			}
		})
	}
}
