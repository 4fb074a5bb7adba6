package usage

import (
	"slices"
	"time"

	"github.com/pomelocross/pomelocross/objects"
)

// Account is the stored billing state of a team: its newest frozen window and the totals
// that were included up to it. The figures of a frozen window never change. A window is
// frozen only after the previous one was reported.
type Account struct {
	Team   string    `json:"team"`
	Window time.Time `json:"window"`
	// Figures are the frozen figures of Window, by service.
	Figures map[string]Figure `json:"figures"`
	// Included are the totals per source that are part of this or an earlier window.
	Included map[Source]*IncludedTotals `json:"included"`
}

// IncludedTotals are the totals of one source that were included.
type IncludedTotals struct {
	// Seen is the last window that was frozen with data from the source.
	Seen time.Time `json:"seen"`
	// Services are the totals by service.
	Services map[string]Figure `json:"services"`
}

// Report returns the usage report of the account's frozen window, without the reporter
// and its epoch.
func (a *Account) Report() objects.UsageReport {
	return objects.UsageReport{Team: a.Team, Window: a.Window, Figures: a.Figures}
}

// Freeze returns the account after freezing window with lines. There must be no more
// than one line per source and service. It drops the totals of sources without data for
// longer than retention. It returns nil if the window has no usage. It does not modify a,
// which may be nil.
func Freeze(a *Account, team string, window time.Time, lines []Line, retention time.Duration) *Account {
	next := &Account{Team: team, Window: window, Figures: map[string]Figure{}, Included: map[Source]*IncludedTotals{}}
	if a != nil {
		for source, included := range a.Included {
			if window.Sub(included.Seen) <= retention {
				next.Included[source] = included.clone()
			}
		}
	}
	for _, line := range lines {
		next.addLine(line)
	}
	if len(next.Figures) == 0 {
		return nil
	}
	return next
}

func (i *IncludedTotals) clone() *IncludedTotals {
	copied := &IncludedTotals{Seen: i.Seen, Services: make(map[string]Figure, len(i.Services))}
	for service, figure := range i.Services {
		copied.Services[service] = figure
	}
	return copied
}

// addLine adds the usage in line that was not included before.
func (a *Account) addLine(line Line) {
	included := a.Included[line.Source]
	if included == nil {
		included = &IncludedTotals{Services: map[string]Figure{}}
		a.Included[line.Source] = included
	}
	included.Seen = a.Window
	previous := included.Services[line.Service]
	total := maxOf(previous, line.totalAt(a.Window))
	added := subtract(total, previous)
	if added == (Figure{}) {
		return
	}
	included.Services[line.Service] = total
	late := subtract(line.totalAt(a.Window.Add(-1)), previous)
	added.LateRequests = late.Requests
	added.LateTokens = late.PromptTokens + late.OutputTokens
	a.Figures[line.Service] = addWithLate(a.Figures[line.Service], added)
}

// addWithLate adds all fields, including the late counts.
func addWithLate(a, b Figure) Figure {
	total := add(a, b)
	total.LateRequests = a.LateRequests + b.LateRequests
	total.LateTokens = a.LateTokens + b.LateTokens
	return total
}

// dueWindows returns last and the earlier windows in lines, without those that the
// account has already frozen, oldest first.
func dueWindows(a *Account, lines []Line, last time.Time) []time.Time {
	windows := []time.Time{last}
	for _, line := range lines {
		for _, mark := range line.Marks {
			if mark.Window.Before(last) && !slices.ContainsFunc(windows, mark.Window.Equal) {
				windows = append(windows, mark.Window)
			}
		}
	}
	windows = slices.DeleteFunc(windows, func(w time.Time) bool { return a != nil && !w.After(a.Window) })
	slices.SortFunc(windows, time.Time.Compare)
	return windows
}

// groupByTeam groups lines by team and merges those of the same source and service.
func groupByTeam(lines []Line) map[string][]Line {
	type key struct {
		source Source
		usageKey
	}
	merged := map[key]Line{}
	for _, line := range lines {
		k := key{line.Source, usageKey{line.Team, line.Service}}
		merged[k] = mergeLines(merged[k], line)
	}
	teams := map[string][]Line{}
	for _, line := range merged {
		teams[line.Team] = append(teams[line.Team], line)
	}
	return teams
}
