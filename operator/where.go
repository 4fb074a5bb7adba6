package operator

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/pomelocross/pomelocross/cost"
	"github.com/pomelocross/pomelocross/gateway"
)

// WhereQuery describes the request that Where asks about. Zeros mean unknown.
type WhereQuery struct {
	Host, Path, Team, Model string
	Prompt, Hint, Output    int // tokens
}

// Where returns where the gateway at Admin would send a request now. It sends none.
func (o *Operator) Where(ctx context.Context, q WhereQuery) (gateway.Where, error) {
	var where gateway.Where
	query := url.Values{
		"host": {q.Host}, "path": {q.Path}, "team": {q.Team}, "model": {q.Model},
		"prompt": {strconv.Itoa(q.Prompt)}, "hint": {strconv.Itoa(q.Hint)}, "output": {strconv.Itoa(q.Output)},
	}
	return where, o.getAdmin(ctx, gateway.PathWhere+"?"+query.Encode(), &where)
}

// PrintWhere prints one line for each upstream, the one that would be chosen first.
func (o *Operator) PrintWhere(where gateway.Where) error {
	if o.JSON {
		return o.PrintJSON(where)
	}
	for _, service := range where.Services {
		basis := "slots in use"
		if service.ByCompletion {
			basis = "predicted completion"
		}
		fmt.Fprintf(o.Out, "%s, route %s, configuration %d: service %s, chosen by %s\n", where.Instance, where.Route, where.Config, service.Service, basis)
		fmt.Fprintf(o.Out, "work: %s\n", workText(service.Work.Kind, service.Work.Estimate))
		table := tabwriter.NewWriter(o.Out, 0, 4, 2, ' ', 0)
		fmt.Fprintln(table, "UPSTREAM\tCAN TAKE\tSCORE\tWAIT\tOWN\tCROWDING\tEXTRA\tREQUESTS\tLOAD AGE\tPACE\tNOW\tPACE AGE")
		for _, c := range service.Candidates {
			fmt.Fprintf(table, "%s\t%t\t%.3f\t%s\t%s\t%s\t%s\t%d/%d\t%s\t%.2f\t%.2f\t%s\n", c.ID, c.CanTake, c.Score, rounded(c.Terms.Wait), rounded(c.Terms.Own.Mean),
				rounded(c.Terms.Crowding), rounded(c.Terms.Extra), c.Requests, c.Slots, ageText(c.LoadAge, c.LoadAge >= 0), c.Pace.Ratio, c.Pace.Now, ageText(c.Pace.Age, c.Pace.Samples > 0))
		}
		if err := table.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// WhereBatch returns where the gateway at Admin would send the items of a batch that it
// runs. It sends none.
func (o *Operator) WhereBatch(ctx context.Context, id string) (gateway.WhereBatch, error) {
	var where gateway.WhereBatch
	return where, o.getAdmin(ctx, gateway.PathWhere+"?"+url.Values{"batch": {id}}.Encode(), &where)
}

// PrintWhereBatch prints one line for each item.
func (o *Operator) PrintWhereBatch(where gateway.WhereBatch) error {
	if o.JSON {
		return o.PrintJSON(where)
	}
	table := tabwriter.NewWriter(o.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "ITEM\tGROUP\tSTATE\tUPSTREAM\tSCORE\tWAIT\tOWN\tCROWDING")
	for _, item := range where.Items {
		switch {
		case item.Upstream != "":
			fmt.Fprintf(table, "%s\t%s\truns\t%s\t\t\t\t\n", item.Item, item.Group, item.Upstream)
		case item.Next == nil:
			fmt.Fprintf(table, "%s\t%s\twaits\tnone can take it\t\t\t\t\n", item.Item, item.Group)
		default:
			t := item.Next.Terms
			fmt.Fprintf(table, "%s\t%s\twaits\t%s\t%.3f\t%s\t%s\t%s\n", item.Item, item.Group, item.Next.ID, item.Next.Score, rounded(t.Wait), rounded(t.Own.Mean), rounded(t.Crowding))
		}
	}
	if err := table.Flush(); err != nil || where.Omitted == 0 {
		return err
	}
	_, err := fmt.Fprintf(o.Out, "%d further items wait\n", where.Omitted)
	return err
}

// workText returns the predicted work in words.
func workText(kind cost.Kind, e cost.Estimate) string {
	if !e.Known() {
		return "unknown, too few similar requests were complete"
	}
	unit := "events"
	if kind == cost.Plain {
		unit = "µs"
	}
	return fmt.Sprintf("%.0f %s, %.0f to %.0f in 8 of 10 cases, by %s of %d requests of the same %s", e.Mean, unit, e.Low, e.High, e.Basis, e.Samples, e.Level)
}

func rounded(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

func ageText(age time.Duration, known bool) string {
	if !known {
		return "unknown"
	}
	return rounded(age).String()
}
