package fleet

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var plannerStart = time.Unix(1000, 0)

func newEngines(n int, models ...string) []Engine {
	list := make([]Engine, n)
	for i := range list {
		list[i] = Engine{ID: fmt.Sprintf("e%02d", i), Started: 1, Models: map[string]int64{}}
		for _, m := range models {
			list[i].Models[m] = 1
		}
	}
	return list
}

// simulate runs the planner for duration against engines whose loads take
// loadTime. It returns the maximum of concurrent loads and the number of loads.
func simulate(planner *LoadPlanner, engines []Engine, models []string, newest func(at time.Duration) map[string]int64, duration, loadTime time.Duration) (maxConcurrent, loads int) {
	type activeLoad struct {
		Load
		done time.Duration
	}
	var inProgress []activeLoad
	for at := time.Duration(0); at < duration; at += 100 * time.Millisecond {
		now := plannerStart.Add(at)
		remaining := inProgress[:0]
		for _, r := range inProgress {
			if r.done > at {
				remaining = append(remaining, r)
				continue
			}
			for i := range engines {
				if engines[i].ID == r.Engine {
					engines[i].Models[r.Model] = r.Version
				}
			}
		}
		inProgress = remaining
		for _, l := range planner.Next(engines, models, newest(at), now) {
			planner.Accepted(l, 0)
			inProgress = append(inProgress, activeLoad{l, at + loadTime})
			loads++
		}
		maxConcurrent = max(maxConcurrent, len(inProgress))
	}
	return maxConcurrent, loads
}

