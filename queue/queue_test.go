package queue

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/route"
	"github.com/pomelocross/pomelocross/upstream"
)

var startTime = time.Unix(1000, 0)

func makeUpstreams(count, slots int) []Upstream {
	var list []Upstream
	for n := range count {
		list = append(list, Upstream{Upstream: upstream.Upstream{Member: objects.Member{Name: fmt.Sprintf("u%03d", n)}}, Slots: slots})
	}
	return list
}

func newScheduler(order Order, upstreams []Upstream) *Scheduler {
	s := NewScheduler(order, route.Default(), rand.New(rand.NewPCG(1, 1)))
	s.Update(upstreams, startTime)
	return s
}

func (s *Scheduler) mustEnqueue(t Ticket) *Item {
	item, err := s.Enqueue(t, startTime)
	Expect(err).NotTo(HaveOccurred())
	return item
}

// grantAndRelease grants and releases up to count requests one after another at the
// actual cost returned by cost. It returns the tokens by team and the grants by class.
func grantAndRelease(s *Scheduler, count int, cost func(*Item) int64) (map[string]int64, map[contract.Class]int) {
	tokens, classes := map[string]int64{}, map[contract.Class]int{}
	for range count {
		item, _ := s.Next(startTime)
		if item == nil {
			break
		}
		tokens[item.ticket.Team] += cost(item)
		classes[item.ticket.Class]++
		s.Release(item, cost(item), startTime)
	}
	return tokens, classes
}

func expectedCost(item *Item) int64 { return item.ticket.Cost }

var _ = Describe("Order", func() {
	It("shares tokens among teams by weight, regardless of the cost of their requests", func() {
		s := newScheduler(Fair, makeUpstreams(1, 1))
		for range 3000 {
			s.mustEnqueue(Ticket{Team: "large", Weight: 3, Class: contract.ClassDraft, Cost: 100})
			s.mustEnqueue(Ticket{Team: "small", Weight: 1, Class: contract.ClassDraft, Cost: 10})
		}
		tokens, _ := grantAndRelease(s, 1500, expectedCost)
		Expect(float64(tokens["large"]) / float64(tokens["small"])).To(BeNumerically("~", 3, 0.1))
	})

	It("charges the actual cost of a request after its release", func() {
		s := newScheduler(Fair, makeUpstreams(1, 1))
		for range 2000 {
			s.mustEnqueue(Ticket{Team: "long", Weight: 1, Class: contract.ClassDraft, Cost: 100})
			s.mustEnqueue(Ticket{Team: "short", Weight: 1, Class: contract.ClassDraft, Cost: 100})
		}
		tokens, _ := grantAndRelease(s, 1000, func(item *Item) int64 {
			if item.ticket.Team == "short" {
				return 20
			}
			return 100
		})
		Expect(float64(tokens["long"]) / float64(tokens["short"])).To(BeNumerically("~", 1, 0.05))
	})

	It("serves urgent classes first without starving the others", func() {
		s := newScheduler(Fair, makeUpstreams(1, 1))
		for _, class := range []contract.Class{contract.ClassDraft, contract.ClassRollout, contract.ClassDesk} {
			for range 2000 {
				s.mustEnqueue(Ticket{Team: "a", Weight: 1, Class: class, Cost: 10})
			}
		}
		_, classes := grantAndRelease(s, 1000, expectedCost)
		Expect(classes[contract.ClassDesk]).To(BeNumerically(">", 800))
		Expect(classes[contract.ClassRollout]).To(BeNumerically(">=", 50))
		Expect(classes[contract.ClassDraft]).To(BeNumerically(">=", 20))
	})

	It("skips requests that no free upstream can take", func() {
		s := newScheduler(Fair, makeUpstreams(2, 1))
		s.mustEnqueue(Ticket{Team: "a", Class: contract.ClassDraft, Route: route.Request{MinWeightVersion: 7}})
		s.mustEnqueue(Ticket{Team: "a", Class: contract.ClassDraft, Route: route.Request{Exclude: []string{"u000"}}})
		item, u := s.Next(startTime)
		Expect(item).NotTo(BeNil())
		Expect(u.Name).To(Equal("u001"))
		item, _ = s.Next(startTime)
		Expect(item).To(BeNil())
	})

	It("drops the state of idle teams", func() {
		s := newScheduler(Fair, makeUpstreams(1, 1))
		for n := range 3 * sweepInterval {
			s.mustEnqueue(Ticket{Team: fmt.Sprint("team", n), Class: contract.ClassDraft, Cost: 10})
			grantAndRelease(s, 1, expectedCost)
		}
		Expect(s.classes[2].teams).To(BeEmpty())
	})
})

