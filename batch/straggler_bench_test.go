package batch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/catalog"
	"github.com/pomelocross/pomelocross/internal/memstore"
	"github.com/pomelocross/pomelocross/roster"
)

// BenchmarkCheckStragglers measures one check of all running items in the largest
// target fleet: 800 items on 640 engines. The check runs ten times a second.
func BenchmarkCheckStragglers(b *testing.B) {
	engines := roster.New()
	now := clockwork.NewRealClock().Now()
	for n := range 640 {
		id := fmt.Sprint("e", n)
		engines.Put(roster.Entry{ID: id, Service: "lm", Slots: 8, Ready: true, Started: 1, Models: map[string]int64{"m": 1}})
		engines.ObserveEventInterval(id, time.Duration(40+n%20)*time.Millisecond, now)
	}
	cat := &catalog.Catalog{Services: map[string]catalog.Service{"lm": {Name: "lm", KVTokens: 63722}}}
	r := NewRunner(Options{Name: "a", Store: NewStore(memstore.New(), "a"), Roster: engines, Catalog: func() *catalog.Catalog { return cat }, Clock: clockwork.NewRealClock(), Log: zap.NewNop()})
	s := submission("l", 800)
	j := newJob(Stored{ID: "l"}, s, NewResultLog(800), func(*Item) *Partial { return nil }, Limits{Due: time.Minute, MaxAge: time.Minute}, now)
	_, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	i := 0
	for _, state := range j.items {
		engineID := fmt.Sprint("e", i%640)
		i++
		state.running = &attempt{upstream: engineID, service: "lm", started: now.Add(time.Hour), lastActivity: now.Add(time.Hour), cancel: cancel}
		engines.Begin(engineID, state.item.ID, state.memory())
	}
	r.jobs["l"] = j
	b.ResetTimer()
	for range b.N {
		r.checkStragglers()
	}
}
