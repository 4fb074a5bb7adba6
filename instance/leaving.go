package instance

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/upstream"
)

// noticeLife is how long a notice from another domain counts; the domain's
// holder repeats it sooner while it is true.
const noticeLife = 10 * noticeInterval

// notices are upstreams that leave, by name, with the time until which the
// notice counts. A value is immutable.
type notices map[string]time.Time

// LeavingService takes other domains' notices of upstreams that leave.
type LeavingService struct{ instance *Instance }

// LeavingNotice names upstreams that say of themselves that they leave.
type LeavingNotice struct{ Upstreams []string }

// Notice closes the named upstreams to new work.
func (s *LeavingService) Notice(n LeavingNotice, _ *struct{}) error {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	clock := s.instance.clock
	s.instance.send(ctx, leavingNoticed{upstreams: n.Upstreams, now: clock.Now()})
	clock.AfterFunc(noticeLife, func() {
		s.instance.send(context.Background(), leavingNoticed{now: clock.Now()})
	})
	return nil
}

// leavingNoticed is a notice from another domain's holder. It also drops
// notices that have ended.
type leavingNoticed struct {
	upstreams []string
	now       time.Time
}

func (e leavingNoticed) apply(v *View) {
	next := notices{}
	for name, until := range v.noticed {
		if e.now.Before(until) {
			next[name] = until
		}
	}
	for _, name := range e.upstreams {
		next[name] = e.now.Add(noticeLife)
	}
	v.noticed = next
	v.Upstream = v.table()
}

// table joins members, loads and notices.
func (v *View) table() *upstream.Table {
	loads := v.loads
	if len(v.noticed) > 0 {
		loads = maps.Clone(loads)
		if loads == nil {
			loads = map[string]upstream.Load{}
		}
		for name := range v.noticed {
			load := loads[name]
			load.Leaving = true
			loads[name] = load
		}
	}
	return upstream.NewTable(v.Domain.Upstreams(), loads)
}

// keepLeaving carries over that an upstream leaves when it no longer answers.
func keepLeaving(before, now map[string]upstream.Load) map[string]upstream.Load {
	for name, load := range before {
		if _, answered := now[name]; load.Leaving && !answered {
			now[name] = load
		}
	}
	return now
}

// notice tells the other domains of upstreams that leave by their own word
// while the list does not show it yet.
func (c *commander) notice(ctx context.Context, view *View, now time.Time) {
	if now.Sub(c.noticed) < noticeInterval {
		return
	}
	c.noticed = now
	names := unlistedLeaving(view, c.instance.settings.Domain)
	if len(names) == 0 {
		return
	}
	if !c.noticing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.noticing.Store(false)
		c.tell(ctx, view, LeavingNotice{Upstreams: names})
	}()
}

// tell sends a notice to all instances of other domains. A peer that does not
// answer is told again at the next interval.
func (c *commander) tell(ctx context.Context, view *View, n LeavingNotice) {
	ctx, cancel := context.WithTimeout(ctx, noticeInterval)
	defer cancel()
	var telling sync.WaitGroup
	for _, entry := range view.Domain.Entries() {
		if entry.Domain == c.instance.settings.Domain {
			continue
		}
		telling.Go(func() {
			_ = c.instance.dialer.Call(ctx, entry.Peer, "Leaving.Notice", n, &struct{}{})
		})
	}
	telling.Wait()
}

// unlistedLeaving returns the domain's upstreams that report to be leaving and
// are listed as staying.
func unlistedLeaving(view *View, domain string) []string {
	var names []string
	for _, m := range view.Domain.Upstreams() {
		if m.Domain == domain && m.Role == objects.RoleUpstream && !m.Leaving && view.loads[m.Name].Leaving {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return names
}
