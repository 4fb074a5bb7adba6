package fleet

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"
)

// Engine is the state of an engine that LoadPlanner needs.
type Engine struct {
	ID      string
	Started int64            // start time, Unix ms; distinguishes incarnations of the same ID
	Models  map[string]int64 // served weight version by model
}

// Load is the decision to load a weight version of a model on an engine.
type Load struct {
	Engine  string
	Model   string
	Version int64
	// Accepted is the number of orders that the engine must have accepted before
	// this one. If it is UnknownOrders, the caller first requests the number from
	// the engine.
	Accepted int64
}

// UnknownOrders means that the number of accepted orders is not known.
const UnknownOrders = -1

// LoadPlanner plans the weight loads of one service whose engines serve several
// models. It assigns each model an equal share of the engines; only the assigned
// engines load new versions of the model. It does no I/O.
//
// Load pattern: several trainers each publish a version every few seconds, and a
// load makes the model unavailable on the engine for about a second. Loading
// every model on every engine would exceed the capacity of the weight store and
// discard prompts needlessly.
type LoadPlanner struct {
	assigned  map[string]map[string]bool // set of engine IDs by model
	engines   map[string]*engineStatus
	newest    map[string]modelVersion
	limit     loadLimit
	startedAt time.Time // first call of HasReports
}

type modelVersion struct {
	version int64
	seenAt  time.Time // when the version was first seen
}

// engineStatus is the planner's state for one engine.
type engineStatus struct {
	started  int64
	accepted int64
	pending  Load      // last order without a known effect; Model is empty if none
	sentAt   time.Time // when the pending order was sent
	progress loadProgress
	retryAt  time.Time // earliest time of the next order
	failures int       // consecutive orders that were not accepted
}

const (
	// maxLoadingShare is the share of a service's engines that may load at once.
	// With more, the weight store slows all loads.
	maxLoadingShare = 0.2
	// minConcurrentLoads is the number of engines that may load at once even in
	// a small service.
	minConcurrentLoads = 2
	// modelLoadDivisor limits the concurrent loads of a model to a quarter of its
	// assigned engines while their served version is still usable: the items of a
	// step arrive when its version is published and need the other engines.
	modelLoadDivisor = 4
	// orderTimeout is the time after which an accepted order without effect is
	// dropped.
	orderTimeout = 8 * time.Second
	// retryDelay is the delay after the first order that was not accepted; it
	// doubles with each further one.
	retryDelay = 250 * time.Millisecond
	// maxRetryDoublings limits how often retryDelay doubles.
	maxRetryDoublings = 4
)

// NewLoadPlanner returns a planner without assignments.
func NewLoadPlanner() *LoadPlanner {
	return &LoadPlanner{assigned: map[string]map[string]bool{}, engines: map[string]*engineStatus{}, newest: map[string]modelVersion{}}
}

// Next returns the loads to order at now. newest holds the newest published
// version by model.
func (p *LoadPlanner) Next(engines []Engine, models []string, newest map[string]int64, now time.Time) []Load {
	p.observe(engines, now)
	p.setVersions(newest, now)
	p.assign(engines, models)
	most := max(minConcurrentLoads, int(math.Round(maxLoadingShare*float64(len(engines)))))
	inProgress := p.countLoading(now, "")
	slots := p.limit.allowed(most, inProgress) - inProgress
	var loads []Load
	busy := map[string]bool{}
	queues := p.loadQueues(engines, now)
	for len(loads) < slots {
		l, ok := nextLoad(queues)
		if !ok {
			break
		}
		if busy[l.Engine] || (l.oneBehind && p.countLoading(now, l.Model) >= max(1, len(p.assigned[l.Model])/modelLoadDivisor)) {
			continue
		}
		queues[l.Model].add(l)
		busy[l.Engine] = true
		state := p.engines[l.Engine]
		loads = append(loads, l.Load)
		state.pending, state.sentAt, state.progress = l.Load, now, loadProgress{concurrent: inProgress + len(loads), known: true}
	}
	return loads
}

