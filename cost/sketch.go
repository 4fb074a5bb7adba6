package cost

import (
	"math"
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// sketch holds the evidence under one key.
type sketch struct {
	costs  window
	ratios window // work by stated output, times ratioScale
}

// ratioScale keeps the resolution of ratios, which are recorded as integers: an event
// holds some tens of tokens.
const ratioScale = 1 << 14

// remaining predicts the work beyond done. The statement is used where requests differ
// less from it than from each other.
func (s *sketch) remaining(stated, done float64) Estimate {
	costs := s.costs.view()
	if costs.total() < minSamples {
		return Estimate{}
	}
	if stated > 0 {
		ratios := s.ratios.view()
		if ratios.total() >= minSamples && ratios.spread() < costs.spread() {
			if e := ratios.beyond(done, stated/ratioScale); e.Known() {
				e.Basis = Statement
				return e
			}
		}
	}
	return costs.beyond(done, 1)
}

const (
	// maxValue bounds recorded values; larger ones count as it. As microseconds it is 67 s.
	maxValue = 1 << 26
	// significantDigits bounds the error of a value to about 3%.
	significantDigits = 1
	// generationSize is the number of samples after which a generation of evidence starts
	// to lose its weight to the next one, so that turned evidence is replaced after twice
	// as many.
	generationSize = 200
	// viewAge is the number of samples, as a part of those in the window, after which its
	// view is computed again.
	viewAge = 1.0 / 16
)

// window is a distribution of the latest samples. The former generation fades as the
// current one fills.
type window struct {
	current, former *hdrhistogram.Histogram
	cached          *distribution
	added           int // samples since cached was computed
}

func (w *window) add(value float64) {
	if w.current == nil || w.current.TotalCount() >= generationSize {
		w.former, w.current = w.current, hdrhistogram.New(1, maxValue, significantDigits)
	}
	if err := w.current.RecordValue(int64(math.Round(min(max(value, 1), maxValue)))); err != nil {
		return // the value is within the range
	}
	w.added++
}

func (w *window) bytes() int {
	n := 0
	for _, h := range []*hdrhistogram.Histogram{w.former, w.current} {
		if h != nil {
			n += h.ByteSize()
		}
	}
	return n
}

// view returns the distribution of the window, which may lack the newest samples.
func (w *window) view() *distribution {
	if w.cached == nil || float64(w.added) > viewAge*w.cached.total() {
		w.cached, w.added = w.compute(), 0
	}
	return w.cached
}

func (w *window) compute() *distribution {
	weights := map[int64]float64{}
	collect := func(h *hdrhistogram.Histogram, weight float64) {
		for _, bar := range h.Distribution() {
			if bar.Count > 0 {
				weights[(bar.From+bar.To)/2] += weight * float64(bar.Count)
			}
		}
	}
	if w.current != nil {
		collect(w.current, 1)
	}
	if w.former != nil {
		collect(w.former, 1-float64(w.current.TotalCount())/generationSize)
	}
	return newDistribution(weights)
}

// distribution is an immutable weighted distribution.
type distribution struct {
	values []float64 // ascending
	// weights and sums hold, for each value, the total weight and the weighted sum of it
	// and all larger ones; both end with a zero.
	weights, sums []float64
}

func newDistribution(weightOf map[int64]float64) *distribution {
	d := &distribution{}
	for value, weight := range weightOf {
		if weight > 0 {
			d.values = append(d.values, float64(value))
		}
	}
	sort.Float64s(d.values)
	d.weights, d.sums = make([]float64, len(d.values)+1), make([]float64, len(d.values)+1)
	for i := len(d.values) - 1; i >= 0; i-- {
		weight := weightOf[int64(d.values[i])]
		d.weights[i], d.sums[i] = d.weights[i+1]+weight, d.sums[i+1]+weight*d.values[i]
	}
	return d
}

func (d *distribution) total() float64 { return d.weights[0] }

// beyond returns the distribution of the rest of those values, times scale, that exceed
// done; Unknown if there are too few.
func (d *distribution) beyond(done, scale float64) Estimate {
	first := sort.Search(len(d.values), func(i int) bool { return d.values[i]*scale > done })
	weight := d.weights[first]
	if weight < minTail {
		return Estimate{}
	}
	rest := func(q float64) float64 { return d.quantile(first, q)*scale - done }
	return Estimate{Mean: d.sums[first]/weight*scale - done, Low: rest(lowQuantile), High: rest(highQuantile), Basis: Costs, Samples: int(d.total())}
}

const (
	lowQuantile  = 0.1
	highQuantile = 0.9
)

// quantile returns a quantile of the values from index first on, of which there is at
// least one.
func (d *distribution) quantile(first int, q float64) float64 {
	above := d.weights[first] * (1 - q)
	i := sort.Search(len(d.values)-first, func(i int) bool { return d.weights[first+i+1] <= above })
	return d.values[min(first+i, len(d.values)-1)]
}

// spread returns the logarithm of the ratio of the high to the low quantile.
func (d *distribution) spread() float64 {
	if len(d.values) == 0 {
		return math.Inf(1)
	}
	return math.Log(d.quantile(0, highQuantile) / d.quantile(0, lowQuantile))
}
