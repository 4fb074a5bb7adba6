package batch

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/catalog"
	"github.com/pomelocross/pomelocross/forward"
	"github.com/pomelocross/pomelocross/upstream"
)

// RewardCaller sends reward calls. forward.Forwarder implements it.
type RewardCaller interface {
	Do(ctx context.Context, r forward.Request) forward.Response
}

// waitingReward is an item that waits for its reward.
type waitingReward struct {
	RewardCandidate
	job   *job
	state *itemState
}

// dispatchRewards starts the reward calls for which there is capacity. The caller holds
// mu.
func (r *Runner) dispatchRewards(ctx context.Context, config *catalog.Catalog, now time.Time) {
	running := map[string]int{} // by route
	var list []waitingReward
	for _, j := range r.jobs {
		if j.open() {
			list = append(list, j.waitingRewards(config, running, now)...)
		}
	}
	slices.SortStableFunc(list, func(a, b waitingReward) int { return CompareRewards(a.RewardCandidate, b.RewardCandidate) })
	for _, w := range list {
		route, found := rewardRoute(config, w.state.item.Reward)
		if !found || running[route.Name] >= RewardCapacity(r.routeSlots(route)) {
			continue
		}
		if !r.mayStart(ctx, w.job, now) {
			continue
		}
		running[route.Name]++
		r.startReward(ctx, w, route, now)
	}
}

// rewardRoute returns the route of a reward call; false while there is none.
func rewardRoute(config *catalog.Catalog, call *RewardCall) (catalog.Route, bool) {
	path, _, _ := strings.Cut(call.Path, "?")
	return config.Match(call.Host, path)
}

// routeSlots returns the number of slots of the services of a route.
func (r *Runner) routeSlots(route catalog.Route) int {
	slots := 0
	for _, share := range route.Shares {
		slots += r.Roster.Slots(share.Service)
	}
	return slots
}

// waitingRewards returns the job's items whose reward call can start, and counts the
// running calls by route.
func (j *job) waitingRewards(config *catalog.Catalog, running map[string]int, now time.Time) []waitingReward {
	var list []waitingReward
	for _, s := range j.items {
		switch {
		case !s.whole:
		case s.reward.cancel != nil:
			if route, found := rewardRoute(config, s.item.Reward); found {
				running[route.Name]++
			}
		case !now.Before(s.reward.notUntil):
			list = append(list, waitingReward{job: j, state: s, RewardCandidate: RewardCandidate{Due: j.due, Since: s.reward.since}})
		}
	}
	if len(list) == 0 {
		return nil
	}
	required, open := j.requiredGroups()
	for n := range list {
		group := list[n].state.item.Group
		list[n].Required, list[n].GroupOpen = required[group], open[group]
	}
	return list
}

// requiredGroups returns which groups the trainer waits for, and the number of items
// without a result by group.
func (j *job) requiredGroups() (required map[string]bool, open map[string]int) {
	required, open = map[string]bool{}, map[string]int{}
	groups := OrderGroups(j.orderState(func(string) bool { return false }))
	for rank, g := range groups {
		required[g.Name], open[g.Name] = rank < j.sub.Desired, g.Open
	}
	return required, open
}

// startReward makes the reward call of an item in a new goroutine. The caller holds mu.
func (r *Runner) startReward(ctx context.Context, w waitingReward, route catalog.Route, now time.Time) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	w.state.reward.cancel = cancel
	call := w.state.item.Reward
	request := forward.Request{
		Route: route, ReservedSlots: rewardReservedSlots,
		Forward: upstream.Forward{
			ID: call.ID, Method: "POST", Host: call.Host, Target: call.Path, Body: call.Body, Budget: route.Timeout,
			Permit: r.permit(ctx, w.job, w.state.item.ID, cancel),
		},
	}
	r.recordHeadAge(w.job, now)
	r.attempts.Go(func() {
		response := r.Rewards.Do(ctx, request)
		cancel(nil)
		r.finishReward(w, route, response, now)
	})
}

// finishReward handles the response to a reward call that started at a given time. It
// records the result of the item or lets the call be repeated.
func (r *Runner) finishReward(w waitingReward, route catalog.Route, response forward.Response, started time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.Signal()
	state, reward, now := w.state, &w.state.reward, r.Clock.Now()
	reward.cancel = nil
	if !w.job.open() || w.job.items[state.item.ID] != state {
		return
	}
	sent := response.Tally.Sent > 0
	if sent {
		reward.calls++
	}
	reward.failures += response.Tally.Failed
	itemRoute, _ := r.Catalog().Route(w.job.head.Route)
	verdict := judgeReward(response, reward.failures, max(1, route.Attempts, itemRoute.Attempts))
	if sent && r.RecordReward != nil {
		r.RecordReward(verdict.String(), now.Sub(started))
	}
	fields := []zap.Field{
		zap.String("batch", w.job.head.ID), zap.String("item", state.item.ID), zap.String("request", state.item.Reward.ID), zap.String("route", route.Name),
		zap.Int("status", response.Status), zap.String("upstream", response.From), zap.Int("calls", reward.calls), zap.Int("failures", reward.failures), zap.Duration("waited", now.Sub(reward.since)),
	}
	switch verdict {
	case rewardValid:
		r.Log.Info("item has its reward", fields...)
		reward.value = response.Signature
		r.recordComplete(w.job, state)
	case rewardFails:
		r.Log.Info("reward call failed at all allowed attempts; the item is abandoned", fields...)
		w.job.recordResult(Result{ID: state.item.ID, State: Dead})
	default:
		reward.notUntil = now.Add(rewardPause(reward.calls, sent))
		if sent {
			r.Log.Info("reward call brought no reward; repeating it after a pause", fields...)
		}
	}
}
