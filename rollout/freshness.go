package rollout

import "time"

// paceWeight is the part of a new measurement in a moving average.
const paceWeight = 0.2

// Pace is what a home has learned of the time between weight versions and the
// time a sample takes.
type Pace struct {
	LastWeights time.Time     // when the trainer named its newest version; zero is not known
	Interval    time.Duration // between versions; 0 is not known
	Sample      time.Duration // to generate one; 0 is not known
	TokenRate   float64       // tokens a second of finished attempts; 0 is not known
}

func (p *Pace) newWeights(now time.Time) {
	if !p.LastWeights.IsZero() {
		p.Interval = average(p.Interval, now.Sub(p.LastWeights))
	}
	p.LastWeights = now
}

// finished learns from an attempt that ended its sample after took, and whose
// tokens came within flowing.
func (p *Pace) finished(took, flowing time.Duration, tokens int64) {
	p.Sample = average(p.Sample, took)
	if flowing <= 0 {
		return
	}
	rate := float64(tokens) / flowing.Seconds()
	if p.TokenRate == 0 {
		p.TokenRate = rate
	}
	p.TokenRate += paceWeight * (rate - p.TokenRate)
}

func average(old, measured time.Duration) time.Duration {
	if old == 0 {
		return measured
	}
	return old + time.Duration(paceWeight*float64(measured-old))
}

// Preferred returns the oldest weight version that a sample started now should
// begin with, so that it is still fresh at its expected end. It is at least
// FreshFrom and at most the trainer's newest.
func (p *Pace) Preferred(l *Ledger, now time.Time) int64 {
	if p.Interval <= 0 {
		return l.FreshFrom()
	}
	expected := now.Add(p.Sample).Sub(p.LastWeights) / p.Interval
	return min(l.FreshFrom()+max(int64(expected), 0), l.WeightVersion)
}
