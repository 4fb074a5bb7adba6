package fleet

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	simTick      = 100 * time.Millisecond
	simReportAge = 150 * time.Millisecond // how old the state in an engine's report is
	simLoadTime  = 900 * time.Millisecond
	simOrderTime = 15 * time.Millisecond // until an ordered load starts
)

// weightStore simulates a store that serves atOnce loads at full speed, and the engines
// that load from it. A load that starts beside more takes longer in proportion.
type weightStore struct {
	atOnce int
	loads  map[string]simLoad // last load by engine
	// unreachable engines accept no order and give no report.
	unreachable map[string]bool
	longest     time.Duration // longest load since the last reset
	most        int           // most loads in progress since the last reset
	total       int
}

type simLoad struct {
	Load
	from, until time.Duration
}

func newWeightStore(atOnce int) *weightStore {
	return &weightStore{atOnce: atOnce, loads: map[string]simLoad{}, unreachable: map[string]bool{}}
}

func (w *weightStore) inProgress(at time.Duration) int {
	n := 0
	for _, l := range w.loads {
		if at < l.until {
			n++
		}
	}
	return n
}

// order starts a load. It returns false if the engine is not reached or loads already.
func (w *weightStore) order(l Load, at time.Duration) bool {
	if w.unreachable[l.Engine] || at < w.loads[l.Engine].until {
		return false
	}
	n := w.inProgress(at) + 1
	takes := max(simLoadTime, simLoadTime*time.Duration(n)/time.Duration(w.atOnce))
	w.loads[l.Engine] = simLoad{l, at, at + simOrderTime + takes}
	w.longest, w.most, w.total = max(w.longest, takes), max(w.most, n), w.total+1
	return true
}

// report returns the engine's state of simReportAge before.
func (w *weightStore) report(e Engine, at time.Duration) EngineReport {
	seen, l := at-simReportAge, w.loads[e.ID]
	r := EngineReport{Models: map[string]int64{}, Busy: seen >= l.from && seen < l.until}
	for m, v := range e.Models {
		r.Models[m] = v
	}
	if l.Model != "" && seen >= l.until {
		r.Models[l.Model] = max(r.Models[l.Model], l.Version)
	}
	return r
}

// run lets planner order the loads of the engines from from until until. The engines'
// listed versions change when their reports show them.
func (w *weightStore) run(planner *LoadPlanner, engines func(time.Duration) []Engine, models []string, newest func(time.Duration) map[string]int64, from, until time.Duration) {
	for at := from; at < until; at += simTick {
		now, list := plannerStart.Add(at), engines(at)
		byID := map[string]Engine{}
		for _, e := range list {
			byID[e.ID] = e
		}
		for _, id := range planner.Polls(now) {
			if w.unreachable[id] {
				planner.Unreachable(id)
				continue
			}
			r := w.report(byID[id], at)
			planner.Reported(id, r, now)
			for m, v := range r.Models {
				byID[id].Models[m] = v
			}
		}
		if !planner.HasReports(list, now) {
			continue
		}
		for _, l := range planner.Next(list, models, newest(at), now) {
			if w.order(l, at) {
				planner.Accepted(l, 0)
				continue
			}
			planner.Rejected(l, UnknownOrders, now)
		}
	}
}

