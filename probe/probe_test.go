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

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Probe")
}

func newMembers(prefix string, n int) []objects.Member {
	members := make([]objects.Member, n)
	for i := range members {
		members[i].Name = fmt.Sprint(prefix, i)
	}
	return members
}

var _ = Describe("Probing", func() {
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

	It("assigns each upstream to two instances and spreads the assignments over all", func() {
		peers, upstreams := newMembers("entry-", 27), newMembers("lm-", 53)
		proberCount, maxAssigned := map[string]int{}, 0
		for _, p := range peers {
			assigned := Assigned(p.Name, peers, upstreams)
			maxAssigned = max(maxAssigned, len(assigned))
			for _, u := range assigned {
				proberCount[u.Name]++
			}
		}
		Expect(proberCount).To(HaveLen(53))
		Expect(proberCount).To(HaveEach(ProbersPerUpstream))
		Expect(maxAssigned).To(BeNumerically("<", 53/3))
	})

	It("reassigns an upstream when one of its probers fails", func() {
		peers, upstreams := newMembers("entry-", 3), newMembers("lm-", 20)
		for _, u := range upstreams {
			probers := 0
			for _, p := range peers[1:] {
				probers += len(Assigned(p.Name, peers[1:], []objects.Member{u}))
			}
			Expect(probers).To(Equal(ProbersPerUpstream))
		}
	})

	It("sends a changed weight version at once and a changed load after RepeatInterval", func() {
		table := NewLoadTable()
		load := upstream.Load{Running: 1, WeightVersion: 1}
		updateOwn := func(after time.Duration) []Reading {
			return table.UpdateOwn(map[string]upstream.Load{"lm": load}, start.Add(after))
		}
		Expect(updateOwn(0)).To(HaveLen(1))
		load.Running = 9
		Expect(updateOwn(time.Second)).To(BeEmpty())
		load.WeightVersion = 2
		Expect(updateOwn(time.Second)).To(HaveLen(1))
		Expect(updateOwn(time.Second + RepeatInterval)).To(HaveLen(1))
	})

	It("discards readings older than MaxAge", func() {
		table := NewLoadTable()
		table.Merge(Batch{Readings: []Reading{{"lm", upstream.Load{WeightVersion: 3}}}}, start)
		Expect(table.Loads(start.Add(MaxAge))).To(HaveLen(1))
		Expect(table.Loads(start.Add(MaxAge + 1))).To(BeEmpty())
	})
})
