package usage

import (
	"slices"
	"time"

	"github.com/pomelocross/pomelocross/objects"
)

// Account is the stored billing state of a team: its newest frozen window and
// what was included up to it. A window is frozen only after the one before it
// was reported.
type Account struct {
	Team   string    `json:"team"`
	Window time.Time `json:"window"`
	// Figures are the frozen ones of Window, by service.
	Figures map[string]Figure `json:"figures"`
	// Included are the totals by source that this and all earlier windows hold.
	Included map[Source]*Inclusion `json:"included"`
}

// Inclusion is what was included of one source.
type Inclusion struct {
	// Seen is the last window at whose freezing the source was heard of.
	Seen     time.Time         `json:"seen"`
	Services map[string]Figure `json:"services"`
}

// Report returns the account's frozen window as it is reported.
func (a *Account) Report() objects.UsageReport {
	return objects.UsageReport{Team: a.Team, Window: a.Window, Figures: a.Figures}
}

// Freeze returns the account with window frozen over lines, which hold at most
// one line for a source and service. It returns nil when the window holds
// nothing. It does not change a, which may be nil.
func Freeze(a *Account, team string, window time.Time, lines []Line, retention time.Duration) *Account {
	next := &Account{Team: team, Window: window, Figures: map[string]Figure{}, Included: map[Source]*Inclusion{}}
	if a != nil {
		for source, included := range a.Included {
			if window.Sub(included.Seen) <= retention {
				next.Included[source] = included.clone()
			}
		}
	}
	for _, line := range lines {
		next.include(line)
	}
	if len(next.Figures) == 0 {
		return nil
	}
	return next
}

func (i *Inclusion) clone() *Inclusion {
	copied := &Inclusion{Seen: i.Seen, Services: make(map[string]Figure, len(i.Services))}
	for service, figure := range i.Services {
		copied.Services[service] = figure
	}
	return copied
}

// include adds what a line holds beyond what was included before.
func (a *Account) include(line Line) {
	included := a.Included[line.Source]
	if included == nil {
		included = &Inclusion{Services: map[string]Figure{}}
		a.Included[line.Source] = included
	}
	included.Seen = a.Window
	before := included.Services[line.Service]
	total := larger(before, line.through(a.Window))
	fresh := minus(total, before)
	if fresh == (Figure{}) {
		return
	}
	included.Services[line.Service] = total
	late := minus(line.through(a.Window.Add(-1)), before)
	fresh.LateRequests = late.Requests
	fresh.LateTokens = late.PromptTokens + late.OutputTokens
	a.Figures[line.Service] = sum(a.Figures[line.Service], fresh)
}

func sum(a, b Figure) Figure {
	total := add(a, b)
	total.LateRequests = a.LateRequests + b.LateRequests
	total.LateTokens = a.LateTokens + b.LateTokens
	return total
}

// due returns the windows after the account's that lines speak of, up to and
// including last, oldest first.
func due(a *Account, lines []Line, last time.Time) []time.Time {
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

// byTeam sorts gathered lines by team and merges those of the same source and
// service.
func byTeam(lines []Line) map[string][]Line {
	type key struct {
		source Source
		subject
	}
	merged := map[key]Line{}
	for _, line := range lines {
		k := key{line.Source, subject{line.Team, line.Service}}
		merged[k] = mergeLines(merged[k], line)
	}
	teams := map[string][]Line{}
	for _, line := range merged {
		teams[line.Team] = append(teams[line.Team], line)
	}
	return teams
}
