package rollout

import "time"

// averageWeight is the weight of a new measurement in an exponential moving
// average.
const averageWeight = 0.2

// Timing holds measured averages of one run: the time between weight versions, and the
// duration and token rate of samples. Zero values mean that nothing was measured.
type Timing struct {
	LastVersionAt   time.Time     // when the trainer published its newest version
	VersionInterval time.Duration // moving average of the time between versions
	SampleDuration  time.Duration // moving average of the time to generate a sample
	TokenRate       float64       // moving average of finished attempts, in tokens per second
}

func (t *Timing) recordVersion(now time.Time) {
	if !t.LastVersionAt.IsZero() {
		t.VersionInterval = movingAverage(t.VersionInterval, now.Sub(t.LastVersionAt))
	}
	t.LastVersionAt = now
}

// recordSample records an attempt that finished its sample. duration is the time since
// the attempt started, generationTime the time since its first token.
func (t *Timing) recordSample(duration, generationTime time.Duration, tokens int64) {
	t.SampleDuration = movingAverage(t.SampleDuration, duration)
	if generationTime <= 0 {
		return
	}
	rate := float64(tokens) / generationTime.Seconds()
	if t.TokenRate == 0 {
		t.TokenRate = rate
	}
	t.TokenRate += averageWeight * (rate - t.TokenRate)
}

func movingAverage(old, measured time.Duration) time.Duration {
	if old == 0 {
		return measured
	}
	return old + time.Duration(averageWeight*float64(measured-old))
}

// PreferredVersion returns the oldest weight version that a sample started now
// should begin with, so that it is still within the staleness limit at its expected
// end. The result lies between MinWeightVersion and the trainer's newest version.
func (t *Timing) PreferredVersion(l *Ledger, now time.Time) int64 {
	if t.VersionInterval <= 0 {
		return l.MinWeightVersion()
	}
	newVersions := now.Add(t.SampleDuration).Sub(t.LastVersionAt) / t.VersionInterval
	return min(l.MinWeightVersion()+max(int64(newVersions), 0), l.WeightVersion)
}
