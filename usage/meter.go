package usage

import (
	"slices"
	"sync"
	"time"
)

// subject is what a total is kept for.
type subject struct{ team, service string }

// Meter counts at one instance. It is safe for concurrent use.
type Meter struct {
	source Source
	window time.Duration

	mu    sync.Mutex // guards all below
	marks map[subject][]Mark
	// changed is the sequence number of each subject's last change.
	changed  map[subject]uint64
	sequence uint64
	ended    uint64 // sequence number of the last request that ended
	open     map[*Tally]struct{}
	added    chan struct{} // closed and replaced when a request ends
}

// NewMeter returns a meter for windows of the given length.
func NewMeter(source Source, window time.Duration) *Meter {
	return &Meter{
		source: source, window: window,
		marks: map[subject][]Mark{}, changed: map[subject]uint64{}, open: map[*Tally]struct{}{}, added: make(chan struct{}),
	}
}

// Source returns the name that the meter counts under.
func (m *Meter) Source() Source { return m.source }

// Add counts one finished request at a time.
func (m *Meter) Add(team, service string, at time.Time, promptTokens, outputTokens int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count(subject{team, service}, at, Figure{Requests: 1, PromptTokens: promptTokens, OutputTokens: outputTokens})
	m.ended = m.sequence
	close(m.added)
	m.added = make(chan struct{})
}

// count adds to the mark of the window of at. A clock that went back counts
// into the newest window, so that marks stay in order. The caller holds mu.
func (m *Meter) count(s subject, at time.Time, figure Figure) {
	m.sequence++
	m.changed[s] = m.sequence
	marks := m.marks[s]
	window := at.UTC().Truncate(m.window)
	last := len(marks) - 1
	if last >= 0 && !window.After(marks[last].Window) {
		marks[last].Total = add(marks[last].Total, figure)
		return
	}
	var total Figure
	if last >= 0 {
		total = marks[last].Total
	}
	marks = append(marks, Mark{Window: window, Total: add(total, figure)})
	m.marks[s] = marks[max(0, len(marks)-MaxMarks):]
}

// Tally counts the tokens of a running request, so that they are copied to
// peers before its end.
type Tally struct {
	meter   *Meter
	subject subject
	counted int64 // output tokens already in the totals; guarded by meter.mu
	output  int64 // guarded by meter.mu
}

// Begin opens a tally.
func (m *Meter) Begin(team, service string) *Tally {
	t := &Tally{meter: m, subject: subject{team, service}}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open[t] = struct{}{}
	return t
}

// Output counts generated tokens.
func (t *Tally) Output(tokens int64) {
	t.meter.mu.Lock()
	defer t.meter.mu.Unlock()
	t.output += tokens
}

// End closes the tally. A request that was served counts, with the tokens that
// are not counted yet; one that produced nothing does not.
func (t *Tally) End(at time.Time, promptTokens int64, served bool) {
	t.meter.mu.Lock()
	delete(t.meter.open, t)
	rest := t.output - t.counted
	t.meter.mu.Unlock()
	if served {
		t.meter.Add(t.subject.team, t.subject.service, at, promptTokens, rest)
	}
}

// Lines returns the last marks of every team and service that changed after a
// sequence number, with running requests counted up to now, and the sequence
// number to ask after next.
func (m *Meter) Lines(now time.Time, lastMarks int, after uint64) ([]Line, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countOpen(now)
	var lines []Line
	for s, marks := range m.marks {
		if m.changed[s] <= after {
			continue
		}
		kept := marks[max(0, len(marks)-lastMarks):]
		lines = append(lines, Line{Source: m.source, Team: s.team, Service: s.service, Marks: slices.Clone(kept)})
	}
	return lines, m.sequence
}

// countOpen brings the tokens of running requests into the totals. The caller
// holds mu.
func (m *Meter) countOpen(now time.Time) {
	for t := range m.open {
		if t.output > t.counted {
			m.count(t.subject, now, Figure{OutputTokens: t.output - t.counted})
			t.counted = t.output
		}
	}
}

// Ended returns the sequence number of the last request that ended, and a
// channel that is closed when another does.
func (m *Meter) Ended() (uint64, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ended, m.added
}