var _ = Describe("Rejection", func() {
	It("limits a single team to half of the queue and accepts requests of other teams", func() {
		s := newScheduler(Fair, makeUpstreams(1, 0))
		var err error
		for err == nil {
			_, err = s.Enqueue(Ticket{Team: "flood", Class: contract.ClassDraft}, startTime)
		}
		Expect(errors.Is(err, ErrFull)).To(BeTrue())
		Expect(s.waiting).To(Equal(MaxWaiting / 2))
		for range MaxWaiting / 4 {
			s.mustEnqueue(Ticket{Team: "other", Class: contract.ClassDraft})
		}
	})

	It("rejects a request that would start after its deadline, with a retry delay", func() {
		s := newScheduler(Fair, makeUpstreams(1, 1))
		for range minHoldSamples {
			item := s.mustEnqueue(Ticket{Team: "a", Class: contract.ClassDraft, Cost: 100})
			s.Next(startTime)
			s.Release(item, 100, startTime.Add(time.Second))
		}
		for range 10 {
			s.mustEnqueue(Ticket{Team: "a", Class: contract.ClassDraft, Cost: 100})
		}
		_, err := s.Enqueue(Ticket{Team: "a", Class: contract.ClassDraft, Cost: 100, Deadline: startTime.Add(4 * time.Second)}, startTime)
		Expect(errors.Is(err, ErrDeadline)).To(BeTrue())
		after, ok := RetryAfter(err)
		Expect(ok).To(BeTrue())
		Expect(after).To(BeNumerically("~", 6*time.Second, 100*time.Millisecond))
		s.mustEnqueue(Ticket{Team: "a", Class: contract.ClassDraft, Cost: 100, Deadline: startTime.Add(20 * time.Second)})
		s.mustEnqueue(Ticket{Team: "b", Class: contract.ClassDesk, Cost: 100, Deadline: startTime.Add(time.Second)})
	})
})

var _ = Describe("Queue", func() {
	It("keeps counting requests in flight at an upstream that is removed and added again", func() {
		q := New(route.Default())
		q.Update(makeUpstreams(1, 1))
		grant, err := q.Acquire(context.Background(), Ticket{Team: "a"})
		Expect(err).NotTo(HaveOccurred())
		q.Update(nil)
		q.Update(makeUpstreams(1, 1))
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, err = q.Acquire(ctx, Ticket{Team: "a"})
		Expect(err).To(MatchError(context.DeadlineExceeded))
		grant.Release(1)
		_, err = q.Acquire(context.Background(), Ticket{Team: "a"})
		Expect(err).NotTo(HaveOccurred())
	})

	It("leaks no slots when contexts end while slots are granted", func() {
		q := New(route.Default())
		q.Update(makeUpstreams(2, 2))
		done := make(chan struct{})
		for range 200 {
			go func() {
				defer func() { done <- struct{}{} }()
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rand.IntN(3000))*time.Microsecond)
				defer cancel()
				if grant, err := q.Acquire(ctx, Ticket{Team: "a", Cost: 5}); err == nil {
					grant.Release(1)
				}
			}()
		}
		for range 200 {
			<-done
		}
		Expect(q.Depth()).To(BeZero())
		Expect(q.Stats().InFlight).To(BeEmpty())
		Expect(q.waiters).To(BeEmpty())
	})
})

// BenchmarkDecision grants and releases one request while others wait. The cost must
// grow more slowly than the number of upstreams.
func BenchmarkDecision(b *testing.B) {
	for _, upstreams := range []int{1, 16, 64, 640} {
		for _, waiting := range []int{10, 1000, 8000} {
			b.Run(fmt.Sprintf("upstreams=%d/waiting=%d", upstreams, waiting), func(b *testing.B) {
				s := newScheduler(Fair, makeUpstreams(upstreams, 2))
				ticket := func(n int) Ticket {
					return Ticket{Team: fmt.Sprint("team", n%8), Weight: 1, Class: contract.ClassDraft, Cost: 10, Route: route.Request{Prefix: uint64(n%50) + 1}}
				}
				var running []*Item
				for n := range 2*upstreams + waiting {
					_, _ = s.Enqueue(ticket(n), startTime)
				}
				for item, _ := s.Next(startTime); item != nil; item, _ = s.Next(startTime) {
					running = append(running, item)
				}
				b.ReportAllocs()
				for n := 0; b.Loop(); n++ {
					s.Release(running[n%len(running)], 10, startTime)
					running[n%len(running)], _ = s.Next(startTime)
					_, _ = s.Enqueue(ticket(n), startTime)
				}
			})
		}
	}
}
