package batch

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/pomelocross/pomelocross/catalog"
	"github.com/pomelocross/pomelocross/cost"
	"github.com/pomelocross/pomelocross/room"
	"github.com/pomelocross/pomelocross/roster"
	"github.com/pomelocross/pomelocross/upstream"
)

// Causes for which an attempt is cancelled.
var (
	errEnded        = errors.New("the batch has ended")
	errOwnerChanged = errors.New("another instance owns the batch")
	errStopping     = errors.New("the instance is stopping")
	errMoved        = errors.New("the item is moved to another engine")
)

// Options are the settings and dependencies of a Runner.
type Options struct {
	Name    string // name of this instance
	Peer    string // IP:port at which other instances reach this one
	Domain  string // failure domain of this instance
	Store   *Store
	Roster  *roster.Roster
	Engines upstream.Forwarder
	Rewards RewardCaller
	Costs   *cost.Book              // learns the work of items; nil to use only what callers state
	Catalog func() *catalog.Catalog // returns nil until a catalog is available
	// LimitsOf returns the limits of a batch by its route as now known.
	LimitsOf func(Head) Limits
	Clock    clockwork.Clock
	// Wall returns the wall clock time corrected for steps of the machine's clock. It
	// is used for the age of stored batches. The default is time.Now.
	Wall func() time.Time
	Log  *zap.Logger
	// RecordReward is called after each reward call that may have reached an upstream,
	// with its outcome and duration; it may be nil.
	RecordReward func(outcome string, took time.Duration)
	// RecordWork is called for each complete item whose work was predicted at its last
	// sending, with the prediction and the events generated since; it may be nil.
	RecordWork func(predicted cost.Estimate, work float64)
	// Record is called after each attempt that got a response from an engine, with
	// its outcome and duration; it may be nil.
	Record func(outcome string, took time.Duration)
	// RecordMove is called for each move of an item to another engine; it may be nil.
	RecordMove func(MoveReason)
	// EndBound is the time within which the end of a batch, once it is stored, must stop
	// items from reaching engines. It must exceed upstream.DeliveryTimeout; 0 means that
	// items are sent whatever the age of the head.
	EndBound time.Duration
	// RecordHeadAge is called at each sending of an item or reward call with the time
	// since the head of its batch was confirmed by the store; it may be nil.
	RecordHeadAge func(age time.Duration)
	// Retention and RetentionBytes limit how long, and with how many bytes in total, the
	// bodies and results of ended batches stay in memory for reads.
	Retention      time.Duration
	RetentionBytes int
	Room           *RoomSharing // nil if room is not shared with other owners
	// BodyBytes limits the bodies of open batches in memory, beyond a single batch; 0 for
	// no limit.
	BodyBytes int
}

// Runner runs the batches that this instance owns.
type Runner struct {
	Options
	wake chan struct{}

	mu            sync.Mutex // guards all below and every job
	jobs          map[string]*job
	reserved      map[string]reservation // by batch ID
	texts         *textCache
	lastCheck     time.Time     // of stragglers
	resumed       time.Time     // when this instance was last found to have been paused
	eventInterval time.Duration // moving average of the time between events of an item
	headNotices   map[string]headNotice
	headReads     singleflight.Group // by batch ID
	sharing       sharing
	trainers      trainers
	stopping      bool
	attempts      sync.WaitGroup // running attempts and checkpoints
	writers       sync.WaitGroup // goroutines that write chunks
}

// NewRunner returns a Runner without batches.
func NewRunner(o Options) *Runner {
	if o.Wall == nil {
		o.Wall = time.Now
	}
	return &Runner{Options: o, wake: make(chan struct{}, 1), jobs: map[string]*job{}, reserved: map[string]reservation{}, texts: newTextCache(), eventInterval: initialEventInterval, headNotices: map[string]headNotice{}, sharing: sharing{yields: map[string]*room.Yield{}, logged: map[string]time.Time{}}, trainers: trainers{}}
}

const (
	// dispatchInterval is how often queued items are dispatched if no Signal triggers it
	// earlier. The load that other instances put on the engines changes too.
	dispatchInterval = 50 * time.Millisecond
	// stragglerInterval is how often running items are checked for stragglers.
	stragglerInterval = 100 * time.Millisecond
)

// Run dispatches items to engines until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	dispatch := r.Clock.NewTicker(dispatchInterval)
	defer dispatch.Stop()
	stragglers := r.Clock.NewTicker(stragglerInterval)
	defer stragglers.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-dispatch.Chan():
		case <-stragglers.Chan():
			r.checkStragglers()
			r.cleanUp()
		}
		r.dispatch(ctx)
	}
}

