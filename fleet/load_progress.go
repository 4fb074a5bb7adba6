package fleet

import "time"

// loadProgress is the state of an engine's load in progress, as far as its reports show it.
type loadProgress struct {
	concurrent  int       // loads in progress when the pending order was sent, itself included
	accepted    bool      // the engine has accepted the pending order
	busy        bool      // the last report shows an order in progress
	busyAt      time.Time // time of the last report that showed an order in progress
	unreachable bool      // the last request for the report failed
	known       bool      // a report was received, or could not be requested
	polling     bool      // a request for the report is in flight
	polledAt    time.Time // time of the last request
}

const (
	// expectedLoadTime is the assumed duration of a load while none was observed.
	expectedLoadTime = 900 * time.Millisecond
	// unreachablePollInterval is the minimum time between two requests for the report of
	// an engine that was not reached.
	unreachablePollInterval = 300 * time.Millisecond
	// maxPollGap is the maximum time between the last report of a load in progress and
	// the report of its end for which the time of the load counts as known.
	maxPollGap = 300 * time.Millisecond
	// firstReportsWait bounds how long a new planner waits for the engines' reports.
	firstReportsWait = 300 * time.Millisecond
)

// EngineReport is the state of an engine's loads, as the engine reports it.
type EngineReport struct {
	Busy     bool             // an order is in progress
	Accepted int64            // orders accepted since the engine started
	Models   map[string]int64 // served weight version by model
}

// FinishedLoad is a load whose end an engine has reported.
type FinishedLoad struct {
	Load
	Took       time.Duration // from the order to the report
	Concurrent int           // loads in progress when it was ordered, itself included
	Limit      int           // how many engines may load at once from now on
}

// HasReports reports whether the planner has the first report of each engine, or has
// waited long enough for it. Loads that the previous holder of the control role has
// ordered are in progress, and count only once they are reported.
func (p *LoadPlanner) HasReports(engines []Engine, now time.Time) bool {
	p.observe(engines, now)
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	if now.Sub(p.startedAt) >= firstReportsWait {
		return true
	}
	for _, s := range p.engines {
		if !s.progress.known {
			return false
		}
	}
	return true
}

// Polls returns the engines whose report is due at now: those that were not asked yet,
// and those whose load may be done. The caller passes each result to Reported or
// Unreachable.
func (p *LoadPlanner) Polls(now time.Time) []string {
	var due []string
	for id, s := range p.engines {
		if s.reportDue(now, max(p.limit.usual, expectedLoadTime)) {
			s.progress.polling, s.progress.polledAt = true, now
			due = append(due, id)
		}
	}
	return due
}

func (s *engineStatus) reportDue(now time.Time, loadTime time.Duration) bool {
	switch {
	case s.progress.polling, s.progress.unreachable && now.Sub(s.progress.polledAt) < unreachablePollInterval:
		return false
	case s.pending.Model != "":
		return now.Sub(s.sentAt) >= loadTime
	}
	return s.progress.busy || !s.progress.known
}

// Unreachable records that the report of an engine could not be requested.
func (p *LoadPlanner) Unreachable(id string) {
	if s := p.engines[id]; s != nil {
		s.progress.polling, s.progress.known, s.progress.unreachable, s.progress.busy = false, true, true, false
	}
}

// Reported records the report of an engine. done is true if the report shows the end of
// the pending load. An order that had no effect becomes due again after a delay.
func (p *LoadPlanner) Reported(id string, r EngineReport, now time.Time) (finished FinishedLoad, done bool) {
	s := p.engines[id]
	if s == nil {
		return FinishedLoad{}, false
	}
	l, took, lastBusy := s.pending, now.Sub(s.sentAt), s.progress.busyAt
	s.progress.polling, s.progress.known, s.progress.unreachable, s.progress.busy = false, true, false, r.Busy
	if r.Busy {
		s.progress.busyAt = now
	}
	switch {
	case l.Model == "":
		return FinishedLoad{}, false
	case r.Models[l.Model] >= l.Version:
		s.pending, s.failures, s.progress.busy = Load{}, 0, false
		if now.Sub(lastBusy) <= maxPollGap || !p.limit.isSlowed(took) {
			p.limit.observe(took, s.progress.concurrent)
		}
		return FinishedLoad{Load: l, Took: took, Concurrent: s.progress.concurrent, Limit: int(p.limit.limit)}, true
	case !r.Busy && took >= expectedLoadTime:
		p.Rejected(l, r.Accepted, now)
	}
	return FinishedLoad{}, false
}

// countLoading returns the number of engines that load model, or any model if
// model is empty.
func (p *LoadPlanner) countLoading(now time.Time, model string) int {
	n := 0
	for _, s := range p.engines {
		if (model == "" || s.pending.Model == model) && s.isLoading(now) {
			n++
		}
	}
	return n
}

// isLoading reports whether the engine's load counts against the limits: until the
// engine reports its end, even if another holder of the control role ordered it. A load
// on an engine that is not reached counts no longer than a usual one, so that engines
// that are gone do not keep the others from loading.
func (s *engineStatus) isLoading(now time.Time) bool {
	if s.pending.Model == "" {
		return s.progress.busy && now.Sub(s.progress.busyAt) < orderTimeout
	}
	return now.Sub(s.sentAt) < expectedLoadTime || s.progress.busy || (s.progress.accepted && !s.progress.unreachable)
}
