package usage

import (
	"slices"
	"sync"
	"time"
)

// usageKey identifies a total within a source.
type usageKey struct{ team, service string }

// Meter counts the usage at one instance. It is safe for concurrent use.
type Meter struct {
	source Source
	window time.Duration

	mu    sync.Mutex // guards the fields below
	marks map[usageKey][]Mark
	// lastChange is the sequence number of the last change of each key's totals.
	lastChange   map[usageKey]uint64
	sequence     uint64 // number of the last change
	lastEnded    uint64 // sequence number at the last end of a request
	running      map[*Tally]struct{}
	requestEnded chan struct{} // closed and replaced when a request ends
}

// NewMeter returns a Meter with windows of the given length.
func NewMeter(source Source, window time.Duration) *Meter {
	return &Meter{
		source: source, window: window,
		marks: map[usageKey][]Mark{}, lastChange: map[usageKey]uint64{}, running: map[*Tally]struct{}{}, requestEnded: make(chan struct{}),
	}
}

// Source returns the source of the meter's lines.
func (m *Meter) Source() Source { return m.source }

// Add counts one finished request in the window of at.
func (m *Meter) Add(team, service string, at time.Time, promptTokens, outputTokens int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addLocked(usageKey{team, service}, at, Figure{Requests: 1, PromptTokens: promptTokens, OutputTokens: outputTokens})
	m.lastEnded = m.sequence
	close(m.requestEnded)
	m.requestEnded = make(chan struct{})
}

// addLocked adds figure to the mark of the window of at, or to the newest mark if the
// clock went backwards, so that marks stay in order. The caller holds mu.
func (m *Meter) addLocked(key usageKey, at time.Time, figure Figure) {
	m.sequence++
	m.lastChange[key] = m.sequence
	marks := m.marks[key]
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
	m.marks[key] = marks[max(0, len(marks)-MaxMarks):]
}

// Tally counts the output tokens of a running request, so that they are copied to peers
// before the request ends.
type Tally struct {
	meter   *Meter
	key     usageKey
	counted int64 // output tokens already in the totals; guarded by meter.mu
	output  int64 // output tokens so far; guarded by meter.mu
}

// Begin returns a Tally for a new request. The caller must call its End.
func (m *Meter) Begin(team, service string) *Tally {
	t := &Tally{meter: m, key: usageKey{team, service}}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[t] = struct{}{}
	return t
}

// Output adds generated tokens.
func (t *Tally) Output(tokens int64) {
	t.meter.mu.Lock()
	defer t.meter.mu.Unlock()
	t.output += tokens
}

// End ends the tally at the given time. If served is true it counts the request, its
// prompt tokens and the output tokens that are not counted yet. served must be false for
// a request that produced nothing.
func (t *Tally) End(at time.Time, promptTokens int64, served bool) {
	t.meter.mu.Lock()
	delete(t.meter.running, t)
	uncounted := t.output - t.counted
	t.meter.mu.Unlock()
	if served {
		t.meter.Add(t.key.team, t.key.service, at, promptTokens, uncounted)
	}
}

// Lines returns the last lastMarks marks of every team and service that changed after a
// sequence number, including the tokens of running requests up to now. It also returns
// the sequence number for the next call.
func (m *Meter) Lines(now time.Time, lastMarks int, after uint64) ([]Line, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countRunning(now)
	var lines []Line
	for key, marks := range m.marks {
		if m.lastChange[key] <= after {
			continue
		}
		recent := marks[max(0, len(marks)-lastMarks):]
		lines = append(lines, Line{Source: m.source, Team: key.team, Service: key.service, Marks: slices.Clone(recent)})
	}
	return lines, m.sequence
}

// countRunning adds the uncounted tokens of running requests to the totals. The caller
// holds mu.
func (m *Meter) countRunning(now time.Time) {
	for t := range m.running {
		if t.output > t.counted {
			m.addLocked(t.key, now, Figure{OutputTokens: t.output - t.counted})
			t.counted = t.output
		}
	}
}

// Ended returns the sequence number at the last end of a request, and a channel that is
// closed when the next request ends.
func (m *Meter) Ended() (uint64, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastEnded, m.requestEnded
}
