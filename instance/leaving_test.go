package instance

import (
	"testing"
	"time"

	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/upstream"
)

// leavingNow returns whether the view closes the only upstream to new work.
func leavingNow(v *View) bool { return v.Upstream.ByService("lm-pool")[0].Leaving }

func TestLeavingIsKnownFromAnyOfListReportAndNotice(t *testing.T) {
	member := objects.Member{Name: "lm-1", Role: objects.RoleUpstream, Service: "lm-pool", Domain: "mty-a"}
	gone := member
	gone.Leaving = true
	start := time.Unix(0, 0)
	listed := func(m objects.Member) membership {
		return membership{domain.NewView(objects.Member{Name: "entry-a"}, []objects.Member{m})}
	}
	says := func(leaving bool) loaded {
		return loaded{map[string]upstream.Load{"lm-1": {Leaving: leaving}}}
	}
	silent := loaded{map[string]upstream.Load{}}
	notice := leavingNoticed{upstreams: []string{"lm-1"}, now: start}
	for name, c := range map[string]struct {
		events []event
		want   bool
	}{
		"nothing":                        {[]event{says(false)}, false},
		"list":                           {[]event{listed(gone), says(false)}, true},
		"report":                         {[]event{says(true)}, true},
		"report, then a stale list":      {[]event{says(true), listed(member)}, true},
		"report, then no answer":         {[]event{says(true), silent}, true},
		"report, then taken back":        {[]event{says(true), says(false)}, false},
		"notice":                         {[]event{notice}, true},
		"notice, then a report to stay":  {[]event{notice, says(false)}, true},
		"notice that has not ended":      {[]event{notice, leavingNoticed{now: start.Add(noticeLife - 1)}}, true},
		"notice that has ended":          {[]event{notice, leavingNoticed{now: start.Add(noticeLife)}}, false},
		"notice repeated before its end": {[]event{notice, leavingNoticed{upstreams: []string{"lm-1"}, now: start.Add(noticeLife / 2)}, leavingNoticed{now: start.Add(noticeLife)}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			v := &View{Domain: domain.NewView(objects.Member{Name: "entry-a"}, []objects.Member{member})}
			for _, e := range c.events {
				e.apply(v)
			}
			if leavingNow(v) != c.want {
				t.Errorf("leaving is %v, want %v", leavingNow(v), c.want)
			}
		})
	}
}
