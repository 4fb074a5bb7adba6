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

// BenchmarkJudge is one pass over the runs of the largest fleet aimed at: 800 items at
// 640 engines. A pass is made ten times a second.
func BenchmarkJudge(b *testing.B) {
	ro := roster.New()
	now := clockwork.NewRealClock().Now()
	for n := range 640 {
		id := fmt.Sprint("e", n)
		ro.Put(roster.Entry{ID: id, Service: "lm", Slots: 8, Ready: true, Started: 1, Models: map[string]int64{"m": 1}})
		ro.ObserveEventInterval(id, time.Duration(40+n%20)*time.Millisecond, now)
	}
	cat := &catalog.Catalog{Services: map[string]catalog.Service{"lm": {Name: "lm", KVTokens: 63722}}}
	r := NewRunner(Options{Name: "a", Store: NewStore(memstore.New(), "a"), Roster: ro, Catalog: func() *catalog.Catalog { return cat }, Clock: clockwork.NewRealClock(), Log: zap.NewNop()})
	s := submission("l", 800)
	j := newJob(Stored{ID: "l"}, s, NewLedger(800), func(*Item) *Partial { return nil }, Limits{Due: time.Minute, MaxAge: time.Minute}, now)
	_, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	i := 0
	for _, st := range j.items {
		up := fmt.Sprint("e", i%640)
		i++
		st.running = &run{upstream: up, service: "lm", begun: now.Add(time.Hour), sign: now.Add(time.Hour), cancel: cancel}
		ro.Begin(up, st.item.ID, st.memory())
	}
	r.jobs["l"] = j
	b.ResetTimer()
	for range b.N {
		r.judge()
	}
}