// observe updates the state of all engines and drops engines that are no longer
// listed.
func (p *LoadPlanner) observe(engines []Engine, now time.Time) {
	listed := map[string]bool{}
	for _, e := range engines {
		listed[e.ID] = true
		s := p.engines[e.ID]
		if s == nil || s.started != e.Started {
			s = &engineStatus{started: e.Started, accepted: UnknownOrders}
			p.engines[e.ID] = s
		}
		switch {
		case s.pending.Model == "":
		case e.Models[s.pending.Model] >= s.pending.Version:
			s.pending, s.failures, s.progress.busy = Load{}, 0, false
		case now.Sub(s.sentAt) > orderTimeout:
			s.pending, s.failures = Load{}, 0
		}
	}
	maps.DeleteFunc(p.engines, func(id string, _ *engineStatus) bool { return !listed[id] })
}

func (p *LoadPlanner) setVersions(newest map[string]int64, now time.Time) {
	for model, version := range newest {
		if version > p.newest[model].version {
			p.newest[model] = modelVersion{version, now}
		}
	}
}

// assign assigns engines to each model. It prefers engines that serve a newer
// version of the model, so that a new holder of the role keeps the assignments of
// its predecessor. It assigns no engine to a second model while another engine is
// unassigned: two models on one engine share its slots and double its loads.
func (p *LoadPlanner) assign(engines []Engine, models []string) {
	if len(models) == 0 {
		return
	}
	assigned := p.countAssigned(models)
	p.releaseShared(engines, models, assigned)
	for n, m := range models {
		quota := len(engines) / len(models)
		if n < len(engines)%len(models) {
			quota++
		}
		missing := max(1, quota) - len(p.assigned[m])
		if missing <= 0 {
			continue // usual in steady state, and much cheaper than sorting all engines
		}
		candidates := slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return p.assigned[m][e.ID] })
		slices.SortFunc(candidates, func(a, b Engine) int {
			return cmp.Or(assigned[a.ID]-assigned[b.ID], cmp.Compare(loadedVersion(b, m), loadedVersion(a, m)), cmp.Compare(hashID(a.ID), hashID(b.ID)))
		})
		for _, e := range candidates[:min(len(candidates), missing)] {
			p.assigned[m][e.ID] = true
			assigned[e.ID]++
		}
	}
}

// countAssigned returns the number of models assigned to each engine. It removes
// the assignments of engines that are no longer listed.
func (p *LoadPlanner) countAssigned(models []string) map[string]int {
	assigned := map[string]int{}
	for _, m := range models {
		if p.assigned[m] == nil {
			p.assigned[m] = map[string]bool{}
		}
		maps.DeleteFunc(p.assigned[m], func(id string, _ bool) bool { return p.engines[id] == nil })
		for id := range p.assigned[m] {
			assigned[id]++
		}
	}
	return assigned
}

// releaseShared removes models from engines with several assigned models, one for
// each unassigned engine.
func (p *LoadPlanner) releaseShared(engines []Engine, models []string, assigned map[string]int) {
	idle := 0
	for _, e := range engines {
		if assigned[e.ID] == 0 {
			idle++
		}
	}
	for _, e := range engines {
		for _, m := range models {
			if idle > 0 && assigned[e.ID] > 1 && p.assigned[m][e.ID] {
				delete(p.assigned[m], e.ID)
				assigned[e.ID]--
				idle--
			}
		}
	}
}

// loadedVersion returns the version of model that the engine serves. It returns 0 for
// the first version, which every engine serves without a load.
func loadedVersion(e Engine, model string) int64 {
	if v := e.Models[model]; v > 1 {
		return v
	}
	return 0
}

func hashID(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never returns an error
	return h.Sum32()
}

// dueLoad is a load of a version that an engine does not serve yet.
type dueLoad struct {
	Load
	lag           int64 // number of versions that the engine is behind
	versionSeenAt time.Time
	oneBehind     bool // lag is 1: the served version is still usable for current requests
}

// loadQueue holds the due loads of one model, those of the most outdated engines first,
// and the state of the engines that are assigned to the model.
type loadQueue struct {
	loads    []dueLoad
	assigned int
	usable   int // engines that serve or load a version at most one behind the newest
	current  int // engines that serve or load the newest version
}

