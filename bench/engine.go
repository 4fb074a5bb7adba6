package bench

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/upstream"
)

// The cost model of an engine that batches continuously.
const (
	promptTokenTime = 300 * time.Microsecond
	outputTokenTime = 15 * time.Millisecond // alone in the batch
	// batchPenalty is how much longer a token takes in a full batch.
	batchPenalty = 0.8
	// cachedPart is what a cached prefix still costs of its prompt's time.
	cachedPart = 0.1
	// cachedPrefixes is how many prefixes an engine's memory holds.
	cachedPrefixes = 24
	swapTime       = 3 * time.Second
	slowdown       = 8
)

// engine admits whatever it is sent; requests beyond its slots wait in order of
// arrival.
type engine struct {
	objects.Member
	clock   *clock
	slots   int
	down    bool
	slow    bool
	leaving bool
	version int64
	running map[*work]struct{}
	waiting []*work
	cache   *lru.Cache[uint64, struct{}]
	paused  time.Time // no request starts before; a weight swap
}

// work is one attempt of a request at an engine.
type work struct {
	request *request
	ended   func(failed bool, firstToken time.Duration)
	sent    time.Time
	first   time.Duration
}

func newEngine(m objects.Member, slots int, c *clock) *engine {
	cache, _ := lru.New[uint64, struct{}](cachedPrefixes) // fails only for a size below 1
	return &engine{Member: m, clock: c, slots: slots, version: 1, running: map[*work]struct{}{}, cache: cache}
}

func (e *engine) send(w *work) {
	w.sent = e.clock.now
	if e.down {
		e.clock.after(time.Millisecond, func() { w.ended(true, 0) })
		return
	}
	e.waiting = append(e.waiting, w)
	e.start()
}

// start begins waiting work while there are slots.
func (e *engine) start() {
	if e.clock.now.Before(e.paused) {
		return
	}
	for len(e.running) < e.slots && len(e.waiting) > 0 && !e.down {
		w := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running[w] = struct{}{}
		w.request.version = e.version
		w.first = e.clock.now.Sub(w.sent) + e.promptTime(w.request)
		took := e.promptTime(w.request) + e.tokenTime()*time.Duration(w.request.output)
		e.cache.Add(w.request.prefix, struct{}{})
		e.clock.after(took, func() { e.finish(w) })
	}
}

func (e *engine) finish(w *work) {
	if _, runs := e.running[w]; !runs {
		return
	}
	delete(e.running, w)
	w.ended(false, w.first)
	e.start()
}

func (e *engine) promptTime(r *request) time.Duration {
	took := promptTokenTime * time.Duration(r.prompt)
	if e.cache.Contains(r.prefix) {
		took = time.Duration(float64(took) * cachedPart)
	}
	return took * time.Duration(e.factor())
}

func (e *engine) tokenTime() time.Duration {
	full := float64(len(e.running)) / float64(e.slots)
	return time.Duration(float64(outputTokenTime)*(1+batchPenalty*full)) * time.Duration(e.factor())
}

func (e *engine) factor() int {
	if e.slow {
		return slowdown
	}
	return 1
}

// crash fails all work at once.
func (e *engine) crash() {
	e.down = true
	e.cache.Purge()
	failed := e.waiting
	for w := range e.running {
		failed = append(failed, w)
	}
	e.waiting, e.running = nil, map[*work]struct{}{}
	sortBySent(failed)
	for _, w := range failed {
		w.ended(true, 0)
	}
}

// swap loads a weight version; cached prefixes are void after it.
func (e *engine) swap(version int64) {
	e.paused = e.clock.now.Add(swapTime)
	e.clock.after(swapTime, func() {
		e.version = version
		e.cache.Purge()
		e.start()
	})
}

func (e *engine) load() upstream.Load {
	return upstream.Load{Running: len(e.running), Waiting: len(e.waiting), WeightVersion: e.version, FreeKV: 1}
}
