package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pomelocross/pomelocross/contract"
)

// Prices of a second of work on each cost class, in units of a dear second.
const (
	dearPrice  = 1.0
	cheapPrice = 0.4
)

// Result is what one run measured.
type Result struct {
	Deployment  string
	Policy      string
	Fault       string
	Seed        uint64
	TrainerIdle float64 // part of the time, 0 to 1
	Steps       int
	Refused     int                                        // refusals; one request may be refused several times
	GaveUp      int                                        // requests that were never answered
	latency     map[contract.Class]*hdrhistogram.Histogram // milliseconds
	teams       map[string]*teamResult
	stale       map[int64]int // samples by versions behind
	tokens      [2]int        // delivered, on dear and on cheap engines
	lost        int           // attempts that failed
}

type teamResult struct {
	answered, gaveUp int
	latency          *hdrhistogram.Histogram // of drafts, milliseconds
}

const (
	maxLatency = int64(time.Hour / time.Millisecond)
	digits     = 3
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency, digits) }

func newResult(deployment string, o Options) *Result {
	return &Result{
		Deployment: deployment, Policy: o.Policy, Fault: o.Fault, Seed: o.Seed,
		latency: map[contract.Class]*hdrhistogram.Histogram{}, teams: map[string]*teamResult{}, stale: map[int64]int{},
	}
}

func (r *Result) team(name string) *teamResult {
	if r.teams[name] == nil {
		r.teams[name] = &teamResult{latency: newHistogram()}
	}
	return r.teams[name]
}

func (r *Result) done(q *request, took time.Duration, cheap bool) {
	if r.latency[q.class] == nil {
		r.latency[q.class] = newHistogram()
	}
	_ = r.latency[q.class].RecordValue(max(1, took.Milliseconds()))
	r.lost += q.attempts
	if cheap {
		r.tokens[1] += q.output
	} else {
		r.tokens[0] += q.output
	}
	t := r.team(q.team)
	t.answered++
	if q.class == contract.ClassDraft {
		_ = t.latency.RecordValue(max(1, took.Milliseconds()))
	}
}

func (r *Result) gaveUp(q *request) {
	r.GaveUp++
	r.lost += q.attempts
	r.team(q.team).gaveUp++
}

func (r *Result) staleness(behind int64) { r.stale[behind]++ }

// Measure is one figure of a run.
type Measure struct {
	Name  string
	Value float64
	// HigherIsBetter tells which way the figure should go.
	HigherIsBetter bool
}

// Measures returns the run's figures in a fixed order.
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
		list = append(list, Measure{Name: string(class) + "_p50_ms", Value: r.quantile(class, 50)}, Measure{Name: string(class) + "_p99_ms", Value: r.quantile(class, 99)})
	}
	all := float64(max(1, r.tokens[0]+r.tokens[1]))
	return append(list,
		Measure{Name: "gave_up", Value: float64(r.GaveUp)},
		Measure{Name: "refusals", Value: float64(r.Refused)},
		Measure{Name: "tokens", Value: all, HigherIsBetter: true},
		Measure{Name: "cheap_part", Value: float64(r.tokens[1]) / all, HigherIsBetter: true},
		Measure{Name: "price_per_token", Value: (dearPrice*float64(r.tokens[0]) + cheapPrice*float64(r.tokens[1])) / all},
		Measure{Name: "lost_attempts", Value: float64(r.lost)},
	)
}

// worstTeam returns the highest draft p99 and the lowest part of requests that
// were answered over all teams.
func (r *Result) worstTeam() (p99, served float64) {
	served = 1
	for _, t := range r.teams {
		p99 = max(p99, float64(t.latency.ValueAtQuantile(99)))
		served = min(served, float64(t.answered)/float64(max(1, t.answered+t.gaveUp)))
	}
	return p99, served
}

func (r *Result) meanStaleness() float64 {
	sum, count := int64(0), 0
	for behind, n := range r.stale {
		sum += behind * int64(n)
		count += n
	}
	return float64(sum) / float64(max(1, count))
}

func (r *Result) quantile(class contract.Class, q float64) float64 {
	if r.latency[class] == nil {
		return 0
	}
	return float64(r.latency[class].ValueAtQuantile(q))
}
