package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/upstream"
)

var now = time.Unix(1000, 0)

func candidates(count int) []Candidate {
	var list []Candidate
	for n := range count {
		list = append(list, Candidate{Upstream: upstream.Upstream{Member: objects.Member{Name: fmt.Sprintf("u%03d", n), Domain: "a"}}, Slots: 4})
	}
	return list
}

func newSet(list []Candidate) *Set {
	s := NewSet(Default(), rand.New(rand.NewPCG(1, 1)))
	s.Replace(list)
	return s
}

func TestDefaultChooserPreferences(t *testing.T) {
	base := candidates(1)[0]
	for _, test := range []struct {
		name    string
		request Request
		better  func(*Candidate)
	}{
		{"own failure domain", Request{Domain: "b"}, func(c *Candidate) { c.Domain = "b" }},
		{"fewer in flight", Request{Domain: "a"}, func(c *Candidate) { c.Slots = 8 }},
		{"held prefix", Request{Domain: "a", Prefix: 1}, func(c *Candidate) { c.HoldsPrefix = true }},
		{"cheap upstream for drafts", Request{Domain: "a", Class: contract.ClassDraft}, func(c *Candidate) { c.Cost = objects.CostCheap }},
		{"lower reported load", Request{Domain: "a"}, func(c *Candidate) { c.Capacity = 4 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			list := []Candidate{base, base}
			list[0].InFlight, list[1].InFlight = 1, 1
			list[1].Name = "better"
			test.better(&list[1])
			gomega.NewWithT(t).Expect(Default().Choose(test.request, list).Name).To(gomega.Equal("better"))
		})
	}
}

func TestDeskRequestsPreferExpensiveUpstreams(t *testing.T) {
	list := candidates(2)
	list[0].Cost, list[1].Cost = objects.CostCheap, objects.CostDear
	gomega.NewWithT(t).Expect(Default().Choose(Request{Domain: "a", Class: contract.ClassDesk}, list).Name).To(gomega.Equal("u001"))
}

func TestPrefixSpreadsOverUpstreamsUnderLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSet(candidates(100))
	used := map[string]int{}
	for range 12 {
		name := s.Choose(Request{Domain: "a", Prefix: 7}).Name
		s.Acquire(name, 7)
		used[name]++
	}
	g.Expect(len(used)).To(gomega.BeNumerically("<=", 6), "the prefix stays on few upstreams")
	g.Expect(len(used)).To(gomega.BeNumerically(">=", 3), "no upstream exceeds its slots")
}

func TestSetNeverExceedsItsSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSet(candidates(30))
	taken := 0
	for c := s.Choose(Request{}); c != nil; c = s.Choose(Request{}) {
		s.Acquire(c.Name, 0)
		taken++
	}
	g.Expect(taken).To(gomega.Equal(120))
	s.Release("u005")
	g.Expect(s.Choose(Request{}).Name).To(gomega.Equal("u005"))
}

func TestEjectionKeepsHalfInUseAndReadmitsGradually(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSet(candidates(4))
	for range ejectAfterFailures {
		for n := range 4 {
			s.Observe(fmt.Sprintf("u%03d", n), Observation{Failed: true}, now)
		}
	}
	g.Expect(s.Ejected()).To(gomega.Equal(2), "half of the upstreams stay in use")
	s.Readmit(now.Add(minEjection - time.Millisecond))
	g.Expect(s.Ejected()).To(gomega.Equal(2))
	s.Readmit(now.Add(minEjection))
	g.Expect(s.Ejected()).To(gomega.BeZero())
	s.Acquire("u000", 0)
	g.Expect(s.freePosition[0]).To(gomega.Equal(-1), "a readmitted upstream runs one request at first")
	s.Observe("u000", Observation{FirstToken: time.Second}, now)
	g.Expect(s.freePosition[0]).NotTo(gomega.Equal(-1), "a successful attempt raises the limit to two")
}

func TestSlowUpstreamIsEjected(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSet(candidates(4))
	for range 3 * medianInterval {
		for n := range 4 {
			took := 100 * time.Millisecond
			if n == 2 {
				took = time.Second
			}
			s.Observe(fmt.Sprintf("u%03d", n), Observation{FirstToken: took}, now)
		}
	}
	g.Expect(s.Ejected()).To(gomega.Equal(1))
	g.Expect(s.isEjected("u002")).To(gomega.BeTrue())
}

func TestPrefixIndexEvictsTheOldest(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPrefixIndex()
	for n := range uint64(maxPrefixes + 10) {
		p.record(n+1, "u")
	}
	g.Expect(p.holdersOf(1)).To(gomega.BeEmpty())
	g.Expect(p.holdersOf(maxPrefixes + 10)).To(gomega.Equal([]string{"u"}))
	for _, name := range []string{"a", "b", "c", "d"} {
		p.record(5, name)
	}
	g.Expect(p.holdersOf(5)).To(gomega.Equal([]string{"d", "c", "b"}))
}
