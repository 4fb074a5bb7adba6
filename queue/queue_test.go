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

var start = time.Unix(1000, 0)

func slotted(count, slots int) []Upstream {
	var list []Upstream
	for n := range count {
		list = append(list, Upstream{Upstream: upstream.Upstream{Member: objects.Member{Name: fmt.Sprintf("u%03d", n)}}, Slots: slots})
	}
	return list
}

func newScheduler(order Order, upstreams []Upstream) *Scheduler {
	s := NewScheduler(order, route.Default(), rand.New(rand.NewPCG(1, 1)))
	s.Update(upstreams, start)
	return s
}

func (s *Scheduler) mustEnter(t Ticket) *Item {
	e, err := s.Enqueue(t, start)
	Expect(err).NotTo(HaveOccurred())
	return e
}

// serve grants and ends count requests one after another; each costs what cost
// says. It returns the tokens served by team and the grants by class.
func serve(s *Scheduler, count int, cost func(*Item) int64) (map[string]int64, map[contract.Class]int) {
	tokens, classes := map[string]int64{}, map[contract.Class]int{}
	for range count {
		e, _ := s.Next(start)
		if e == nil {
			break
		}
		tokens[e.ticket.Team] += cost(e)
		classes[e.ticket.Class]++
		s.Release(e, cost(e), start)
	}
	return tokens, classes
}

func expected(e *Item) int64 { return e.ticket.Cost }

var _ = Describe("Order", func() {
	It("shares tokens among teams by weight, whatever they ask for at once", func() {
		s := newScheduler(Fair, slotted(1, 1))
		for range 3000 {
			s.mustEnter(Ticket{Team: "large", Weight: 3, Class: contract.ClassDraft, Cost: 100})
			s.mustEnter(Ticket{Team: "small", Weight: 1, Class: contract.ClassDraft, Cost: 10})
		}
		tokens, _ := serve(s, 1500, expected)
		Expect(float64(tokens["large"]) / float64(tokens["small"])).To(BeNumerically("~", 3, 0.1))
	})

	It("settles the difference when the true length is known", func() {
		s := newScheduler(Fair, slotted(1, 1))
		for range 2000 {
			s.mustEnter(Ticket{Team: "long", Weight: 1, Class: contract.ClassDraft, Cost: 100})
			s.mustEnter(Ticket{Team: "short", Weight: 1, Class: contract.ClassDraft, Cost: 100})
		}
		tokens, _ := serve(s, 1000, func(e *Item) int64 {
			if e.ticket.Team == "short" {
				return 20
			}
			return 100
		})
		Expect(float64(tokens["long"]) / float64(tokens["short"])).To(BeNumerically("~", 1, 0.05))
	})

	It("serves urgent classes first and never starves the others", func() {
		s := newScheduler(Fair, slotted(1, 1))
		for _, class := range []contract.Class{contract.ClassDraft, contract.ClassRollout, contract.ClassDesk} {
			for range 2000 {
				s.mustEnter(Ticket{Team: "a", Weight: 1, Class: class, Cost: 10})
			}
		}
		_, classes := serve(s, 1000, expected)
		Expect(classes[contract.ClassDesk]).To(BeNumerically(">", 800))
		Expect(classes[contract.ClassRollout]).To(BeNumerically(">=", 50))
		Expect(classes[contract.ClassDraft]).To(BeNumerically(">=", 20))
	})

	It("passes over requests that no free upstream can take", func() {
		s := newScheduler(Fair, slotted(2, 1))
		s.mustEnter(Ticket{Team: "a", Class: contract.ClassDraft, Route: route.Request{MinWeightVersion: 7}})
		s.mustEnter(Ticket{Team: "a", Class: contract.ClassDraft, Route: route.Request{Exclude: []string{"u000"}}})
		e, u := s.Next(start)
		Expect(e).NotTo(BeNil())
		Expect(u.Name).To(Equal("u001"))
		e, _ = s.Next(start)
		Expect(e).To(BeNil())
	})

	It("gives nothing for having been away and forgets departed teams", func() {
		s := newScheduler(Fair, slotted(1, 1))
		for n := range 3 * sweepInterval {
			s.mustEnter(Ticket{Team: fmt.Sprint("team", n), Class: contract.ClassDraft, Cost: 10})
			serve(s, 1, expected)
		}
		Expect(s.lanes[2].accounts).To(BeEmpty())
	})
})