var _ = Describe("Concurrent loads of weights", func() {
	models := []string{"a", "b", "c"}
	everyFourSeconds := func(at time.Duration) map[string]int64 {
		v := 2 + int64(at/(4*time.Second))
		return map[string]int64{"a": v, "b": v, "c": v}
	}
	all := func(engines []Engine) func(time.Duration) []Engine {
		return func(time.Duration) []Engine { return engines }
	}

	// Three trainers publish every four seconds for twelve engines, and the store serves
	// two loads at full speed. Each load counted for its usual time only, so the next ones
	// started while it was in progress, and all took twice as long.
	It("does not start a load before the previous ones have ended", func() {
		store, engines := newWeightStore(2), newEngines(12, models...)
		store.run(NewLoadPlanner(), all(engines), models, everyFourSeconds, 0, 40*time.Second)
		Expect(store.most).To(Equal(2))
		Expect(store.longest).To(Equal(simLoadTime))
		Expect(store.total).To(BeNumerically(">=", 60))
	})

	// The service grew from 12 to 18 engines while the store went on serving two loads at
	// full speed. The limit followed the number of engines, and after some seconds all 18
	// engines loaded at once for ten seconds each.
	It("lets no more engines load at once than before when the service grows", func() {
		store, engines := newWeightStore(2), newEngines(18, models...)
		planner := NewLoadPlanner()
		growing := func(at time.Duration) []Engine {
			if at < 10*time.Second {
				return engines[:12]
			}
			return engines
		}
		store.run(planner, growing, models, everyFourSeconds, 0, 60*time.Second)
		Expect(store.most).To(BeNumerically("<=", 3), "one more is tried")
		store.longest, store.total = 0, 0
		store.run(planner, growing, models, everyFourSeconds, 60*time.Second, 100*time.Second)
		Expect(store.longest).To(BeNumerically("<=", 3*simLoadTime/2))
		Expect(store.total).To(BeNumerically(">=", 60))
	})

	// 42 engines load from a store that serves nine at full speed. A limit learned from the
	// first seconds must not keep most of the store unused.
	It("loads as many engines at once as a larger store serves", func() {
		store, engines := newWeightStore(9), newEngines(42, models...)
		store.run(NewLoadPlanner(), all(engines), models, everyFourSeconds, 0, 20*time.Second)
		Expect(store.most).To(Equal(8))
		Expect(store.longest).To(Equal(simLoadTime))
	})

	// A planned stop moved the control role within a tick, and the new holder let as many
	// engines load as if none of its predecessor's loads were in progress.
	It("counts the loads that its predecessor has ordered", func() {
		store, engines := newWeightStore(2), newEngines(12, models...)
		store.run(NewLoadPlanner(), all(engines), models, everyFourSeconds, 0, 5*time.Second)
		for at := 5 * time.Second; at < 20*time.Second; at += 1300 * time.Millisecond {
			store.run(NewLoadPlanner(), all(engines), models, everyFourSeconds, at, at+1300*time.Millisecond)
		}
		Expect(store.most).To(Equal(2))
	})

	// An engine that is cut off accepts no order and gives no report while it is listed as
	// ready. It held one of two loads that may be in progress.
	It("loads the others at the usual rate while an engine is not reached", func() {
		store, engines := newWeightStore(2), newEngines(12, models...)
		store.unreachable["e03"] = true
		store.run(NewLoadPlanner(), all(engines), models, everyFourSeconds, 0, 40*time.Second)
		Expect(store.most).To(BeNumerically("<=", 3))
		Expect(store.total).To(BeNumerically(">=", 55))
	})
})

var _ = Describe("loadLimit", func() {
	// A load on an engine that was slow for another cause must not reduce the limit below
	// the minimum, and loads of the usual time raise it again.
	It("falls with slowed loads, not below the minimum, and rises with usual ones", func() {
		var l loadLimit
		Expect(l.allowed(10, 0)).To(Equal(10))
		l.observe(time.Second, 10)
		l.observe(2*time.Second, 10)
		Expect(l.allowed(10, 1)).To(Equal(5))
		l.observe(20*time.Second, 5)
		Expect(l.allowed(10, 1)).To(Equal(minConcurrentLoads))
		for range 10 {
			l.observe(time.Second, 2)
		}
		Expect(l.allowed(10, 1)).To(Equal(3))
	})

	// The first loads were slowed by others, and their time passed for the usual one.
	It("corrects the usual time with the first load that is not slowed", func() {
		var l loadLimit
		l.allowed(8, 0)
		l.observe(4*time.Second, 8)
		l.observe(time.Second, 2)
		l.observe(4*time.Second, 8)
		Expect(l.allowed(8, 1)).To(Equal(2))
	})

	// The service has fewer engines than before; a limit above its share must not last.
	It("does not exceed the given maximum", func() {
		var l loadLimit
		Expect(l.allowed(8, 0)).To(Equal(8))
		l.observe(time.Second, 8)
		Expect(l.allowed(4, 2)).To(Equal(4))
	})
})
