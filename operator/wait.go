package operator

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/instance"
)

// statusPollInterval is the pause between two status requests while waiting.
const statusPollInterval = 200 * time.Millisecond

// Reach reports on which instances a revision is in force.
type Reach struct {
	Revision  contract.Revision `json:"revision"`
	InForce   int               `json:"inForce"`
	Instances int               `json:"instances"`
	// CutOff lists the failure domains in which no instance responded. Their instances
	// are not listed in Lagging.
	CutOff  []string `json:"cutOff"`
	Lagging []Lag    `json:"lagging"`
}

// Lag describes an instance on which the revision is not in force.
type Lag struct {
	Instance string            `json:"instance"`
	Domain   string            `json:"domain"`
	Revision contract.Revision `json:"revision"` // 0 if the instance did not respond
	Why      string            `json:"why"`
}

// Complete reports whether the revision is in force on every instance.
func (r Reach) Complete() bool { return r.Instances > 0 && r.InForce == r.Instances }

// String returns a one-line summary with the instances that lack the revision.
func (r Reach) String() string {
	text := fmt.Sprintf("revision %d is in force at %d of %s", r.Revision, r.InForce, plural(r.Instances, "instance"))
	if len(r.CutOff) > 0 {
		text += "; cut off: " + strings.Join(r.CutOff, ", ")
	}
	for n, l := range r.Lagging {
		separator := ", "
		if n == 0 {
			separator = "; lagging: "
		}
		text += fmt.Sprintf("%s%s in %s (%s)", separator, l.Instance, l.Domain, l.Why)
	}
	return text
}

// summarize computes the reach of a revision from the status of all instances. An
// instance that is leaving and no longer responds is not counted.
func summarize(all []instance.MemberStatus, revision contract.Revision) Reach {
	r := Reach{Revision: revision, CutOff: []string{}, Lagging: []Lag{}}
	responding := map[string]int{}
	for _, m := range all {
		if m.Status != nil {
			responding[m.Domain]++
		}
	}
	for _, m := range all {
		switch {
		case m.Leaving && m.Status == nil:
			continue
		case m.Status != nil && m.Status.Revision >= revision:
			r.InForce++
		case responding[m.Domain] == 0:
			r.CutOff = append(r.CutOff, m.Domain)
		default:
			r.Lagging = append(r.Lagging, newLag(m))
		}
		r.Instances++
	}
	slices.Sort(r.CutOff)
	r.CutOff = slices.Compact(r.CutOff)
	slices.SortFunc(r.Lagging, func(a, b Lag) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Instance, b.Instance))
	})
	return r
}

func newLag(m instance.MemberStatus) Lag {
	l := Lag{Instance: m.Instance, Domain: m.Domain, Why: "no answer"}
	if m.Status == nil {
		if m.Liveness != domain.Alive {
			l.Why = "no answer, " + string(m.Liveness)
		}
		return l
	}
	l.Revision = m.Status.Revision
	l.Why = fmt.Sprintf("has revision %d", l.Revision)
	if m.Status.Isolated {
		l.Why += ", isolated"
	}
	return l
}

// progress returns the writer for progress messages; with JSON output they are
// discarded.
func (o *Operator) progress() io.Writer {
	if o.JSON {
		return io.Discard
	}
	return o.Out
}

// WaitInForce waits until revision or a newer one is in force on every known instance
// and prints each change. If ctx ends first, it returns an error that names the
// lagging instances.
func (o *Operator) WaitInForce(ctx context.Context, revision contract.Revision) (Reach, error) {
	var last Reach
	for {
		all, err := o.AllStatus(ctx)
		if err == nil {
			current := summarize(all, revision)
			if current.String() != last.String() {
				fmt.Fprintln(o.progress(), current)
			}
			last = current
		}
		if last.Complete() {
			return last, nil
		}
		select {
		case <-ctx.Done():
			return last, laggingError(last, revision, err)
		case <-time.After(statusPollInterval):
		}
	}
}

func laggingError(last Reach, revision contract.Revision, err error) error {
	if last.Instances == 0 {
		return &Error{Code: ExitLagging, Err: fmt.Errorf("revision %d is accepted; the instances on which it is in force could not be determined: %w", revision, err)}
	}
	return &Error{Code: ExitLagging, Err: fmt.Errorf("accepted, but %s", last)}
}
