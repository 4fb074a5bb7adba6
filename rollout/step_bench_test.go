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
	benchBatchSamples = 64
	benchTextBytes    = 4 << 10 // size of the text of a sample
	benchConcurrency  = 40      // samples that run concurrently
)

// fixedSizeGenerator generates samples with benchTextBytes of text and records the
// highest number of goroutines.
type fixedSizeGenerator struct{ maxGoroutines atomic.Int64 }

func (g *fixedSizeGenerator) Limit(string) int { return benchConcurrency }

func (g *fixedSizeGenerator) Generate(_ context.Context, request rollout.SampleRequest) (rollout.Sample, error) {
	g.maxGoroutines.Store(max(g.maxGoroutines.Load(), int64(runtime.NumGoroutine())))
	request.OnTokens(request.MinWeightVersion+1, 1)
	return rollout.Sample{
		Step: request.Step, Number: request.Number, Group: request.Group.ID, Index: request.Index,
		Completion: attempt.Completion{
			Text: strings.Repeat("x", benchTextBytes), FinishReason: "stop", OutputTokens: 1,
			Ranges: []attempt.Range{{WeightVersion: request.MinWeightVersion + 1, Tokens: 1}},
		},
	}, nil
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkStep starts a step, waits until no sample is running and pulls all its
// batches.
func BenchmarkStep(b *testing.B) {
	for _, samples := range []int{1024, 4096, 8192} {
		for _, wholeGroups := range []bool{false, true} {
			b.Run(fmt.Sprintf("samples=%d/wholeGroups=%t", samples, wholeGroups), func(b *testing.B) { benchmarkStep(b, samples, wholeGroups) })
		}
	}
}

func benchmarkStep(b *testing.B, samples int, wholeGroups bool) {
	ctx := context.Background()
	var pullNanos, bytesPerSample, writes, ledgerBytes, goroutines float64
	for range b.N {
		store, generator := memstore.New(), &fixedSizeGenerator{}
		if err := rollout.Create(ctx, store, rollout.RunSpec{Run: "r", Model: "m", MaxStaleness: 1, BatchSamples: benchBatchSamples}, "t", "i"); err != nil {
			b.Fatal(err)
		}
		home, err := rollout.Open(ctx, store, generator, clockwork.NewRealClock(), "r", "i")
		if err != nil {
			b.Fatal(err)
		}
		before := heapBytes()
		spec := newStepSpec(1, 1, samples/8, 8)
		spec.WholeGroups = wholeGroups
		if err := home.StartStep(ctx, spec); err != nil {
			b.Fatal(err)
		}
		for s := home.Progress().Steps[0]; s.Running > 0 || s.Ready == 0; s = home.Progress().Steps[0] {
			time.Sleep(time.Millisecond)
		}
		ready := home.Progress().Steps[0].Ready
		bytesPerSample += float64(heapBytes()-before) / float64(ready)
		started := time.Now()
		for consumed := range int64(samples / benchBatchSamples) {
			if _, err := home.Pull(ctx, rollout.PullRequest{Consumed: consumed, WaitSeconds: 10}); err != nil {
				b.Fatal(err)
			}
		}
		pullNanos += float64(time.Since(started).Nanoseconds()) / float64(samples/benchBatchSamples)
		home.Tick(time.Hour)
		for _, w := range store.Writes() {
			writes++
			if w.Kind == objects.KindRun {
				ledgerBytes += float64(w.Bytes)
			}
		}
		goroutines = max(goroutines, float64(generator.maxGoroutines.Load()))
		home.Stop()
	}
	n := float64(b.N)
	b.ReportMetric(pullNanos/n, "ns/pull")
	b.ReportMetric(bytesPerSample/n, "heapB/sample")
	b.ReportMetric(writes/n, "writes/step")
	b.ReportMetric(ledgerBytes/n/(writes/n), "ledgerB/write")
	b.ReportMetric(goroutines, "goroutines")
}
