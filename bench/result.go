package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pomelocross/pomelocross/contract"
)

// Prices of one second of work by cost class, relative to a dear engine.
const (
	dearPrice  = 1.0
	cheapPrice = 0.4
)

// Result holds the measurements of a run.
type Result struct {
	Deployment     string
	Policy         string
	Fault          string
	Seed           uint64
	TrainerIdle    float64 // fraction of the time, 0 to 1
	Steps          int
	Refused        int                                        // rejections by the queue; a request may be rejected several times
	GaveUp         int                                        // requests abandoned without a response
	latency        map[contract.Class]*hdrhistogram.Histogram // milliseconds
	teams          map[string]*teamResult
	samplesByLag   map[int64]int // number of samples, by how many weight versions they are behind the latest
	tokens         [2]int        // delivered by dear and by cheap engines
	failedAttempts int           // of all requests that completed or were abandoned
}

type teamResult struct {
	completed, abandoned int
	latency              *hdrhistogram.Histogram // of drafts, milliseconds
}

const (
	maxLatencyMs      = int64(time.Hour / time.Millisecond)
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMs, significantDigits)
}

func newResult(deployment string, o Options) *Result {
	return &Result{
		Deployment: deployment, Policy: o.Policy, Fault: o.Fault, Seed: o.Seed,
		latency: map[contract.Class]*hdrhistogram.Histogram{}, teams: map[string]*teamResult{}, samplesByLag: map[int64]int{},
	}
}

func (r *Result) team(name string) *teamResult {
	if r.teams[name] == nil {
		r.teams[name] = &teamResult{latency: newHistogram()}
	}
	return r.teams[name]
}

func (r *Result) recordCompleted(request *request, took time.Duration, cheap bool) {
	if r.latency[request.class] == nil {
		r.latency[request.class] = newHistogram()
	}
	_ = r.latency[request.class].RecordValue(max(1, took.Milliseconds()))
	r.failedAttempts += request.attempts
	if cheap {
		r.tokens[1] += request.outputTokens
	} else {
		r.tokens[0] += request.outputTokens
	}
	t := r.team(request.team)
	t.completed++
	if request.class == contract.ClassDraft {
		_ = t.latency.RecordValue(max(1, took.Milliseconds()))
	}
}

func (r *Result) recordAbandoned(request *request) {
	r.GaveUp++
	r.failedAttempts += request.attempts
	r.team(request.team).abandoned++
}

func (r *Result) recordSample(behind int64) { r.samplesByLag[behind]++ }

// Measure is a named value of a run.
type Measure struct {
	Name  string
	Value float64
	// HigherIsBetter is true if an increase is an improvement.
	HigherIsBetter bool
}

// Measures returns the run's measures in a fixed order.
func (r *Result) Measures() []Measure {
	worst, served := r.worstTeam()
	list := []Measure{
		{Name: "worst_team_draft_p99_ms", Value: worst},
		{Name: "worst_team_served", Value: served, HigherIsBetter: true},
		{Name: "trainer_idle", Value: r.TrainerIdle},
		{Name: "steps", Value: float64(r.Steps), HigherIsBetter: true},
		{Name: "stale_mean", Value: r.meanStaleness()},
	}
	for _, class := range []contract.Class{contract.ClassDesk, contract.ClassRollout, contract.ClassDraft} {
		list = append(list, Measure{Name: string(class) + "_p50_ms", Value: r.latencyPercentile(class, 50)}, Measure{Name: string(class) + "_p99_ms", Value: r.latencyPercentile(class, 99)})
	}
	all := float64(max(1, r.tokens[0]+r.tokens[1]))
	return append(list,
		Measure{Name: "gave_up", Value: float64(r.GaveUp)},
		Measure{Name: "refusals", Value: float64(r.Refused)},
		Measure{Name: "tokens", Value: all, HigherIsBetter: true},
		Measure{Name: "cheap_part", Value: float64(r.tokens[1]) / all, HigherIsBetter: true},
		Measure{Name: "price_per_token", Value: (dearPrice*float64(r.tokens[0]) + cheapPrice*float64(r.tokens[1])) / all},
		Measure{Name: "lost_attempts", Value: float64(r.failedAttempts)},
	)
}

// worstTeam returns, over all teams, the highest draft p99 latency in
// milliseconds and the lowest fraction of completed requests.
func (r *Result) worstTeam() (p99, served float64) {
	served = 1
	for _, t := range r.teams {
		p99 = max(p99, float64(t.latency.ValueAtQuantile(99)))
		served = min(served, float64(t.completed)/float64(max(1, t.completed+t.abandoned)))
	}
	return p99, served
}

func (r *Result) meanStaleness() float64 {
	sum, count := int64(0), 0
	for behind, n := range r.samplesByLag {
		sum += behind * int64(n)
		count += n
	}
	return float64(sum) / float64(max(1, count))
}

func (r *Result) latencyPercentile(class contract.Class, percentile float64) float64 {
	if r.latency[class] == nil {
		return 0
	}
	return float64(r.latency[class].ValueAtQuantile(percentile))
}
