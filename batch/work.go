package batch

import (
	"math"
	"time"

	"github.com/pomelocross/pomelocross/catalog"
	"github.com/pomelocross/pomelocross/cost"
	"github.com/pomelocross/pomelocross/roster"
)

// costRequest returns what predicts the work of an item.
func (j *job) costRequest(item *Item, service string) cost.Request {
	return cost.Request{
		Kind: cost.Stream, Service: service, Route: j.head.Route, Team: j.head.Team, Model: item.Model,
		Prompt: item.Prompt, Hint: item.Hint, Output: item.Output,
	}
}

// predictWork returns the predicted work of an item after the events that it has.
func (r *Runner) predictWork(j *job, s *itemState, service string) roster.Work {
	if r.Costs == nil {
		return roster.Work{}
	}
	request := j.costRequest(s.item, service)
	return roster.Work{Kind: cost.Stream, Estimate: r.Costs.Remaining(request, float64(s.events)), Typical: r.Costs.Typical(request)}
}

// need returns the requirements of an item on an engine. Where engines are chosen by
// predicted completion, learned costs replace what the caller stated.
func (r *Runner) need(j *job, s *itemState, service catalog.Service) roster.Need {
	need := roster.Need{
		Service: service.Name, Model: s.item.Model, MinVersion: j.sub.MinVersion, Domain: r.Domain,
		KVTokens: service.KVTokens, Memory: s.memory(), Events: remainingEvents(s),
	}
	if !r.Roster.PlacesByCompletion(service.Name, r.Clock.Now()) {
		return need
	}
	need.Work = r.predictWork(j, s, service.Name)
	if need.Work.Estimate.Known() {
		need.Events = max(1, min(int(math.Ceil(need.Work.Estimate.Mean)), s.eventLimit()))
		need.Memory.Growth = need.Events * eventTokens
	}
	return need
}

// eventLimit returns the number of events that the item may still generate by the maximum
// output that its caller allows.
func (s *itemState) eventLimit() int {
	if s.item.Output <= 0 {
		return math.MaxInt
	}
	return (s.item.Output+eventTokens-1)/eventTokens - s.events
}

// observeWork records the work of an item that is complete after an attempt.
func (r *Runner) observeWork(j *job, s *itemState, a *attempt) {
	if r.Costs == nil {
		return
	}
	r.Costs.Observe(j.costRequest(s.item, a.service), float64(s.events))
	if r.RecordWork != nil && a.predicted.Known() {
		r.RecordWork(a.predicted, float64(s.events-a.resumedEvents))
	}
}

// recordChoice keeps the choice of the engine for the running attempt of an item. The
// caller holds mu.
func (r *Runner) recordChoice(s *itemState, choice roster.Choice, work roster.Work, now time.Time) {
	s.running.choice, s.running.predicted, s.running.resumedEvents = choice.Terms, work.Estimate, s.events
	if choice.Terms != nil {
		r.Roster.SetWork(choice.ID, s.item.ID, choice.Work, now)
	}
}

// StatedEvents returns the number of events that an item is expected to generate by its
// caller's statement.
func (i *Item) StatedEvents() int { return max(1, i.Expected()/eventTokens) }

// ItemPlan is where an item of a batch is, or what it requires of an engine while it waits.
type ItemPlan struct {
	Item  string `json:"item"`
	Group string `json:"group,omitempty"`
	// Upstream is the engine that runs the item; empty while it waits.
	Upstream string      `json:"upstream,omitempty"`
	Need     roster.Need `json:"-"` // of a waiting item
}

// Plan returns the items of a batch that run or wait for an engine at this instance, the
// waiting ones in the order in which they are sent, and false if this instance does not run
// the batch.
func (r *Runner) Plan(id string) ([]ItemPlan, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j, config := r.jobs[id], r.Catalog()
	if j == nil || !j.open() || config == nil {
		return nil, false
	}
	route, ok := j.head.RouteIn(config)
	if !ok {
		return nil, false
	}
	var plans []ItemPlan
	for _, q := range r.queue() {
		if q.job == j {
			service := config.Service(route.ServiceOf(hashFraction(q.state.item.ID)))
			plans = append(plans, ItemPlan{Item: q.state.item.ID, Group: q.state.item.Group, Need: r.need(j, q.state, service)})
		}
	}
	for i := range j.sub.Items {
		if s := j.items[j.sub.Items[i].ID]; s != nil && s.running != nil {
			plans = append(plans, ItemPlan{Item: s.item.ID, Group: s.item.Group, Upstream: s.running.upstream})
		}
	}
	return plans, true
}
