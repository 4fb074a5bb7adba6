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

const waitPoll = 200 * time.Millisecond

// Reach tells where a revision is in force.
type Reach struct {
	Revision  contract.Revision `json:"revision"`
	InForce   int               `json:"inForce"`
	Instances int               `json:"instances"`
	// CutOff are domains of which no instance answered; their instances are not
	// listed in Lagging again.
	CutOff  []string `json:"cutOff"`
	Lagging []Lag    `json:"lagging"`
}

// Lag is an instance without the revision.
type Lag struct {
	Instance string            `json:"instance"`
	Domain   string            `json:"domain"`
	Revision contract.Revision `json:"revision"` // 0 without an answer
	Why      string            `json:"why"`
}

// Whole reports whether the revision is in force everywhere.
func (r Reach) Whole() bool { return r.Instances > 0 && r.InForce == r.Instances }

// String says where the revision is missing, in one line.
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

// reach judges the answers of all instances. One that leaves and no longer
// answers is not counted.
func reach(all []instance.MemberStatus, revision contract.Revision) Reach {
	r := Reach{Revision: revision, CutOff: []string{}, Lagging: []Lag{}}
	answers := map[string]int{}
	for _, m := range all {
		if m.Status != nil {
			answers[m.Domain]++
		}
	}
	for _, m := range all {
		switch {
		case m.Leaving && m.Status == nil:
			continue
		case m.Status != nil && m.Status.Revision >= revision:
			r.InForce++
		case answers[m.Domain] == 0:
			r.CutOff = append(r.CutOff, m.Domain)
		default:
			r.Lagging = append(r.Lagging, lag(m))
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

func lag(m instance.MemberStatus) Lag {
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

// progress is where lines go that say how a command gets on.
func (o *Operator) progress() io.Writer {
	if o.JSON {
		return io.Discard
	}
	return o.Out
}

// WaitInForce waits until every known instance has at least revision in force,
// tells of each change, and names those that lag when ctx ends.
func (o *Operator) WaitInForce(ctx context.Context, revision contract.Revision) (Reach, error) {
	var last Reach
	for {
		all, err := o.AllStatus(ctx)
		if err == nil {
			now := reach(all, revision)
			if now.String() != last.String() {
				fmt.Fprintln(o.progress(), now)
			}
			last = now
		}
		if last.Whole() {
			return last, nil
		}
		select {
		case <-ctx.Done():
			return last, lagError(last, revision, err)
		case <-time.After(waitPoll):
		}
	}
}

func lagError(last Reach, revision contract.Revision, err error) error {
	if last.Instances == 0 {
		return &Error{Code: ExitLagging, Err: fmt.Errorf("revision %d is accepted; where it is in force is not known: %w", revision, err)}
	}
	return &Error{Code: ExitLagging, Err: fmt.Errorf("accepted, but %s", last)}
}
