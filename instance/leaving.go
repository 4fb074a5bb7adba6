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

// noticeTTL is how long a notice from another domain is valid. The holder of that
// domain's upstream role repeats it at each noticeInterval while it applies.
const noticeTTL = 10 * noticeInterval

// leavingNotices holds the expiry times of notices about leaving upstreams, by
// upstream. A value is immutable.
type leavingNotices map[string]time.Time

// LeavingService is the RPC service that receives notices of leaving upstreams
// from other domains.
type LeavingService struct{ instance *Instance }

// LeavingNotice lists upstreams that report themselves as leaving.
type LeavingNotice struct{ Upstreams []string }

// Notice marks the upstreams as leaving for noticeTTL, so that they get no new
// requests.
func (s *LeavingService) Notice(n LeavingNotice, _ *struct{}) error {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	clock := s.instance.clock
	s.instance.sendEvent(ctx, leavingEvent{upstreams: n.Upstreams, now: clock.Now()})
	clock.AfterFunc(noticeTTL, func() {
		s.instance.sendEvent(context.Background(), leavingEvent{now: clock.Now()})
	})
	return nil
}

// leavingEvent adds a notice from another domain. Applying it also removes expired
// notices.
type leavingEvent struct {
	upstreams []string
	now       time.Time
}

func (e leavingEvent) apply(v *View) {
	next := leavingNotices{}
	for name, until := range v.notices {
		if e.now.Before(until) {
			next[name] = until
		}
	}
	for _, name := range e.upstreams {
		next[name] = e.now.Add(noticeTTL)
	}
	v.notices = next
	v.Upstream = v.upstreamTable()
}

// upstreamTable combines members, loads and notices.
func (v *View) upstreamTable() *upstream.Table {
	loads := v.loads
	if len(v.notices) > 0 {
		loads = maps.Clone(loads)
		if loads == nil {
			loads = map[string]upstream.Load{}
		}
		for name := range v.notices {
			load := loads[name]
			load.Leaving = true
			loads[name] = load
		}
	}
	return upstream.NewTable(v.Domain.Upstreams(), loads)
}

// keepLeaving copies the loads of leaving upstreams that no longer respond from
// previous to current, so that they still count as leaving.
func keepLeaving(previous, current map[string]upstream.Load) map[string]upstream.Load {
	for name, load := range previous {
		if _, responded := current[name]; load.Leaving && !responded {
			current[name] = load
		}
	}
	return current
}

// notifyDomains informs the other domains about upstreams that report themselves as
// leaving while the member list does not show it yet. It does nothing while an
// earlier notice is being sent.
func (c *upstreamController) notifyDomains(ctx context.Context, view *View, now time.Time) {
	if now.Sub(c.lastNotice) < noticeInterval {
		return
	}
	c.lastNotice = now
	names := unlistedLeaving(view, c.instance.settings.Domain)
	if len(names) == 0 {
		return
	}
	if !c.noticeInFlight.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.noticeInFlight.Store(false)
		c.sendNotice(ctx, view, LeavingNotice{Upstreams: names})
	}()
}

// sendNotice sends a notice to all instances of other domains. Errors are ignored,
// since the notice is repeated at the next interval.
func (c *upstreamController) sendNotice(ctx context.Context, view *View, n LeavingNotice) {
	ctx, cancel := context.WithTimeout(ctx, noticeInterval)
	defer cancel()
	var calls sync.WaitGroup
	for _, entry := range view.Domain.Entries() {
		if entry.Domain == c.instance.settings.Domain {
			continue
		}
		calls.Go(func() {
			_ = c.instance.dialer.Call(ctx, entry.Peer, "Leaving.Notice", n, &struct{}{})
		})
	}
	calls.Wait()
}

// unlistedLeaving returns the domain's upstreams that report themselves as leaving
// but are not marked as leaving in the member list.
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
