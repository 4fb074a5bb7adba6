package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/fleet"
	"github.com/pomelocross/pomelocross/internal/experiment"
)

// warmupVersions is the number of versions to publish until the estimate of the store
// capacity is stable.
const warmupVersions = 10

// BenchmarkSwapShare loads new weights on the 53 engines of a failure domain with
// each limit on the number of unavailable engines, and reports the last of
// warmupVersions versions.
func BenchmarkSwapShare(b *testing.B) {
	cases := []struct {
		name   string
		limits fleet.SwapLimits
	}{
		{"all", fixedShare(1)}, {"half", fixedShare(0.5)}, {"third", fixedShare(0.34)}, {"tenth", fixedShare(0.1)},
		{"inTime", fleet.DefaultSwapLimits()},
	}
	for _, c := range cases {
		for _, load := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second} {
			for _, store := range []int{53, 10} {
				b.Run(fmt.Sprintf("%s/load=%v/store=%d", c.name, load, store), func(b *testing.B) {
					var r experiment.SwapResult
					for range b.N {
						s, d := fleet.NewSwapper(c.limits), experiment.NewDomain(53, load, store)
						for range warmupVersions {
							r = d.SwapWeights(s, time.Minute)
						}
					}
					b.ReportMetric(r.Elapsed.Seconds(), "s-to-last")
					b.ReportMetric(float64(r.MaxUnavailable), "max-unavailable")
					b.ReportMetric(r.UnavailableTime.Seconds(), "engine-s-unavailable")
				})
			}
		}
	}
}

func fixedShare(share float64) fleet.SwapLimits {
	limits := fleet.DefaultSwapLimits()
	limits.CompleteWithin, limits.MaxShare = 0, share
	return limits
}

// BenchmarkSwapDecision measures one decision when all engines are behind.
func BenchmarkSwapDecision(b *testing.B) {
	for _, n := range []int{53, 640} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			all, s, now := experiment.Engines(n, 1), fleet.NewSwapper(fleet.DefaultSwapLimits()), time.Unix(0, 0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(250 * time.Millisecond)
				s.Next(all, "m", 2, now)
			}
		})
	}
}

// BenchmarkScaleDecision measures one decision under changing demand.
func BenchmarkScaleDecision(b *testing.B) {
	for _, n := range []int{53, 640} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			all, s, now := experiment.Engines(n, 1), fleet.NewScaler(fleet.DefaultScaleLimits()), time.Unix(0, 0)
			limit := contract.CostLimit{MaxDear: n, MaxCheap: n, MinReady: 1}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				s.Next(limit, fleet.Demand{Waiting: int(now.Unix()) % 100, Running: 5 * n, Slots: 16}, all, now)
			}
		})
	}
}

// BenchmarkScaleDay simulates a day of fluctuating demand, with and without delays.
func BenchmarkScaleDay(b *testing.B) {
	noDelay := fleet.DefaultScaleLimits()
	noDelay.ScaleUpDelay, noDelay.ScaleDownDelay = 0, 0
	for name, limits := range map[string]fleet.ScaleLimits{"hysteresis": fleet.DefaultScaleLimits(), "noDelay": noDelay} {
		b.Run(name, func(b *testing.B) {
			var s *experiment.Scaling
			for range b.N {
				s = experiment.NewScaling(contract.CostLimit{MaxDear: 12, MaxCheap: 8, MinReady: 1}, limits)
				s.Run(24*time.Hour, experiment.DailyDemand())
			}
			b.ReportMetric(float64(len(s.Orders)), "changes")
			b.ReportMetric(s.ShortfallTime.Seconds(), "s-short")
			b.ReportMetric(s.UpstreamHours, "upstream-h")
		})
	}
}