// Signal triggers an immediate dispatch of queued items.
func (r *Runner) Signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// queuedItem is an item that waits for an engine.
type queuedItem struct {
	Candidate
	job      *job
	state    *itemState
	required requirement // once its route is known
}

// slack returns the time by which the item may still wait. Items that the trainer does not
// wait for yield to all others.
func (q queuedItem) slack(now time.Time) time.Duration {
	slack := q.LatestStart.Sub(now)
	if !q.Required {
		slack += unneededSlack
	}
	return slack
}

// requirement identifies items that can run on the same engines.
type requirement struct {
	service, model string
	minVersion     int64 // lowest acceptable weight version
}

// compareRequirements orders requirements.
func compareRequirements(a, b requirement) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.model, b.model), cmp.Compare(a.minVersion, b.minVersion))
}

// dispatch sends queued items to engines with free capacity.
func (r *Runner) dispatch(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping || len(r.jobs) == 0 {
		return
	}
	now, config := r.Clock.Now(), r.Catalog()
	if config == nil {
		return
	}
	defer r.logTrusts(now)
	noCapacity, pass, list := map[requirement]bool{}, r.newRoomPass(now), r.queue()
	for n := range list {
		q := &list[n]
		route, ok := q.job.head.RouteIn(config)
		if !ok {
			r.logRouteEnded(q.job, config)
			q.job.recordResult(Result{ID: q.state.item.ID, State: Dead})
			continue
		}
		q.required = q.requirementIn(route)
		r.tryStart(ctx, *q, route, config, noCapacity, pass, now)
	}
	r.finishRoomPass(pass, list, now)
	r.dispatchRewards(ctx, config, now)
}

// logRouteEnded logs, once for each job, that its route has ended. The caller holds mu.
func (r *Runner) logRouteEnded(j *job, config *catalog.Catalog) {
	if j.routeEndLogged {
		return
	}
	j.routeEndLogged = true
	var accepted int64
	if j.head.Accepted != nil {
		accepted = j.head.Accepted.Config
	}
	r.Log.Info("route of the batch has ended; its waiting items are abandoned", zap.String("batch", j.id), zap.String("route", j.head.Route),
		zap.Int64("config", config.Version), zap.Int64("acceptedUnder", accepted))
}

// requirementIn returns the requirement of the item on its route.
func (q queuedItem) requirementIn(route catalog.Route) requirement {
	service := route.ServiceOf(0)
	if len(route.Shares) > 1 {
		service = route.ServiceOf(hashFraction(q.state.item.ID))
	}
	return requirement{service, q.state.item.Model, q.job.sub.MinVersion}
}

// tryStart sends one item if an engine has capacity for it. noCapacity collects the
// requirements for which no engine has capacity. The caller holds mu.
func (r *Runner) tryStart(ctx context.Context, q queuedItem, route catalog.Route, config *catalog.Catalog, noCapacity map[requirement]bool, pass *roomPass, now time.Time) {
	required := q.required
	if !q.state.mayFailAgain(route.Attempts) || noCapacity[required] || q.job.awaitsConfirmation(now, r.trusts(q.job, now)) {
		return
	}
	need := r.need(q.job, q.state, config.Service(required.service))
	need.Avoid = map[string]bool{q.state.avoid: true}
	choice, ok := r.Roster.Pick(need, now)
	if !ok && q.state.avoid != "" {
		need.Avoid = nil
		choice, ok = r.Roster.Pick(need, now)
	}
	if !ok {
		noCapacity[required], pass.short[required] = true, true
		return
	}
	if len(pass.others) > 0 && !r.mayTake(pass, q, required, choice, now) {
		pass.short[required] = true
		return
	}
	if !r.mayStart(ctx, q.job, now) {
		return
	}
	r.start(ctx, q, route, choice, need, now)
}

// queue returns all queued items in dispatch order. The caller holds mu.
func (r *Runner) queue() []queuedItem {
	var list []queuedItem
	for _, j := range r.jobs {
		if j.open() {
			list = append(list, j.queue(r.texts, r.eventInterval, r.trainers.lag(j.trainer()))...)
		}
	}
	slices.SortStableFunc(list, func(a, b queuedItem) int { return CompareCandidates(a.Candidate, b.Candidate) })
	return list
}

