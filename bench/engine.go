package bench

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/upstream"
)

// Cost model of an engine with continuous batching.
const (
	promptTokenTime = 300 * time.Microsecond
	outputTokenTime = 15 * time.Millisecond // in a batch of one
	// batchPenalty is the relative increase of the output token time in a full batch.
	batchPenalty = 0.8
	// cachedPromptFactor is the fraction of the prompt time that remains when the
	// prefix is cached.
	cachedPromptFactor = 0.1
	// prefixCacheSize is the number of prefixes that an engine caches.
	prefixCacheSize  = 24
	weightSwapTime   = 3 * time.Second
	slowEngineFactor = 8
)

// engine simulates an engine. It accepts every request while it is up; those beyond
// its slots wait in order of arrival.
type engine struct {
	objects.Member
	clock         *clock
	slots         int
	down          bool
	slow          bool
	leaving       bool
	weightVersion int64
	running       map[*attempt]struct{}
	waiting       []*attempt
	cache         *lru.Cache[uint64, struct{}]
	pausedUntil   time.Time // end of a weight swap; no request starts before
}

// attempt is one attempt to run a request on an engine.
type attempt struct {
	request    *request
	onEnd      func(failed bool, firstToken time.Duration)
	sentAt     time.Time
	firstToken time.Duration
}

func newEngine(m objects.Member, slots int, c *clock) *engine {
	cache, _ := lru.New[uint64, struct{}](prefixCacheSize) // fails only if the size is not positive
	return &engine{Member: m, clock: c, slots: slots, weightVersion: 1, running: map[*attempt]struct{}{}, cache: cache}
}

func (e *engine) submit(a *attempt) {
	a.sentAt = e.clock.now
	if e.down {
		e.clock.after(time.Millisecond, func() { a.onEnd(true, 0) })
		return
	}
	e.waiting = append(e.waiting, a)
	e.startWaiting()
}

// startWaiting starts waiting attempts while slots are free.
func (e *engine) startWaiting() {
	if e.clock.now.Before(e.pausedUntil) {
		return
	}
	for len(e.running) < e.slots && len(e.waiting) > 0 && !e.down {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running[a] = struct{}{}
		a.request.weightVersion = e.weightVersion
		a.firstToken = e.clock.now.Sub(a.sentAt) + e.promptTime(a.request)
		took := e.promptTime(a.request) + e.tokenTime()*time.Duration(a.request.outputTokens)
		e.cache.Add(a.request.prefix, struct{}{})
		e.clock.after(took, func() { e.finish(a) })
	}
}

func (e *engine) finish(a *attempt) {
	if _, runs := e.running[a]; !runs {
		return
	}
	delete(e.running, a)
	a.onEnd(false, a.firstToken)
	e.startWaiting()
}

func (e *engine) promptTime(r *request) time.Duration {
	took := promptTokenTime * time.Duration(r.promptTokens)
	if e.cache.Contains(r.prefix) {
		took = time.Duration(float64(took) * cachedPromptFactor)
	}
	return took * time.Duration(e.slowFactor())
}

func (e *engine) tokenTime() time.Duration {
	full := float64(len(e.running)) / float64(e.slots)
	return time.Duration(float64(outputTokenTime)*(1+batchPenalty*full)) * time.Duration(e.slowFactor())
}

func (e *engine) slowFactor() int {
	if e.slow {
		return slowEngineFactor
	}
	return 1
}

// crash stops the engine, clears its cache and fails all its attempts.
func (e *engine) crash() {
	e.down = true
	e.cache.Purge()
	failed := e.waiting
	for a := range e.running {
		failed = append(failed, a)
	}
	e.waiting, e.running = nil, map[*attempt]struct{}{}
	sortBySendTime(failed)
	for _, a := range failed {
		a.onEnd(true, 0)
	}
}

// swapWeights loads a weight version, which invalidates the cached prefixes.
func (e *engine) swapWeights(version int64) {
	e.pausedUntil = e.clock.now.Add(weightSwapTime)
	e.clock.after(weightSwapTime, func() {
		e.weightVersion = version
		e.cache.Purge()
		e.startWaiting()
	})
}

func (e *engine) loadReport() upstream.Load {
	return upstream.Load{Running: len(e.running), Waiting: len(e.waiting), WeightVersion: e.weightVersion, FreeKV: 1}
}