var _ = Describe("LoadPlanner", func() {
	always := func(versions map[string]int64) func(time.Duration) map[string]int64 {
		return func(time.Duration) map[string]int64 { return versions }
	}

	It("assigns each model an equal share of the engines and loads only these", func() {
		models := []string{"a", "b", "c"}
		engines := newEngines(12, models...)
		_, loads := simulate(NewLoadPlanner(), engines, models, always(map[string]int64{"a": 2, "b": 2, "c": 2}), 10*time.Second, 900*time.Millisecond)
		Expect(loads).To(Equal(12))
		for _, m := range models {
			n := 0
			for _, e := range engines {
				if e.Models[m] == 2 {
					n++
				}
			}
			Expect(n).To(Equal(4))
		}
	})

	It("loads a fifth of the engines at once, but at least two", func() {
		most, _ := simulate(NewLoadPlanner(), newEngines(12, "a"), []string{"a"}, always(map[string]int64{"a": 3}), 10*time.Second, 900*time.Millisecond)
		Expect(most).To(Equal(2))
		most, _ = simulate(NewLoadPlanner(), newEngines(48, "a"), []string{"a"}, always(map[string]int64{"a": 3}), 10*time.Second, 900*time.Millisecond)
		Expect(most).To(Equal(10))
	})

	It("keeps most assigned engines of a model serving while a new version is loaded", func() {
		models := []string{"a", "b", "c"}
		planner, engines := NewLoadPlanner(), newEngines(12, models...)
		loads := planner.Next(engines, models, map[string]int64{"a": 2}, plannerStart)
		Expect(loads).To(HaveLen(1))
	})

	It("first loads all engines whose version is no longer usable", func() {
		models := []string{"a"}
		planner, engines := NewLoadPlanner(), newEngines(4, models...)
		engines[2].Models["a"] = 2
		engines[3].Models["a"] = 2
		loads := planner.Next(engines, models, map[string]int64{"a": 3}, plannerStart)
		Expect(loads).To(HaveLen(2))
		for _, l := range loads {
			Expect(l.Engine).To(BeElementOf("e00", "e01"))
		}
	})

	// Nine engines serve three models, and two may load at once. The control role had no
	// holder for some seconds; one trainer is further behind than the others and goes on
	// publishing. Another model had no usable engine for ten seconds.
	It("gives every model a usable engine before it loads more engines of one that is further behind", func() {
		models := []string{"m0", "m1", "m2"}
		engines := newEngines(9, models...)
		planner := NewLoadPlanner()
		simulate(planner, engines, models, always(map[string]int64{"m0": 1, "m1": 1, "m2": 1}), time.Second, 900*time.Millisecond)
		usableSince := map[string]time.Duration{}
		newest := func(at time.Duration) map[string]int64 {
			versions := map[string]int64{"m0": 4 + int64(at/(1500*time.Millisecond)), "m1": 3, "m2": 3}
			for m, v := range versions {
				for _, e := range engines {
					if _, seen := usableSince[m]; !seen && e.Models[m] >= v-1 {
						usableSince[m] = at
					}
				}
			}
			return versions
		}
		simulate(planner, engines, models, newest, 10*time.Second, 900*time.Millisecond)
		Expect(usableSince).To(HaveLen(3))
		for m, at := range usableSince {
			Expect(at).To(BeNumerically("<=", 2*time.Second), m)
		}
	})

	It("loads a version on all assigned engines before the next is published", func() {
		engines := newEngines(11, "a")
		simulate(NewLoadPlanner(), engines, []string{"a"}, always(map[string]int64{"a": 2}), 6*time.Second, 900*time.Millisecond)
		for _, e := range engines {
			Expect(e.Models["a"]).To(Equal(int64(2)))
		}
	})

	It("keeps the assignments of the previous role holder", func() {
		models := []string{"a", "b", "c"}
		engines := newEngines(12, models...)
		simulate(NewLoadPlanner(), engines, models, always(map[string]int64{"a": 2, "b": 2, "c": 2}), 10*time.Second, 900*time.Millisecond)
		_, loads := simulate(NewLoadPlanner(), engines, models, always(map[string]int64{"a": 2, "b": 2, "c": 2}), 10*time.Second, 900*time.Millisecond)
		Expect(loads).To(BeZero())
	})

	It("replaces an assigned engine that is no longer listed", func() {
		engines := newEngines(4, "a", "b")
		planner := NewLoadPlanner()
		simulate(planner, engines, []string{"a", "b"}, always(map[string]int64{"a": 2}), 5*time.Second, 900*time.Millisecond)
		var remaining []Engine
		for _, e := range engines {
			if e.Models["a"] == 1 || len(remaining) == 0 && e.Models["a"] == 2 {
				remaining = append(remaining, e)
			}
		}
		_, loads := simulate(planner, remaining, []string{"a", "b"}, always(map[string]int64{"a": 2}), 5*time.Second, 900*time.Millisecond)
		Expect(loads).To(BeNumerically("<=", 1))
	})

	It("assigns no engine two models while another is unassigned, after engines were added and removed", func() {
		models := []string{"a", "b", "c"}
		versions := always(map[string]int64{"a": 2, "b": 2, "c": 2})
		planner, engines := NewLoadPlanner(), newEngines(12, models...)
		simulate(planner, engines[:6], models, versions, 10*time.Second, 900*time.Millisecond)
		simulate(planner, engines[3:9], models, versions, 10*time.Second, 900*time.Millisecond)
		simulate(planner, engines, models, always(map[string]int64{"a": 3, "b": 3, "c": 3}), 20*time.Second, 900*time.Millisecond)
		for _, e := range engines {
			newest := 0
			for _, m := range models {
				if e.Models[m] == 3 {
					newest++
				}
			}
			Expect(newest).To(Equal(1), e.ID)
		}
	})

	It("assigns different engines to models that its predecessor loaded on the same one", func() {
		models := []string{"a", "b"}
		engines := newEngines(4, models...)
		engines[0].Models["a"], engines[0].Models["b"] = 2, 2
		engines[1].Models["a"] = 2
		simulate(NewLoadPlanner(), engines, models, always(map[string]int64{"a": 3, "b": 3}), 10*time.Second, 900*time.Millisecond)
		for _, e := range engines {
			Expect(e.Models["a"] == 3 && e.Models["b"] == 3).To(BeFalse(), e.ID)
		}
	})

	It("backs off after each rejected order and resets the accepted orders of a restarted engine to unknown", func() {
		planner, engines := NewLoadPlanner(), newEngines(1, "a")
		versions := map[string]int64{"a": 2}
		first := planner.Next(engines, []string{"a"}, versions, plannerStart)[0]
		Expect(first.Accepted).To(Equal(int64(UnknownOrders)))
		planner.Rejected(first, 5, plannerStart)
		Expect(planner.Next(engines, []string{"a"}, versions, plannerStart.Add(retryDelay/2))).To(BeEmpty())
		second := planner.Next(engines, []string{"a"}, versions, plannerStart.Add(retryDelay))[0]
		Expect(second.Accepted).To(Equal(int64(5)))
		planner.Rejected(second, 5, plannerStart)
		Expect(planner.Next(engines, []string{"a"}, versions, plannerStart.Add(retryDelay))).To(BeEmpty())
		engines[0].Started = 2
		third := planner.Next(engines, []string{"a"}, versions, plannerStart.Add(retryDelay))[0]
		Expect(third.Accepted).To(Equal(int64(UnknownOrders)))
	})
})