// queue returns the job's queued items. eventInterval is the expected time between events,
// lag how far the trainer is behind.
func (j *job) queue(texts *textCache, eventInterval, lag time.Duration) []queuedItem {
	anyQueued := false
	for _, s := range j.items {
		anyQueued = anyQueued || s.queued()
	}
	if !anyQueued {
		return nil
	}
	required, rank := map[string]bool{}, 0
	resubmitted := map[string]bool{}
	for _, g := range OrderGroups(j.orderState(texts.seenGroup)) {
		resubmitted[g.Name] = g.Resubmitted
		if g.Open == 0 {
			rank++
			continue
		}
		required[g.Name] = g.Resubmitted || rank < j.sub.Desired
		rank++
	}
	var list []queuedItem
	for i := range j.sub.Items { // in submission order, which the stable sort keeps for equal items
		s := j.items[j.sub.Items[i].ID]
		if s == nil || !s.queued() {
			continue
		}
		list = append(list, queuedItem{job: j, state: s, Candidate: Candidate{
			LatestStart: j.due.Add(-time.Duration(remainingEvents(s))*eventInterval - lag), Required: required[s.item.Group], Resubmitted: resubmitted[s.item.Group],
		}})
	}
	return list
}

// start sends an item to an engine in a new goroutine. The caller holds mu.
func (r *Runner) start(ctx context.Context, q queuedItem, route catalog.Route, choice roster.Choice, need roster.Need, now time.Time) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	q.state.running = &attempt{upstream: choice.ID, service: choice.Service, started: now, lastActivity: now, cancel: cancel}
	if q.state.attempts == 0 {
		q.state.queueTime = now.Sub(q.state.added)
	}
	q.state.attempts++
	r.Roster.Begin(choice.ID, q.state.item.ID, need.Memory)
	r.recordChoice(q.state, choice, need.Work, now)
	var last *int64
	if q.state.events > 0 {
		id := q.state.lastEvent
		last = &id
	}
	item := q.state.item
	f := upstream.Forward{
		ID: item.ID, Method: "POST", Host: route.Host, Target: item.Path, Header: item.Header,
		Body: item.Body, Team: q.job.head.Team, LastEventID: last, Permit: r.permit(ctx, q.job, item.ID, cancel),
	}
	r.recordHeadAge(q.job, now)
	r.attempts.Go(func() {
		result := r.send(ctx, q, f, choice)
		cancel(nil)
		r.finishAttempt(q, result, route)
	})
}

// checkStragglers moves running items away from engines that have stopped sending
// events or have become slow.
func (r *Runner) checkStragglers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	r.resumed = resumeTime(r.lastCheck, r.resumed, now)
	r.lastCheck = now
	pass := stragglerPass{now: now, services: map[string]servicePace{}, taken: map[string]bool{}, longest: map[*job]int{}}
	for _, j := range r.jobs {
		for _, s := range j.items {
			if s.running != nil {
				r.checkAttempt(j, s, pass)
			}
		}
	}
}

// longestRequired returns the number of remaining events of the longest item of a job that
// the trainer waits for. The caller holds mu.
func (r *Runner) longestRequired(j *job, pass stragglerPass) int {
	events, known := pass.longest[j]
	if !known {
		events = longestRequired(j.remainingGroups(r.texts.seenGroup), j.sub.Desired)
		pass.longest[j] = events
	}
	return events
}

// remainingGroups returns the remaining work of all groups of a job.
func (j *job) remainingGroups(resubmitted func(group string) bool) []remainingGroup {
	var groups []remainingGroup
	index := map[string]int{}
	for i := range j.sub.Items {
		item := &j.sub.Items[i]
		n, known := index[item.Group]
		if !known {
			n = len(groups)
			index[item.Group] = n
			groups = append(groups, remainingGroup{resubmitted: resubmitted(item.Group)})
		}
		if s := j.items[item.ID]; s != nil && s.generating() {
			groups[n].events = max(groups[n].events, remainingEvents(s))
		}
	}
	return groups
}

// stragglerPass is the state of one check of all running items.
type stragglerPass struct {
	now      time.Time
	services map[string]servicePace
	// taken holds the engines that take an item in this pass. Each takes one, since their
	// requests are counted only once the item is sent.
	taken map[string]bool
	// longest holds the remaining events of the longest item that a trainer waits for, by
	// job, computed when first needed.
	longest map[*job]int
}

// servicePace is the pace of the engines of a service.
type servicePace struct {
	typicalInterval time.Duration
	uneven          bool
}

