package notice

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/objects"
)

var _ = Describe("Freshness", func() {
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

	DescribeTable("is complete until the last sync or an outage confirmed by a majority of domains", func(syncedAt int, failedAt map[string]int, completeUntil int) {
		var f Freshness
		f.RecordSync(at(syncedAt))
		for name, seconds := range failedAt {
			f.RecordFailure(name, at(seconds))
		}
		Expect(f.CompleteUntil([]string{"a", "b", "c", "d"})).To(Equal(at(completeUntil)))
	},
		Entry("sync only", 10, nil, 10),
		Entry("one domain fails to reach the platform", 10, map[string]int{"a": 60}, 10),
		Entry("half of the domains fail to reach the platform", 10, map[string]int{"a": 60, "b": 60}, 10),
		Entry("a majority of domains fails to reach the platform", 10, map[string]int{"a": 60, "b": 58, "c": 55}, 55),
		Entry("sync after the outage", 70, map[string]int{"a": 60, "b": 58, "c": 55}, 70),
		Entry("failure in an undeclared domain", 10, map[string]int{"a": 60, "b": 58, "x": 55}, 10),
	)
})

var _ = Describe("The forwarding topology", func() {
	view := func(count, domains int, self int) *domain.View {
		var members []objects.Member
		for n := range count {
			members = append(members, objects.Member{Name: fmt.Sprintf("entry-%03d", n), Role: objects.RoleEntry, Domain: fmt.Sprintf("domain-%02d", n%domains)})
		}
		return domain.NewView(members[self], members)
	}

	DescribeTable("reaches each member of a domain once from its watchers", func(count int) {
		reached := map[string]int{}
		for self := range count {
			for _, m := range pushTargets(view(count, 1, self), false) {
				reached[m.Name]++
			}
		}
		Expect(reached).To(HaveLen(max(0, count-watcherCount)))
		for _, times := range reached {
			Expect(times).To(Equal(1))
		}
	}, Entry("1", 1), Entry("2", 2), Entry("3", 3), Entry("28", 28), Entry("100", 100))

	It("contacts every other domain in turn while its data is stale", func() {
		v := view(330, 12, 0)
		contacted := map[string]bool{}
		for round := range 4 {
			for _, m := range exchangePeers(v, round, true) {
				contacted[m.Domain] = true
			}
		}
		Expect(contacted).To(HaveLen(12))
	})
})
