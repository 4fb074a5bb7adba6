package batch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/catalog"
	"github.com/pomelocross/pomelocross/roster"
	"github.com/pomelocross/pomelocross/upstream"
)

// Causes for which a run is cancelled.
var (
	errEnded = errors.New("the batch has ended")
	errLost  = errors.New("another instance runs the batch")
	errStop  = errors.New("the instance stops")
	errMoved = errors.New("the item goes on at another engine")
)

// Options of a Runner.
type Options struct {
	Name    string // of the instance
	Peer    string // IP:port for other instances
	Domain  string
	Store   *Store
	Roster  *roster.Roster
	Engines upstream.Forwarder
	Catalog func() *catalog.Catalog // nil until one is known
	Clock   clockwork.Clock
	// Wall returns the time of day without its steps, for ages of stored batches;
	// the machine's own where nil.
	Wall func() time.Time
	Log  *zap.Logger
	// Record is told of each finished sending of an item and its outcome.
	Record func(outcome string, took time.Duration)
	// Keep and KeepBytes bound how long and how many bytes of results of ended
	// batches stay in memory for reads.
	Retention      time.Duration
	RetentionBytes int
}

// Runner runs the batches that this instance owns.
type Runner struct {
	Options
	wake chan struct{}

	mu       sync.Mutex // guards all below and every job
	jobs     map[string]*job
	kept     *keptTexts
	pace     time.Duration        // mean time an event of late
	told     map[string]time.Time // ends of batches that do not run here, when told
	stopping bool
	running  sync.WaitGroup // of sendings
	writers  sync.WaitGroup // of chunks
}

// NewRunner returns a Runner without batches.
func NewRunner(o Options) *Runner {
	if o.Wall == nil {
		o.Wall = time.Now
	}
	return &Runner{Options: o, wake: make(chan struct{}, 1), jobs: map[string]*job{}, kept: newKeptTexts(), pace: firstPace, told: map[string]time.Time{}}
}

const (
	// dispatchInterval is how often waiting items are offered again when nothing
	// has changed here, since room at engines also comes from elsewhere.
	dispatchInterval = 50 * time.Millisecond
	// watchInterval is how often running items are judged.
	watchInterval = 100 * time.Millisecond
)

// Run dispatches until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	dispatch := r.Clock.NewTicker(dispatchInterval)
	defer dispatch.Stop()
	judge := r.Clock.NewTicker(watchInterval)
	defer judge.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-dispatch.Chan():
		case <-judge.Chan():
			r.judge()
			r.retire()
		}
		r.dispatch(ctx)
	}
}

// Signal has waiting items offered again at once.
func (r *Runner) Signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// waiting is an item that may be sent.
type waiting struct {
	Candidate
	job   *job
	state *itemState
}

// kind is what items that the same engines suit have in common.
type kind struct {
	service, model string
	least          int64 // weight version
}

// dispatch sends waiting items to engines with room.
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
	full := map[kind]bool{}
	for _, w := range r.queue() {
		route, ok := config.Route(w.job.head.Route)
		if !ok {
			w.job.finish(Result{ID: w.state.item.ID, State: Dead})
			continue
		}
		r.offer(ctx, w, route, config, full, now)
	}
}

// offer sends one item if an engine has room. full remembers needs that none had
// room for.
func (r *Runner) offer(ctx context.Context, w waiting, route catalog.Route, config *catalog.Catalog, full map[kind]bool, now time.Time) {
	service := route.ServiceOf(0)
	if len(route.Shares) > 1 {
		service = route.ServiceOf(drawOf(w.state.item.ID))
	}
	asked := kind{service, w.state.item.Model, w.job.sub.MinVersion}
	if full[asked] {
		return
	}
	need := r.need(w.job, w.state, config.Services[service])
	need.Avoid = map[string]bool{w.state.avoid: true}
	choice, ok := r.Roster.Pick(need, now)
	if !ok && w.state.avoid != "" {
		need.Avoid = nil
		choice, ok = r.Roster.Pick(need, now)
	}
	if !ok {
		full[asked] = true
		return
	}
	r.start(ctx, w, route, choice, need.Memory, now)
}

// need returns what an item asks of an engine.
func (r *Runner) need(j *job, s *itemState, service catalog.Service) roster.Need {
	return roster.Need{
		Service: service.Name, Model: s.item.Model, MinVersion: j.sub.MinVersion, Domain: r.Domain,
		KVTokens: service.KVTokens, Memory: s.memory(), Events: leftEvents(s),
	}
}

// queue returns all waiting items in the order in which they are offered.
func (r *Runner) queue() []waiting {
	var list []waiting
	for _, j := range r.jobs {
		if j.open() {
			list = append(list, j.queue(r.kept, r.pace)...)
		}
	}
	slices.SortStableFunc(list, func(a, b waiting) int { return Before(a.Candidate, b.Candidate) })
	return list
}

// queue returns the job's waiting items. pace is the time an event.
func (j *job) queue(kept *keptTexts, pace time.Duration) []waiting {
	idle := false
	for _, s := range j.items {
		idle = idle || s.running == nil
	}
	if !idle {
		return nil
	}
	wanted, done := map[string]bool{}, 0
	first := map[string]bool{}
	for _, g := range Wanted(j.standing(kept.asked)) {
		first[g.Name] = g.First
		if g.Open == 0 {
			done++
			continue
		}
		wanted[g.Name] = g.First || done < j.sub.Desired
		done++
	}
	var list []waiting
	for i := range j.sub.Items { // in the order of the submission, for ties
		s := j.items[j.sub.Items[i].ID]
		if s == nil || s.running != nil {
			continue
		}
		list = append(list, waiting{job: j, state: s, Candidate: Candidate{
			StartBy: j.due.Add(-time.Duration(leftEvents(s)) * pace), Wanted: wanted[s.item.Group], First: first[s.item.Group],
		}})
	}
	return list
}

