package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelocross/pomelocross/contract"
)

// BenchmarkSwapShare plays one naming of weights in a domain of 53 engines for
// each way to bound the engines away at once.
func BenchmarkSwapShare(b *testing.B) {
	ways := []struct {
		name   string
		limits SwapLimits
	}{
		{"all", fixedShare(1)}, {"half", fixedShare(0.5)}, {"third", fixedShare(0.34)}, {"tenth", fixedShare(0.1)},
		{"inTime", DefaultSwapLimits()},
	}
	for _, way := range ways {
		for _, load := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second} {
			for _, store := range []int{53, 10} {
				b.Run(fmt.Sprintf("%s/load=%v/store=%d", way.name, load, store), func(b *testing.B) {
					var r result
					for range b.N {
						s := NewSwapper(way.limits)
						s.loadTime = load // as learned from earlier versions
						r = newDomainSim(53, load, store).play(s, time.Minute)
					}
					b.ReportMetric(r.last.Seconds(), "s-to-last")
					b.ReportMetric(float64(r.mostAway), "most-away")
					b.ReportMetric(r.awaySum.Seconds(), "engine-s-away")
				})
			}
		}
	}
}

func fixedShare(share float64) SwapLimits {
	limits := DefaultSwapLimits()
	limits.Within, limits.MaxShare = 0, share
	return limits
}

// BenchmarkSwapDecision is one pass over engines that are all behind.
func BenchmarkSwapDecision(b *testing.B) {
	for _, n := range []int{53, 640} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			all, s, now := engines(n, 1), NewSwapper(DefaultSwapLimits()), time.Unix(0, 0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(simTick)
				s.Next(all, "m", 2, now)
			}
		})
	}
}

// BenchmarkScaleDecision is one pass with a demand that changes.
func BenchmarkScaleDecision(b *testing.B) {
	for _, n := range []int{53, 640} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			all, s, now := engines(n, 1), NewScaler(DefaultScaleLimits()), time.Unix(0, 0)
			limit := contract.CostLimit{MaxDear: n, MaxCheap: n, MinReady: 1}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				s.Next(limit, Demand{Waiting: int(now.Unix()) % 100, Running: 5 * n, Slots: 16}, all, now)
			}
		})
	}
}
