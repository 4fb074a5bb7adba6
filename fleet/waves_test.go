package fleet

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var waveStart = time.Unix(1000, 0)

func waveFleet(n int, models ...string) []Engine {
	list := make([]Engine, n)
	for i := range list {
		list[i] = Engine{ID: fmt.Sprintf("e%02d", i), Started: 1, Models: map[string]int64{}}
		for _, m := range models {
			list[i].Models[m] = 1
		}
	}
	return list
}

// play runs the planner for a time against engines whose loads take as long as
// given, and returns the most that loaded at once and the number of loads.
func play(w *LoadPlanner, engines []Engine, models []string, named func(at time.Duration) map[string]int64, span, takes time.Duration) (most, loads int) {
	type running struct {
		Load
		done time.Duration
	}
	var open []running
	for at := time.Duration(0); at < span; at += 100 * time.Millisecond {
		now := waveStart.Add(at)
		left := open[:0]
		for _, r := range open {
			if r.done > at {
				left = append(left, r)
				continue
			}
			for i := range engines {
				if engines[i].ID == r.Engine {
					engines[i].Models[r.Model] = r.Version
				}
			}
		}
		open = left
		for _, l := range w.Next(engines, models, named(at), now) {
			w.Accepted(l, 0)
			open = append(open, running{l, at + takes})
			loads++
		}
		most = max(most, len(open))
	}
	return most, loads
}

var _ = Describe("Waves", func() {
	always := func(named map[string]int64) func(time.Duration) map[string]int64 {
		return func(time.Duration) map[string]int64 { return named }
	}

	It("gives each model its share of the engines and loads only these", func() {
		models := []string{"a", "b", "c"}
		engines := waveFleet(12, models...)
		_, loads := play(NewLoadPlanner(), engines, models, always(map[string]int64{"a": 2, "b": 2, "c": 2}), 10*time.Second, 900*time.Millisecond)
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

	It("loads a fifth of the engines at once, at least two", func() {
		most, _ := play(NewLoadPlanner(), waveFleet(12, "a"), []string{"a"}, always(map[string]int64{"a": 3}), 10*time.Second, 900*time.Millisecond)
		Expect(most).To(Equal(2))
		most, _ = play(NewLoadPlanner(), waveFleet(48, "a"), []string{"a"}, always(map[string]int64{"a": 3}), 10*time.Second, 900*time.Millisecond)
		Expect(most).To(Equal(10))
	})

	It("keeps most homes of a model serving while a new version is loaded", func() {
		models := []string{"a", "b", "c"}
		w, engines := NewLoadPlanner(), waveFleet(12, models...)
		loads := w.Next(engines, models, map[string]int64{"a": 2}, waveStart)
		Expect(loads).To(HaveLen(1))
	})

	It("loads engines that serve nothing of use any more first, and all of them", func() {
		models := []string{"a"}
		w, engines := NewLoadPlanner(), waveFleet(4, models...)
		engines[2].Models["a"] = 2
		engines[3].Models["a"] = 2
		loads := w.Next(engines, models, map[string]int64{"a": 3}, waveStart)
		Expect(loads).To(HaveLen(2))
		for _, l := range loads {
			Expect(l.Engine).To(BeElementOf("e00", "e01"))
		}
	})

	It("brings all homes to a version within the time between two", func() {
		engines := waveFleet(11, "a")
		play(NewLoadPlanner(), engines, []string{"a"}, always(map[string]int64{"a": 2}), 6*time.Second, 900*time.Millisecond)
		for _, e := range engines {
			Expect(e.Models["a"]).To(Equal(int64(2)))
		}
	})

	It("finds the homes that its predecessor had chosen", func() {
		models := []string{"a", "b", "c"}
		engines := waveFleet(12, models...)
		play(NewLoadPlanner(), engines, models, always(map[string]int64{"a": 2, "b": 2, "c": 2}), 10*time.Second, 900*time.Millisecond)
		_, loads := play(NewLoadPlanner(), engines, models, always(map[string]int64{"a": 2, "b": 2, "c": 2}), 10*time.Second, 900*time.Millisecond)
		Expect(loads).To(BeZero())
	})

	It("replaces a home that is gone", func() {
		engines := waveFleet(4, "a", "b")
		w := NewLoadPlanner()
		play(w, engines, []string{"a", "b"}, always(map[string]int64{"a": 2}), 5*time.Second, 900*time.Millisecond)
		var left []Engine
		for _, e := range engines {
			if e.Models["a"] == 1 || len(left) == 0 && e.Models["a"] == 2 {
				left = append(left, e)
			}
		}
		_, loads := play(w, left, []string{"a", "b"}, always(map[string]int64{"a": 2}), 5*time.Second, 900*time.Millisecond)
		Expect(loads).To(BeNumerically("<=", 1))
	})

	It("gives no engine two models while another has none, whatever came and went", func() {
		models := []string{"a", "b", "c"}
		named := always(map[string]int64{"a": 2, "b": 2, "c": 2})
		w, engines := NewLoadPlanner(), waveFleet(12, models...)
		play(w, engines[:6], models, named, 10*time.Second, 900*time.Millisecond)
		play(w, engines[3:9], models, named, 10*time.Second, 900*time.Millisecond)
		play(w, engines, models, always(map[string]int64{"a": 3, "b": 3, "c": 3}), 20*time.Second, 900*time.Millisecond)
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

	It("gives a new holder's models engines of their own, where its predecessor shared one", func() {
		models := []string{"a", "b"}
		engines := waveFleet(4, models...)
		engines[0].Models["a"], engines[0].Models["b"] = 2, 2
		engines[1].Models["a"] = 2
		play(NewLoadPlanner(), engines, models, always(map[string]int64{"a": 3, "b": 3}), 10*time.Second, 900*time.Millisecond)
		for _, e := range engines {
			Expect(e.Models["a"] == 3 && e.Models["b"] == 3).To(BeFalse(), e.ID)
		}
	})

	It("waits longer after each order without effect, and asks a reborn engine for its count", func() {
		w, engines := NewLoadPlanner(), waveFleet(1, "a")
		named := map[string]int64{"a": 2}
		first := w.Next(engines, []string{"a"}, named, waveStart)[0]
		Expect(first.Accepted).To(Equal(int64(UnknownOrders)))
		w.Rejected(first, 5, waveStart)
		Expect(w.Next(engines, []string{"a"}, named, waveStart.Add(firstAgain/2))).To(BeEmpty())
		second := w.Next(engines, []string{"a"}, named, waveStart.Add(firstAgain))[0]
		Expect(second.Accepted).To(Equal(int64(5)))
		w.Rejected(second, 5, waveStart)
		Expect(w.Next(engines, []string{"a"}, named, waveStart.Add(firstAgain))).To(BeEmpty())
		engines[0].Started = 2
		third := w.Next(engines, []string{"a"}, named, waveStart.Add(firstAgain))[0]
		Expect(third.Accepted).To(Equal(int64(UnknownOrders)))
	})
})
