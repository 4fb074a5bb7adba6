package rollout_test

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pomelocross/pomelocross/attempt"
	"github.com/pomelocross/pomelocross/internal/memstore"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/rollout"
)

const (
	benchBatch = 64
	benchText  = 4 << 10 // bytes of a sample's text
	benchLimit = 40      // samples at once
)

// sized generates samples of benchText bytes and counts goroutines.
type sized struct{ most atomic.Int64 }

func (g *sized) Limit(string) int { return benchLimit }

func (g *sized) Generate(_ context.Context, order rollout.SampleRequest) (rollout.Sample, error) {
	g.most.Store(max(g.most.Load(), int64(runtime.NumGoroutine())))
	order.OnTokens(order.MinWeightVersion+1, 1)
	return rollout.Sample{
		Step: order.Step, Number: order.Number, Group: order.Group.ID, Index: order.Index,
		Completion: attempt.Completion{
			Text: strings.Repeat("x", benchText), FinishReason: "stop", OutputTokens: 1,
			Ranges: []attempt.Range{{WeightVersion: order.MinWeightVersion + 1, Tokens: 1}},
		},
	}, nil
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkStep starts one step, waits until all samples are ready and pulls it.
func BenchmarkStep(b *testing.B) {
	for _, samples := range []int{1024, 4096, 8192} {
		for _, whole := range []bool{false, true} {
			b.Run(fmt.Sprintf("samples=%d/wholeGroups=%t", samples, whole), func(b *testing.B) { benchmarkStep(b, samples, whole) })
		}
	}
}

func benchmarkStep(b *testing.B, samples int, whole bool) {
	ctx := context.Background()
	var pulling, held, writes, written, goroutines float64
	for range b.N {
		store, generator := memstore.New(), &sized{}
		if err := rollout.Create(ctx, store, rollout.RunSpec{Run: "r", Model: "m", MaxStaleness: 1, BatchSamples: benchBatch}, "t", "i"); err != nil {
			b.Fatal(err)
		}
		home, err := rollout.Open(ctx, store, generator, clockwork.NewRealClock(), "r", "i")
		if err != nil {
			b.Fatal(err)
		}
		before := heap()
		spec := stepOf(1, 1, samples/8, 8)
		spec.WholeGroups = whole
		if err := home.StartStep(ctx, spec); err != nil {
			b.Fatal(err)
		}
		for s := home.Progress().Steps[0]; s.Running > 0 || s.Ready == 0; s = home.Progress().Steps[0] {
			time.Sleep(time.Millisecond)
		}
		ready := home.Progress().Steps[0].Ready
		held += float64(heap()-before) / float64(ready)
		began := time.Now()
		for consumed := range int64(samples / benchBatch) {
			if _, err := home.Pull(ctx, rollout.PullRequest{Consumed: consumed, WaitSeconds: 10}); err != nil {
				b.Fatal(err)
			}
		}
		pulling += float64(time.Since(began).Nanoseconds()) / float64(samples/benchBatch)
		home.Tick(time.Hour)
		for _, w := range store.Writes() {
			writes++
			if w.Kind == objects.KindRun {
				written += float64(w.Bytes)
			}
		}
		goroutines = max(goroutines, float64(generator.most.Load()))
		home.Stop()
	}
	n := float64(b.N)
	b.ReportMetric(pulling/n, "ns/pull")
	b.ReportMetric(held/n, "heapB/sample")
	b.ReportMetric(writes/n, "writes/step")
	b.ReportMetric(written/n/(writes/n), "ledgerB/write")
	b.ReportMetric(goroutines, "goroutines")
}