// service returns the pace of a service, which is computed once per pass.
func (p stragglerPass) service(name string, engines *roster.Roster) servicePace {
	pace, known := p.services[name]
	if !known {
		pace = servicePace{typicalInterval: engines.MedianEventInterval(name, p.now), uneven: engines.Pace().Uneven(name, p.now)}
		p.services[name] = pace
	}
	return pace
}

// checkAttempt cancels an attempt if its item should move to another engine. The caller
// holds mu.
func (r *Runner) checkAttempt(j *job, s *itemState, pass stragglerPass) {
	now, service := pass.now, pass.service(s.running.service, r.Roster)
	status := AttemptStatus{
		Started: s.running.started, LastActivity: later(s.running.lastActivity, r.resumed), Events: s.running.events,
		EventInterval: r.Roster.EventInterval(s.running.upstream, now), TypicalInterval: service.typicalInterval, PlaceInterval: service.typicalInterval,
		Uneven: service.uneven, Moves: s.moves, RemainingEvents: remainingEvents(s),
		EngineActivity: later(r.Roster.LastActivity(s.running.upstream), r.resumed), FasterAvailable: true, FreeElsewhere: true,
	}
	if service.uneven {
		status.Samples = r.Roster.PaceOf(s.running.upstream, now).Samples
	}
	reason, place := ShouldMove(status, now), ""
	if reason == Slow || reason == Queued { // evaluated last, since they scan all items and engines
		place = r.placeFor(j, s, pass)
		status.FreeElsewhere = place != ""
		if service.uneven {
			status.PlaceInterval = r.placeInterval(place, service, now)
			status.Horizon = time.Duration(r.longestRequired(j, pass)) * service.typicalInterval
		} else if reason == Slow {
			status.FasterAvailable = r.fasterEngineAvailable(j, s, now)
		}
		reason = ShouldMove(status, now)
	}
	if reason == Stay {
		return
	}
	if place != "" {
		pass.taken[place] = true
	}
	r.logMove(j, s, status, reason, place, now)
	if r.RecordMove != nil {
		r.RecordMove(reason)
	}
	if reason == Unresponsive {
		r.Roster.MarkFailed(s.running.upstream, now)
	}
	s.moves++
	s.avoid = s.running.upstream
	s.running.cancel(errMoved)
}

// logMove logs the move of an item and what it was decided by.
func (r *Runner) logMove(j *job, s *itemState, status AttemptStatus, reason MoveReason, place string, now time.Time) {
	fields := []zap.Field{
		zap.String("batch", j.head.ID), zap.String("item", s.item.ID), zap.String("upstream", s.running.upstream), zap.String("reason", string(reason)),
		zap.Int("events", s.events), zap.Int("remaining", status.RemainingEvents), zap.Duration("silence", now.Sub(s.running.lastActivity)),
		zap.Duration("pace", status.EventInterval), zap.Int("samples", status.Samples), zap.Duration("usual", status.TypicalInterval), zap.Bool("uneven", status.Uneven),
	}
	if place != "" {
		fields = append(fields, zap.String("place", place), zap.Duration("placePace", status.PlaceInterval), zap.Duration("horizon", status.Horizon), zap.Duration("gain", status.Gain()))
	}
	r.Log.Info("item moves to another engine", fields...)
}

// fasterEngineAvailable reports whether an engine that is faster than the item's engine
// by slowRatio has capacity for it.
func (r *Runner) fasterEngineAvailable(j *job, s *itemState, now time.Time) bool {
	config := r.Catalog()
	return config != nil && r.Roster.HasFaster(r.need(j, s, config.Service(s.running.service)), s.running.upstream, slowRatio, now)
}

// placeFor returns the engine that would take the item now; empty if none has capacity.
func (r *Runner) placeFor(j *job, s *itemState, pass stragglerPass) string {
	config := r.Catalog()
	if config == nil {
		return ""
	}
	need := r.need(j, s, config.Service(s.running.service))
	need.Avoid = map[string]bool{s.running.upstream: true}
	if pass.service(s.running.service, r.Roster).uneven {
		maps.Copy(need.Avoid, pass.taken)
	}
	choice, _ := r.Roster.Pick(need, pass.now)
	return choice.ID
}

