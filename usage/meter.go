// Package usage meters what teams use and sees that each window of each team is
// reported once, with one figure.
package usage

import (
	"sync"
	"time"

	"github.com/pomelocross/pomelocross/platform"
)

// Account is what a figure is kept for.
type Account struct {
	Team    string
	Service string
	Window  time.Time // start, UTC
}

// Counts is one instance's cumulative figures. Two states of the same instance
// merge by taking the larger of each number, so copies may be sent any number
// of times in any order.
type Counts map[Account]platform.UsageFigure

// Meter counts at one instance.
type Meter struct {
	window time.Duration

	mu     sync.Mutex // guards counts
	counts Counts
}

// NewMeter returns a meter for windows of the given length.
func NewMeter(window time.Duration) *Meter {
	return &Meter{window: window, counts: Counts{}}
}

// Add counts one finished request.
func (m *Meter) Add(team, service string, at time.Time, promptTokens, outputTokens int64) {
	account := Account{Team: team, Service: service, Window: at.UTC().Truncate(m.window)}
	m.mu.Lock()
	defer m.mu.Unlock()
	figure := m.counts[account]
	figure.Requests++
	figure.PromptTokens += promptTokens
	figure.OutputTokens += outputTokens
	m.counts[account] = figure
}

// Counts returns a copy of the cumulative figures.
func (m *Meter) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	copied := make(Counts, len(m.counts))
	for account, figure := range m.counts {
		copied[account] = figure
	}
	return copied
}

// Forget drops windows that began before the given time.
func (m *Meter) Forget(before time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for account := range m.counts {
		if account.Window.Before(before) {
			delete(m.counts, account)
		}
	}
}
