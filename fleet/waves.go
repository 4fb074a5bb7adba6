package fleet

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"
)

// WaveEngine is an engine as the planner of weight loads sees it.
type Engine struct {
	ID      string
	Started int64            // tells incarnations apart
	Models  map[string]int64 // weight versions served
}

// Load is the decision that an engine shall load a weight version.
type Load struct {
	Engine  string
	Model   string
	Version int64
	// Accepted is how many orders the engine must have accepted before; UnknownOrders
	// when it must be asked first.
	Accepted int64
}

// UnknownOrders stands for a number of accepted orders that is not known.
const UnknownOrders = -1

// Waves plans the loads of weights of one service whose engines serve several
// models. Each model has home engines, as many as there are engines for a model
// when all share alike; only these follow its versions. It does no I/O.
//
// Load pattern: several trainers each name a version every few seconds, and a
// load takes an engine's model away for about a second. Loading all engines for
// all models would keep the weight store busier than it can be and discard
// prompts for nothing.
type LoadPlanner struct {
	homes   map[string]map[string]bool // engines by model
	engines map[string]*waveState
	named   map[string]naming
}

type naming struct {
	version int64
	at      time.Time // when the version was first seen
}

// waveState is what is remembered of one engine.
type waveState struct {
	started  int64
	accepted int64
	open     Load      // Model is empty when no order is open
	sent     time.Time // of the open order
	again    time.Time // no order before
	failed   int       // orders in a row without effect
}

const (
	// loadsPart is the part of a service's engines that may load at once; beyond
	// it the weight store slows all loads.
	loadsPart = 0.2
	// leastLoads is how many may load at once however few engines there are.
	leastLoads = 2
	// homesPart of a model's homes may load at once while the others still serve
	// what is asked: the items of a step come with the naming of its version.
	homesPart = 4
	// loadTime is how long a load keeps a place; a load that takes longer slows
	// the next ones a little, waiting for its report would slow all.
	loadTime = 900 * time.Millisecond
	// loadGivenUp is after which an accepted order without effect is forgotten.
	loadGivenUp = 8 * time.Second
	// firstAgain is the pause after an order that was not accepted; it doubles.
	firstAgain = 250 * time.Millisecond
	// mostAgain bounds the doublings of the pause.
	mostAgain = 4
)

// NewWaves returns a planner that has seen nothing.
func NewLoadPlanner() *LoadPlanner {
	return &LoadPlanner{homes: map[string]map[string]bool{}, engines: map[string]*waveState{}, named: map[string]naming{}}
}

// Next returns the loads to order at now. named holds the newest version of each
// model that has one.
func (w *LoadPlanner) Next(engines []Engine, models []string, named map[string]int64, now time.Time) []Load {
	w.see(engines, now)
	w.name(named, now)
	w.settle(engines, models)
	room := max(leastLoads, int(math.Round(loadsPart*float64(len(engines))))) - w.loading(now, "")
	var loads []Load
	taken := map[string]bool{}
	for _, l := range w.behind(engines, now) {
		if len(loads) >= room {
			break
		}
		if taken[l.Engine] || (l.fresh && w.loading(now, l.Model) >= max(1, len(w.homes[l.Model])/homesPart)) {
			continue
		}
		taken[l.Engine] = true
		state := w.engines[l.Engine]
		state.open, state.sent = l.Load, now
		loads = append(loads, l.Load)
	}
	return loads
}

// see takes in the engines' states.
func (w *LoadPlanner) see(engines []Engine, now time.Time) {
	listed := map[string]bool{}
	for _, e := range engines {
		listed[e.ID] = true
		s := w.engines[e.ID]
		if s == nil || s.started != e.Started {
			s = &waveState{started: e.Started, accepted: UnknownOrders}
			w.engines[e.ID] = s
		}
		if s.open.Model != "" && (e.Models[s.open.Model] >= s.open.Version || now.Sub(s.sent) > loadGivenUp) {
			s.open, s.failed = Load{}, 0
		}
	}
	maps.DeleteFunc(w.engines, func(id string, _ *waveState) bool { return !listed[id] })
}

func (w *LoadPlanner) name(named map[string]int64, now time.Time) {
	for model, version := range named {
		if version > w.named[model].version {
			w.named[model] = naming{version, now}
		}
	}
}