var _ = Describe("Refusal", func() {
	It("leaves room for others when one team floods the queue", func() {
		s := newScheduler(Fair, slotted(1, 0))
		var err error
		for err == nil {
			_, err = s.Enqueue(Ticket{Team: "flood", Class: contract.ClassDraft}, start)
		}
		Expect(errors.Is(err, ErrFull)).To(BeTrue())
		Expect(s.waiting).To(Equal(MaxWaiting / 2))
		for range MaxWaiting / 4 {
			s.mustEnter(Ticket{Team: "other", Class: contract.ClassDraft})
		}
	})

	It("refuses what can't begin before its deadline, and says when to come back", func() {
		s := newScheduler(Fair, slotted(1, 1))
		for range holdSamples {
			e := s.mustEnter(Ticket{Team: "a", Class: contract.ClassDraft, Cost: 100})
			s.Next(start)
			s.Release(e, 100, start.Add(time.Second))
		}
		for range 10 {
			s.mustEnter(Ticket{Team: "a", Class: contract.ClassDraft, Cost: 100})
		}
		_, err := s.Enqueue(Ticket{Team: "a", Class: contract.ClassDraft, Cost: 100, Deadline: start.Add(4 * time.Second)}, start)
		Expect(errors.Is(err, ErrDeadline)).To(BeTrue())
		after, ok := RetryAfter(err)
		Expect(ok).To(BeTrue())
		Expect(after).To(BeNumerically("~", 6*time.Second, 100*time.Millisecond))
		s.mustEnter(Ticket{Team: "a", Class: contract.ClassDraft, Cost: 100, Deadline: start.Add(20 * time.Second)})
		s.mustEnter(Ticket{Team: "b", Class: contract.ClassDesk, Cost: 100, Deadline: start.Add(time.Second)})
	})
})

var _ = Describe("Queue", func() {
	It("counts requests at an upstream that left and came back", func() {
		q := New(route.Default())
		q.Update(slotted(1, 1))
		grant, err := q.Acquire(context.Background(), Ticket{Team: "a"})
		Expect(err).NotTo(HaveOccurred())
		q.Update(nil)
		q.Update(slotted(1, 1))
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, err = q.Acquire(ctx, Ticket{Team: "a"})
		Expect(err).To(MatchError(context.DeadlineExceeded))
		grant.Release(1)
		_, err = q.Acquire(context.Background(), Ticket{Team: "a"})
		Expect(err).NotTo(HaveOccurred())
	})

	It("loses no slot when callers leave while slots are granted", func() {
		q := New(route.Default())
		q.Update(slotted(2, 2))
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

// BenchmarkDecision grants and ends one request while others wait; the cost must
// grow slower than the number of upstreams.
func BenchmarkDecision(b *testing.B) {
	for _, upstreams := range []int{1, 16, 64, 640} {
		for _, waiting := range []int{10, 1000, 8000} {
			b.Run(fmt.Sprintf("upstreams=%d/waiting=%d", upstreams, waiting), func(b *testing.B) {
				s := newScheduler(Fair, slotted(upstreams, 2))
				ticket := func(n int) Ticket {
					return Ticket{Team: fmt.Sprint("team", n%8), Weight: 1, Class: contract.ClassDraft, Cost: 10, Route: route.Request{Prefix: uint64(n%50) + 1}}
				}
				var running []*Item
				for n := range 2*upstreams + waiting {
					_, _ = s.Enqueue(ticket(n), start)
				}
				for e, _ := s.Next(start); e != nil; e, _ = s.Next(start) {
					running = append(running, e)
				}
				b.ReportAllocs()
				for n := 0; b.Loop(); n++ {
					s.Release(running[n%len(running)], 10, start)
					running[n%len(running)], _ = s.Next(start)
					_, _ = s.Enqueue(ticket(n), start)
				}
			})
		}
	}
}
