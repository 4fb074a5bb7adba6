package probe

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/upstream"
)

func TestProbe(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Probe")
}

func named(prefix string, n int) []objects.Member {
	members := make([]objects.Member, n)
	for i := range members {
		members[i].Name = fmt.Sprint(prefix, i)
	}
	return members
}

var _ = Describe("Probing", func() {
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

	It("asks each upstream from two instances, and shares the work", func() {
		peers, upstreams := named("entry-", 27), named("lm-", 53)
		asked, most := map[string]int{}, 0
		for _, p := range peers {
			assigned := Assigned(p.Name, peers, upstreams)
			most = max(most, len(assigned))
			for _, u := range assigned {
				asked[u.Name]++
			}
		}
		Expect(asked).To(HaveLen(53))
		Expect(asked).To(HaveEach(ProbersEach))
		Expect(most).To(BeNumerically("<", 53/3))
	})

	It("leaves an upstream to others when a prober dies", func() {
		peers, upstreams := named("entry-", 3), named("lm-", 20)
		for _, u := range upstreams {
			probers := 0
			for _, p := range peers[1:] {
				probers += len(Assigned(p.Name, peers[1:], []objects.Member{u}))
			}
			Expect(probers).To(Equal(ProbersEach))
		}
	})

	It("tells a change of weights at once and of load at the next repetition", func() {
		b := NewLoadTable()
		load := upstream.Load{Running: 1, WeightVersion: 1}
		own := func(after time.Duration) []Reading {
			return b.UpdateOwn(map[string]upstream.Load{"lm": load}, start.Add(after))
		}
		Expect(own(0)).To(HaveLen(1))
		load.Running = 9
		Expect(own(time.Second)).To(BeEmpty())
		load.WeightVersion = 2
		Expect(own(time.Second)).To(HaveLen(1))
		Expect(own(time.Second + Repeat)).To(HaveLen(1))
	})

	It("forgets readings that nobody repeats", func() {
		b := NewLoadTable()
		b.Merge(Batch{Readings: []Reading{{"lm", upstream.Load{WeightVersion: 3}}}}, start)
		Expect(b.Loads(start.Add(Lifetime))).To(HaveLen(1))
		Expect(b.Loads(start.Add(Lifetime + 1))).To(BeEmpty())
	})
})