// placeInterval returns the expected time between events on an engine; 0 if there is none.
// The less is known of the engine, the closer it is to that of the typical engine.
func (r *Runner) placeInterval(id string, service servicePace, now time.Time) time.Duration {
	if id == "" {
		return 0
	}
	return time.Duration(r.Roster.PaceOf(id, now).Ratio * float64(service.typicalInterval))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

const (
	// initialEventInterval is the assumed time between events until the first ones are
	// measured: tens of tokens at some tenths of a millisecond each.
	initialEventInterval = 40 * time.Millisecond
	// eventIntervalWeight is the weight of one event in the moving average. A step
	// produces thousands of events.
	eventIntervalWeight = 0.01
)

// eventTokens is the approximate number of tokens in an event. Engines send some tens
// of tokens in one event.
const eventTokens = 64

// remainingEvents estimates the number of events that an item still needs.
func remainingEvents(s *itemState) int {
	return max(s.events/4, s.item.Expected()/eventTokens-s.events, 1)
}

// cleanUp removes a job from memory if another instance owns it, if it ended longer than
// Retention ago, or if all its results are stored and it expired longer than Retention
// ago. If ended jobs exceed RetentionBytes, it removes those that ended first. Later
// reads of removed jobs use the store. It abandons the queued items of other expired
// jobs.
func (r *Runner) cleanUp() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	var ended []*job
	bytes := 0
	for id, j := range r.jobs {
		switch {
		case j.superseded, j.fullyStored() && now.Sub(j.endedAt) > r.Retention, j.results.Complete() && now.After(j.expires.Add(r.Retention)):
			delete(r.jobs, id)
		case j.fullyStored():
			ended = append(ended, j)
			bytes += j.bytes()
		case now.After(j.expires):
			r.expireItems(j, now)
		}
	}
	slices.SortFunc(ended, func(a, b *job) int { return a.endedAt.Compare(b.endedAt) })
	for _, j := range ended {
		if bytes <= r.RetentionBytes {
			return
		}
		bytes -= j.bytes()
		delete(r.jobs, j.head.ID)
	}
}

// expireItems abandons the queued items of a job that has exceeded the maximum age of
// its route. Their result is Dead. If the configuration has raised that age since the job
// was added, its expiry is postponed instead. The caller holds mu.
func (r *Runner) expireItems(j *job, now time.Time) {
	if expires := now.Add(r.LimitsOf(j.head.Head).remaining(j.head.Age(r.Wall())).MaxAge); expires.After(now) {
		j.expires = expires
		return
	}
	for id, s := range j.items {
		if s.running == nil && s.reward.cancel == nil {
			r.Log.Info("item exceeded the maximum age of its route and is abandoned", zap.String("batch", j.head.ID), zap.String("item", id), zap.Int("sendings", s.attempts))
			j.recordResult(Result{ID: id, State: Dead})
		}
	}
}

// reservation is the room of a batch that is being stored.
type reservation struct {
	bytes       int
	submissions int // that store it now
}

// reserve reserves room for the bodies of a batch beside those of the open batches and of other
// reservations, until the returned function is called. It returns nil if they don't fit. A batch
// that runs here or is being stored already needs no further room.
//
// Load pattern: callers submit many batches of the largest size at once. Each of them is kept
// until its items are done, which takes far longer than to submit it.
func (r *Runner) reserve(sub *Submission) (release func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, runs := r.jobs[sub.ID]; runs {
		return func() {}
	}
	own := r.reserved[sub.ID]
	held := r.heldBytes()
	if own.submissions == 0 && r.BodyBytes != 0 && held != 0 && held+sub.bytes() > r.BodyBytes {
		return nil
	}
	r.reserved[sub.ID] = reservation{max(own.bytes, sub.bytes()), own.submissions + 1}
	return func() { r.endReservation(sub.ID) }
}

func (r *Runner) endReservation(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := r.reserved[id]
	if own.submissions--; own.submissions == 0 {
		delete(r.reserved, id)
		return
	}
	r.reserved[id] = own
}

// heldBytes returns the size of the bodies of open batches and of those that are being stored. The
// caller holds mu.
func (r *Runner) heldBytes() int {
	held := 0
	for id, j := range r.jobs {
		if _, stored := r.reserved[id]; j.open() && !stored {
			held += j.sub.bytes()
		}
	}
	for _, own := range r.reserved {
		held += own.bytes
	}
	return held
}

// Open returns the number of open batches that run here.
func (r *Runner) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.openJobs()
}

// openJobs is Open; the caller holds mu.
func (r *Runner) openJobs() int {
	n := 0
	for _, j := range r.jobs {
		if j.open() {
			n++
		}
	}
	return n
}
