package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/instance"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/usage"
)

// Explain returns how the instance at Admin would handle a request now. key is the
// identifier of a key, not its secret.
func (o *Operator) Explain(ctx context.Context, key, method, path string) (instance.Explanation, error) {
	var e instance.Explanation
	query := url.Values{"key": {key}, "method": {method}, "path": {path}}
	return e, o.getAdmin(ctx, "/explain?"+query.Encode(), &e)
}

// PrintExplanation prints an explanation.
func (o *Operator) PrintExplanation(e instance.Explanation) error {
	if o.JSON {
		return o.PrintJSON(e)
	}
	fmt.Fprintf(o.Out, "%s: %s\n", e.Instance, e.Verdict)
	for _, reason := range e.Reasons {
		fmt.Fprintf(o.Out, "  %s\n", reason)
	}
	return nil
}

// UsageLine is the final usage of a service by a team in one window.
type UsageLine struct {
	Team    string              `json:"team"`
	Window  string              `json:"window"` // start, UTC
	Service string              `json:"service"`
	Figure  objects.UsageFigure `json:"figure"`
}

// Usage returns the latest final usage figures of a team, or of all teams if team is
// empty, sorted by window, team and service.
func (o *Operator) Usage(ctx context.Context, team string) ([]UsageLine, error) {
	list, err := o.Store.List(ctx, objects.KindUsage)
	if err != nil {
		return nil, err
	}
	lines := []UsageLine{}
	for _, object := range list.Objects {
		var account usage.Account
		if err := json.Unmarshal(object.Value, &account); err != nil {
			return nil, oops.In("operator").With("step", "read usage", "peer", object.Name).Wrap(err)
		}
		if team != "" && account.Team != team {
			continue
		}
		for service, figure := range account.Figures {
			lines = append(lines, UsageLine{account.Team, account.Window.UTC().Format(time.RFC3339), service, figure})
		}
	}
	sortUsage(lines)
	return lines, nil
}

// PrintUsage prints one line per usage figure.
func (o *Operator) PrintUsage(lines []UsageLine) error {
	if o.JSON {
		return o.PrintJSON(lines)
	}
	table := tabwriter.NewWriter(o.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "WINDOW\tTEAM\tSERVICE\tREQUESTS\tPROMPT TOKENS\tOUTPUT TOKENS\tLATE TOKENS")
	for _, l := range lines {
		f := l.Figure
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\n", l.Window, l.Team, l.Service, f.Requests, f.PromptTokens, f.OutputTokens, f.LateTokens)
	}
	return table.Flush()
}

func sortUsage(lines []UsageLine) {
	sortByKey(lines, func(l UsageLine) string { return strings.Join([]string{l.Window, l.Team, l.Service}, "\x00") })
}
