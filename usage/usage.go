// Package usage meters what teams use and sees that each window of each team is
// reported once, with one figure.
//
// Each instance counts cumulatively and remembers its totals at the end of each
// window. It copies them to two peers, so that they outlive it. The holder of the
// billing role gathers the totals of all sources and freezes, team by team, the
// difference to what earlier windows included. Totals that arrive after their
// window was frozen are included in the next one and marked as late.
package usage

import (
	"time"

	"github.com/pomelocross/pomelocross/objects"
)

// Figure counts requests and tokens.
type Figure = objects.UsageFigure

// MarksKept is how many windows an instance remembers for each team and
// service. Use in windows older than that is reported with a later window.
const MaxMarks = 120

// Source names one incarnation of an instance. A restarted instance counts from
// zero under another name.
type Source string

// Mark is a cumulative total at the end of a window, or so far in it.
type Mark struct {
	Window time.Time // start, UTC
	Total  Figure
}

// Line is what a source has counted for a team and service, oldest mark first.
type Line struct {
	Source  Source
	Team    string
	Service string
	Marks   []Mark
}

// through returns the total of everything counted up to the end of window.
func (l Line) through(window time.Time) Figure {
	var total Figure
	for _, m := range l.Marks {
		if m.Window.After(window) {
			break
		}
		total = m.Total
	}
	return total
}

func add(a, b Figure) Figure {
	a.Requests += b.Requests
	a.PromptTokens += b.PromptTokens
	a.OutputTokens += b.OutputTokens
	return a
}

// minus returns a-b, field by field, and never less than zero.
func minus(a, b Figure) Figure {
	return Figure{
		Requests:     max(0, a.Requests-b.Requests),
		PromptTokens: max(0, a.PromptTokens-b.PromptTokens),
		OutputTokens: max(0, a.OutputTokens-b.OutputTokens),
	}
}

// larger returns the larger of each field. Totals only grow, so of two totals of
// one source it is the newer.
func larger(a, b Figure) Figure {
	return Figure{
		Requests:     max(a.Requests, b.Requests),
		PromptTokens: max(a.PromptTokens, b.PromptTokens),
		OutputTokens: max(a.OutputTokens, b.OutputTokens),
	}
}