// settle gives each model its home engines. Engines that serve a newer version of
// a model are taken first, so that a new holder of the role finds the homes that
// its predecessor had chosen, but none that is another model's home while one is
// nobody's: two models on one engine share its slots and cost it twice the loads.
func (w *LoadPlanner) settle(engines []Engine, models []string) {
	if len(models) == 0 {
		return
	}
	used := w.used(models)
	w.unshare(engines, models, used)
	for n, m := range models {
		each := len(engines) / len(models)
		if n < len(engines)%len(models) {
			each++
		}
		free := slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return w.homes[m][e.ID] })
		slices.SortFunc(free, func(a, b Engine) int {
			return cmp.Or(used[a.ID]-used[b.ID], cmp.Compare(loaded(b, m), loaded(a, m)), cmp.Compare(mix(a.ID), mix(b.ID)))
		})
		for _, e := range free[:min(len(free), max(0, max(1, each)-len(w.homes[m])))] {
			w.homes[m][e.ID] = true
			used[e.ID]++
		}
	}
}

// used returns how many models each engine is a home of, without engines that are
// gone.
func (w *LoadPlanner) used(models []string) map[string]int {
	used := map[string]int{}
	for _, m := range models {
		if w.homes[m] == nil {
			w.homes[m] = map[string]bool{}
		}
		maps.DeleteFunc(w.homes[m], func(id string, _ bool) bool { return w.engines[id] == nil })
		for id := range w.homes[m] {
			used[id]++
		}
	}
	return used
}

// unshare takes models away from engines that are homes of several, as many as
// there are engines that are nobody's home.
func (w *LoadPlanner) unshare(engines []Engine, models []string, used map[string]int) {
	idle := 0
	for _, e := range engines {
		if used[e.ID] == 0 {
			idle++
		}
	}
	for _, e := range engines {
		for _, m := range models {
			if idle > 0 && used[e.ID] > 1 && w.homes[m][e.ID] {
				delete(w.homes[m], e.ID)
				used[e.ID]--
				idle--
			}
		}
	}
}

// loaded returns an engine's version of a model, 0 for the first, which all have.
func loaded(e Engine, model string) int64 {
	if v := e.Models[model]; v > 1 {
		return v
	}
	return 0
}

func mix(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash takes every write
	return h.Sum32()
}

// dueLoad is a load that an engine is behind with.
type dueLoad struct {
	Load
	missing int64 // versions that the engine is behind
	named   time.Time
	fresh   bool // the engine still serves what is asked now
}

// behind returns the loads that are due, the most stale engines first.
func (w *LoadPlanner) behind(engines []Engine, now time.Time) []dueLoad {
	var due []dueLoad
	for _, e := range engines {
		state := w.engines[e.ID]
		if state.open.Model != "" || now.Before(state.again) {
			continue
		}
		for model, n := range w.named {
			missing := n.version - e.Models[model]
			if !w.homes[model][e.ID] || missing <= 0 {
				continue
			}
			l := Load{Engine: e.ID, Model: model, Version: n.version, Accepted: state.accepted}
			due = append(due, dueLoad{Load: l, missing: missing, named: n.at, fresh: missing == 1})
		}
	}
	slices.SortFunc(due, func(a, b dueLoad) int {
		return cmp.Or(cmp.Compare(b.missing, a.missing), a.named.Compare(b.named), cmp.Compare(mix(a.Engine), mix(b.Engine)), cmp.Compare(a.Model, b.Model))
	})
	return due
}

// loading returns how many engines load a model, or any model if it is empty.
func (w *LoadPlanner) loading(now time.Time, model string) int {
	n := 0
	for _, s := range w.engines {
		if s.open.Model != "" && (model == "" || s.open.Model == model) && now.Sub(s.sent) < loadTime {
			n++
		}
	}
	return n
}

// Accepted notes that an engine has accepted an order after before others.
func (w *LoadPlanner) Accepted(l Load, before int64) {
	if s := w.engines[l.Engine]; s != nil && s.open == l {
		s.accepted = before + 1
	}
}

// Rejected notes that an order was not accepted, or may not have been. reported is
// the number of orders that the engine says it has accepted, or UnknownOrders.
func (w *LoadPlanner) Rejected(l Load, reported int64, now time.Time) {
	s := w.engines[l.Engine]
	if s == nil || s.open != l {
		return
	}
	s.open = Load{}
	s.again = now.Add(firstAgain << min(s.failed, mostAgain))
	s.failed++
	s.accepted = reported
}

// Open returns the orders without an effect yet and when each was sent.
func (w *LoadPlanner) Pending() map[Load]time.Time {
	open := map[Load]time.Time{}
	for _, s := range w.engines {
		if s.open.Model != "" {
			open[s.open] = s.sent
		}
	}
	return open
}
