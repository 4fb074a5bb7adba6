// Package usage meters the requests and tokens of teams, and reports each window of each
// team with exactly one figure, even across failures.
//
// Each instance counts cumulatively and keeps its totals at the end of each window. It
// copies them to two peers, so that they survive a failure of the instance. The holder of
// the billing role gathers the totals of all sources and freezes, per team, the usage
// since the totals that earlier windows included. A frozen window never changes. Usage
// that arrives after its window was frozen is included in the next window and counted as
// late.
package usage

import (
	"time"

	"github.com/pomelocross/pomelocross/objects"
)

// Figure counts requests and tokens.
type Figure = objects.UsageFigure

// MaxMarks is the number of windows that an instance keeps per team and service. Usage in
// older windows is reported with a later window.
const MaxMarks = 120

// Source identifies one process of an instance. A restarted instance counts from zero
// under a new Source.
type Source string

// Mark is the cumulative total at the end of a window, or up to now in the current one.
type Mark struct {
	Window time.Time // start, UTC
	Total  Figure
}

// Line is the usage that a source counted for a team and service, oldest mark first.
type Line struct {
	Source  Source
	Team    string
	Service string
	Marks   []Mark
}

// totalAt returns the cumulative total at the end of window.
func (l Line) totalAt(window time.Time) Figure {
	var total Figure
	for _, m := range l.Marks {
		if m.Window.After(window) {
			break
		}
		total = m.Total
	}
	return total
}

// add returns a+b without adding the late counts.
func add(a, b Figure) Figure {
	a.Requests += b.Requests
	a.PromptTokens += b.PromptTokens
	a.OutputTokens += b.OutputTokens
	return a
}

// subtract returns a-b per field, with a minimum of zero.
func subtract(a, b Figure) Figure {
	return Figure{
		Requests:     max(0, a.Requests-b.Requests),
		PromptTokens: max(0, a.PromptTokens-b.PromptTokens),
		OutputTokens: max(0, a.OutputTokens-b.OutputTokens),
	}
}

// maxOf returns the maximum of each field. Since totals never decrease, it returns the
// newer of two totals of one source.
func maxOf(a, b Figure) Figure {
	return Figure{
		Requests:     max(a.Requests, b.Requests),
		PromptTokens: max(a.PromptTokens, b.PromptTokens),
		OutputTokens: max(a.OutputTokens, b.OutputTokens),
	}
}