// start sends an item. The caller holds mu.
func (r *Runner) start(ctx context.Context, w waiting, route catalog.Route, to roster.Choice, memory roster.Memory, now time.Time) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	w.state.running = &run{upstream: to.ID, service: to.Service, begun: now, sign: now, cancel: cancel}
	if w.state.sendings == 0 {
		w.state.waited = now.Sub(w.state.added)
	}
	w.state.sendings++
	r.Roster.Begin(to.ID, w.state.item.ID, memory)
	var last *int64
	if w.state.events > 0 {
		id := w.state.last
		last = &id
	}
	item := w.state.item
	f := upstream.Forward{
		ID: item.ID, Method: "POST", Host: route.Host, Target: item.Path, Header: item.Header,
		Body: item.Body, Team: w.job.head.Team, LastEventID: last,
	}
	r.running.Go(func() {
		end := r.send(ctx, w, f, to)
		cancel(nil)
		r.settle(w, end, route)
	})
}

// judge moves running items away from engines that went silent or slow.
func (r *Runner) judge() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	usual := map[string]time.Duration{} // pace by service, the same for all its runs
	for _, j := range r.jobs {
		for _, s := range j.items {
			if s.running == nil {
				continue
			}
			service := s.running.service
			if _, known := usual[service]; !known {
				usual[service] = r.Roster.MedianEventInterval(service, now)
			}
			r.judgeRun(j, s, usual[service], now)
		}
	}
}

func (r *Runner) judgeRun(j *job, s *itemState, usual time.Duration, now time.Time) {
	own := r.Roster.EventInterval(s.running.upstream, now)
	view := RunView{
		Begun: s.running.begun, LastSign: s.running.sign, Events: s.running.events,
		Own: own, Usual: usual, Moves: s.moves, LeftEvents: leftEvents(s), Free: true,
	}
	reason := ShouldMove(view, now)
	if reason == Slow { // only now: it looks at every engine
		view.Free = r.fasterFree(j, s, now)
		reason = ShouldMove(view, now)
	}
	if reason == Stay {
		return
	}
	r.Log.Info("item moves to another engine", zap.String("batch", j.head.ID), zap.String("item", s.item.ID),
		zap.String("upstream", s.running.upstream), zap.String("reason", string(reason)), zap.Int("events", s.events),
		zap.Duration("silence", now.Sub(s.running.sign)), zap.Duration("pace", own), zap.Duration("usual", usual))
	if reason == Silent {
		r.Roster.MarkFailed(s.running.upstream, now)
	}
	s.moves++
	s.avoid = s.running.upstream
	s.running.cancel(errMoved)
}

// fasterFree reports whether an engine that is clearly faster than the item's has room.
func (r *Runner) fasterFree(j *job, s *itemState, now time.Time) bool {
	config := r.Catalog()
	return config != nil && r.Roster.HasFaster(r.need(j, s, config.Services[s.running.service]), s.running.upstream, slowRatio, now)
}

const (
	// firstPace is the time an event that is believed before any was seen: tens of
	// tokens at some tenths of a millisecond each.
	firstPace = 40 * time.Millisecond
	// paceWeight is the weight of one event in the mean; a step makes thousands.
	paceWeight = 0.01
)

// eventTokens is about how many tokens an event carries: engines gather some tens.
const eventTokens = 64

// leftEvents estimates the events to come.
func leftEvents(s *itemState) int {
	return max(s.events/4, s.item.Expected()/eventTokens-s.events, 1)
}

// retire forgets jobs that need no memory here: lost ones, those past their time,
// and the oldest ended ones beyond the bound; later reads of these go to the store.
func (r *Runner) retire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	var ended []*job
	bytes := 0
	for id, j := range r.jobs {
		switch {
		case j.lost, j.settled() && now.Sub(j.endedAt) > r.Retention, j.ledger.Whole() && now.After(j.expires.Add(r.Retention)):
			delete(r.jobs, id)
		case j.settled():
			ended = append(ended, j)
			bytes += j.ledger.bytes
		case now.After(j.expires):
			r.giveUp(j)
		}
	}
	slices.SortFunc(ended, func(a, b *job) int { return a.endedAt.Compare(b.endedAt) })
	for _, j := range ended {
		if bytes <= r.RetentionBytes {
			return
		}
		bytes -= j.ledger.bytes
		delete(r.jobs, j.head.ID)
	}
}

// giveUp lists items as dead that wait beyond the age that their route allows. The
// caller holds mu.
func (r *Runner) giveUp(j *job) {
	for id, s := range j.items {
		if s.running == nil {
			r.Log.Info("item is given up for its age", zap.String("batch", j.head.ID), zap.String("item", id), zap.Int("sendings", s.sendings))
			j.finish(Result{ID: id, State: Dead})
		}
	}
}

// Open returns how many batches run here.
func (r *Runner) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, j := range r.jobs {
		if j.open() {
			n++
		}
	}
	return n
}
