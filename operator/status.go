package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/dghubble/sling"
	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/instance"
)

// AllStatus returns the status of all instances as the asked one sees them.
func (o *Operator) AllStatus(ctx context.Context) ([]instance.MemberStatus, error) {
	r, err := sling.New().Get("http://" + o.Admin + "/status/all").Request()
	if err != nil {
		return nil, oops.In("operator").Wrap(err)
	}
	answer, err := http.DefaultClient.Do(r.WithContext(ctx))
	if err != nil {
		return nil, oops.In("operator").With("peer", o.Admin).Wrap(err)
	}
	defer answer.Body.Close()
	var all []instance.MemberStatus
	if err := json.NewDecoder(answer.Body).Decode(&all); err != nil {
		return nil, oops.In("operator").With("peer", o.Admin).Wrap(err)
	}
	return all, nil
}

// lagging names instances that do not have revision in force.
func lagging(all []instance.MemberStatus, revision contract.Revision) []string {
	var names []string
	for _, m := range all {
		if m.Status == nil || m.Status.Revision < revision {
			names = append(names, m.Instance+" in "+m.Domain)
		}
	}
	return names
}

// PrintStatus writes a line for each instance.
func (o *Operator) PrintStatus(all []instance.MemberStatus) error {
	if o.JSON {
		return o.PrintJSON(all)
	}
	table := tabwriter.NewWriter(o.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tDOMAIN\tSTATE\tREVISION\tROLES\tWAITING\tRUNS")
	for _, m := range all {
		if m.Status == nil {
			fmt.Fprintf(table, "%s\t%s\tNO ANSWER\t-\t-\t-\t-\n", m.Instance, m.Domain)
			continue
		}
		waiting := 0
		for _, n := range m.Status.Queues {
			waiting += n
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%d\t%s\n", m.Instance, m.Domain, state(m.Status), m.Status.Revision,
			orDash(m.Status.Roles), waiting, orDash(m.Status.Runs))
	}
	return table.Flush()
}

func state(s *instance.Status) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Revision == 0:
		return "no configuration"
	}
	return "serving"
}

func orDash(names []string) string {
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, ",")
}

// PrintJSON writes v indented.
func (o *Operator) PrintJSON(v any) error {
	encoder := json.NewEncoder(o.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
