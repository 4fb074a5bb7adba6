package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/dghubble/sling"
	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/instance"
	"github.com/pomelocross/pomelocross/internal/http1"
)

// AllStatus returns the status of all instances as seen by the instance at Admin.
func (o *Operator) AllStatus(ctx context.Context) ([]instance.MemberStatus, error) {
	var all []instance.MemberStatus
	return all, o.getAdmin(ctx, "/status/all", &all)
}

// maxReasonBytes limits the text of an error response that is reported.
const maxReasonBytes = 1 << 10

// adminClient calls the admin interfaces of instances.
var adminClient = newAdminClient()

func newAdminClient() *http.Client {
	transport := http1.NewTransport((&net.Dialer{}).DialContext)
	transport.Proxy = http.ProxyFromEnvironment
	return &http.Client{Transport: transport}
}

// getAdmin sends a GET request to the admin interface at Admin and decodes the JSON
// response.
func (o *Operator) getAdmin(ctx context.Context, path string, out any) error {
	if o.Admin == "" {
		return &Error{Code: ExitInvalid, Err: errors.New("--admin or POMELOCROSS_ADMIN is required")}
	}
	r, err := sling.New().Get("http://" + o.Admin + path).Request()
	if err != nil {
		return oops.In("operator").With("step", path, "peer", o.Admin).Wrap(err)
	}
	resp, err := adminClient.Do(r.WithContext(ctx))
	if err != nil {
		return oops.In("operator").With("step", path, "peer", o.Admin).Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		reason, err := io.ReadAll(io.LimitReader(resp.Body, maxReasonBytes))
		return oops.In("operator").With("step", path, "peer", o.Admin).Wrap(errors.Join(fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(reason)), err))
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return oops.In("operator").With("step", path, "peer", o.Admin).Wrap(err)
	}
	return oops.In("operator").With("step", path, "peer", o.Admin).Wrap(json.Unmarshal(body, out))
}

// PrintStatus prints one line per instance and where the newest revision is in force.
func (o *Operator) PrintStatus(all []instance.MemberStatus) error {
	if o.JSON {
		return o.PrintJSON(all)
	}
	table := tabwriter.NewWriter(o.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tDOMAIN\tSTATE\tREVISION\tPLATFORM CONTACT\tROLES\tWAITING\tRUNS")
	newest := contract.Revision(0)
	for _, m := range all {
		if m.Status == nil {
			fmt.Fprintf(table, "%s\t%s\tno answer, %s\t-\t-\t-\t-\t-\n", m.Instance, m.Domain, m.Liveness)
			continue
		}
		newest = max(newest, m.Status.Revision)
		waiting := 0
		for _, n := range m.Status.Queues {
			waiting += n
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s\n", m.Instance, m.Domain, stateText(m), m.Status.Revision,
			lastContactText(m.Status), joinOrDash(m.Status.Roles), waiting, joinOrDash(m.Status.Runs))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(o.Out, summarize(all, newest))
	return err
}

// lastContactText returns the time since the instance last received a response from the
// platform.
func lastContactText(s *instance.Status) string {
	if s.WordAge == "" {
		return "never"
	}
	return s.WordAge + " ago"
}

func stateText(m instance.MemberStatus) string {
	s := m.Status
	text := "serving"
	switch {
	case s.Draining:
		text = "draining"
	case s.Revision == 0:
		text = "no configuration"
	case s.Isolated && len(s.Refused) > 0:
		text = "isolated, refuses " + strings.Join(s.Refused, ",")
	case s.Isolated:
		text = "isolated, serves"
	}
	if m.Through != "" {
		text += ", reached through " + m.Through
	}
	return text
}

func joinOrDash(names []string) string {
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, ",")
}

// PrintJSON prints v as indented JSON.
func (o *Operator) PrintJSON(v any) error {
	encoder := json.NewEncoder(o.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func sortByKey[T any](items []T, key func(T) string) {
	slices.SortFunc(items, func(a, b T) int { return strings.Compare(key(a), key(b)) })
}