// add counts an engine that loads the newest version.
func (q *loadQueue) add(l dueLoad) {
	q.current++
	if !l.oneBehind {
		q.usable++
	}
}

// share returns the fraction of the model's engines that need no load as urgent as l.
func (q *loadQueue) share(l dueLoad) float64 {
	if l.oneBehind {
		return float64(q.current) / float64(max(1, q.assigned))
	}
	return float64(q.usable) / float64(max(1, q.assigned))
}

// loadQueues returns the due loads by model.
func (p *LoadPlanner) loadQueues(engines []Engine, now time.Time) map[string]*loadQueue {
	queues := map[string]*loadQueue{}
	for model := range p.newest {
		queues[model] = &loadQueue{assigned: len(p.assigned[model])}
	}
	for _, e := range engines {
		for model, newest := range p.newest {
			if p.assigned[model][e.ID] {
				p.addEngine(queues[model], e, model, newest, now)
			}
		}
	}
	for _, q := range queues {
		slices.SortFunc(q.loads, func(a, b dueLoad) int {
			return cmp.Or(cmp.Compare(b.lag, a.lag), cmp.Compare(hashID(a.Engine), hashID(b.Engine)))
		})
	}
	return queues
}

// addEngine adds the state of an engine, and its load if one is due, to the queue of a
// model that is assigned to it.
func (p *LoadPlanner) addEngine(q *loadQueue, e Engine, model string, newest modelVersion, now time.Time) {
	state := p.engines[e.ID]
	expected := e.Models[model] // version after the pending load
	if state.pending.Model == model {
		expected = max(expected, state.pending.Version)
	}
	if newest.version-expected <= 1 {
		q.usable++
	}
	if expected >= newest.version {
		q.current++
	}
	lag := newest.version - e.Models[model]
	if state.pending.Model != "" || state.progress.busy || now.Before(state.retryAt) || lag <= 0 {
		return
	}
	l := Load{Engine: e.ID, Model: model, Version: newest.version, Accepted: state.accepted}
	q.loads = append(q.loads, dueLoad{Load: l, lag: lag, versionSeenAt: newest.seenAt, oneBehind: lag == 1})
}

// nextLoad removes the most urgent load from the queues: first that of an engine whose
// version is no longer usable, then that of the model with the smallest share of such
// engines, then that of the most outdated engine.
//
// Load pattern: after an outage several models have new versions at the same moment, and
// few engines may load at once. A trainer that is further behind than others must not
// keep all loads from a model that no engine can serve.
func nextLoad(queues map[string]*loadQueue) (dueLoad, bool) {
	var best *loadQueue
	for _, q := range queues {
		if len(q.loads) > 0 && (best == nil || compareLoads(q, best) < 0) {
			best = q
		}
	}
	if best == nil {
		return dueLoad{}, false
	}
	l := best.loads[0]
	best.loads = best.loads[1:]
	return l, true
}

func compareLoads(a, b *loadQueue) int {
	x, y := a.loads[0], b.loads[0]
	const unusableLag = 2 // of a version that requests of the current step may no longer use
	return cmp.Or(cmp.Compare(min(y.lag, unusableLag), min(x.lag, unusableLag)), cmp.Compare(a.share(x), b.share(y)), cmp.Compare(y.lag, x.lag),
		x.versionSeenAt.Compare(y.versionSeenAt), cmp.Compare(hashID(x.Engine), hashID(y.Engine)), cmp.Compare(x.Model, y.Model))
}

// Accepted records that the engine accepted the order l. before is the number of
// orders that it had accepted before.
func (p *LoadPlanner) Accepted(l Load, before int64) {
	if s := p.engines[l.Engine]; s != nil && s.pending == l {
		s.accepted = before + 1
		s.progress.accepted = true
	}
}

// Rejected records that the order l was not accepted or that its outcome is unknown.
// reported is the number of accepted orders that the engine reports, or UnknownOrders.
func (p *LoadPlanner) Rejected(l Load, reported int64, now time.Time) {
	s := p.engines[l.Engine]
	if s == nil || s.pending != l {
		return
	}
	s.pending = Load{}
	s.retryAt = now.Add(retryDelay << min(s.failures, maxRetryDoublings))
	s.failures++
	s.accepted = reported
}
