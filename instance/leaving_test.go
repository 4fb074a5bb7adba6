package instance

import (
	"testing"
	"time"

	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/upstream"
)

// isLeaving reports whether the only upstream of the view is leaving.
func isLeaving(v *View) bool { return v.Upstream.ByService("lm-pool")[0].Leaving }

func TestLeavingFromListReportOrNotice(t *testing.T) {
	member := objects.Member{Name: "lm-1", Role: objects.RoleUpstream, Service: "lm-pool", Domain: "mty-a"}
	leavingMember := member
	leavingMember.Leaving = true
	start := time.Unix(0, 0)
	listed := func(m objects.Member) membershipEvent {
		return membershipEvent{domain.NewView(objects.Member{Name: "entry-a"}, []objects.Member{m})}
	}
	reports := func(leaving bool) loadsEvent {
		return loadsEvent{map[string]upstream.Load{"lm-1": {Leaving: leaving}}}
	}
	noReport := loadsEvent{map[string]upstream.Load{}}
	notice := leavingEvent{upstreams: []string{"lm-1"}, now: start}
	for name, c := range map[string]struct {
		events []event
		want   bool
	}{
		"nothing":                        {[]event{reports(false)}, false},
		"list":                           {[]event{listed(leavingMember), reports(false)}, true},
		"report":                         {[]event{reports(true)}, true},
		"report, then a stale list":      {[]event{reports(true), listed(member)}, true},
		"report, then no response":       {[]event{reports(true), noReport}, true},
		"report, then withdrawn":         {[]event{reports(true), reports(false)}, false},
		"notice":                         {[]event{notice}, true},
		"notice, then report of staying": {[]event{notice, reports(false)}, true},
		"notice before its expiry":       {[]event{notice, leavingEvent{now: start.Add(noticeTTL - 1)}}, true},
		"notice after its expiry":        {[]event{notice, leavingEvent{now: start.Add(noticeTTL)}}, false},
		"notice repeated before expiry":  {[]event{notice, leavingEvent{upstreams: []string{"lm-1"}, now: start.Add(noticeTTL / 2)}, leavingEvent{now: start.Add(noticeTTL)}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			v := &View{Domain: domain.NewView(objects.Member{Name: "entry-a"}, []objects.Member{member})}
			for _, e := range c.events {
				e.apply(v)
			}
			if isLeaving(v) != c.want {
				t.Errorf("leaving is %v, want %v", isLeaving(v), c.want)
			}
		})
	}
}
