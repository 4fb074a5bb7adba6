package instance

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/attempt"
	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/lease"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/usage"
)

const (
	// usageSilence is how long a source must be silent before another
	// instance's copies of its totals are billed.
	usageSilence = 4 * usage.PushInterval
	// usageHolders is how many peers hold an instance's copies.
	usageHolders = 2
	// usageCommit bounds how long a finished answer waits for its count to be
	// copied.
	usageCommit = 50 * time.Millisecond
)

// usageKeeper meters one instance's requests, copies the totals to peers and
// bills them while the instance holds the billing role.
type usageKeeper struct {
	instance   *Instance
	meter      *usage.Meter
	copies     *usage.Copies
	replicator *usage.Replicator
	biller     usage.Biller
	billing    int64     // epoch that the biller's knowledge is from
	closed     time.Time // last window closed under that epoch

	holders []string // peers that have everything; used by the replicator only
}

func newUsageKeeper(i *Instance) *usageKeeper {
	source := usage.Source(i.settings.Name + "@" + uuid.NewString()[:8])
	k := &usageKeeper{
		instance: i,
		meter:    usage.NewMeter(source, i.settings.UsageWindow),
		copies:   usage.NewCopies(usageSilence, usage.DefaultRetention),
	}
	k.biller = usage.Biller{Store: i.platform, Report: k.report, Retention: usage.DefaultRetention}
	k.replicator = usage.NewReplicator(k.meter, k.push, i.clock)
	return k
}

// end counts a completion that has ended with err.
func (k *usageKeeper) end(ctx context.Context, tally *usage.Tally, whole attempt.Completion, err error) {
	tally.End(k.instance.clock.Now(), int64(whole.PromptTokens), err == nil || whole.OutputTokens > 0)
	if err == nil {
		k.commit(ctx)
	}
}

// commit waits for a moment until a peer holds what was counted, so that a whole
// answer that a caller has received is billed even if this instance dies next.
func (k *usageKeeper) commit(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, usageCommit)
	defer cancel()
	if !k.replicator.Wait(ctx) {
		k.instance.counters.uncopied.Add(context.Background(), 1)
	}
}

// push implements usage.Pusher.
func (k *usageKeeper) push(ctx context.Context, lines []usage.Line) (int, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	chosen := k.choose()
	taken := make([]bool, len(chosen))
	var pushing sync.WaitGroup
	for n, peer := range chosen {
		pushing.Go(func() {
			taken[n] = k.instance.dialer.Call(ctx, peer.Peer, "Usage.Take", usage.PushRequest{Lines: lines}, &usage.PushReply{}) == nil
		})
	}
	pushing.Wait()
	var holders []string
	for n, peer := range chosen {
		if taken[n] {
			holders = append(holders, peer.Name)
		}
	}
	complete := len(holders) > 0 && len(holders) == len(chosen) && sameNames(holders, k.holders)
	k.holders = holders
	return len(holders), complete
}

func sameNames(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// choose returns the peers that hold the copies: one of this failure domain,
// which answers soon, and one of another, which outlives the domain.
func (k *usageKeeper) choose() []objects.Member {
	i := k.instance
	var near, far []objects.Member
	for _, peer := range domain.Ranked(i.view.Load().Domain.Entries(), string(k.meter.Source())) {
		switch {
		case peer.Name == i.settings.Name:
		case peer.Domain == i.settings.Domain:
			near = append(near, peer)
		default:
			far = append(far, peer)
		}
	}
	var chosen []objects.Member
	for len(chosen) < usageHolders && len(near)+len(far) > 0 {
		if len(near) > 0 {
			chosen, near = append(chosen, near[0]), near[1:]
		}
		if len(far) > 0 && len(chosen) < usageHolders {
			chosen, far = append(chosen, far[0]), far[1:]
		}
	}
	return chosen
}

// UsageService takes peers' totals and answers the billing holder.
type UsageService struct{ keeper *usageKeeper }

// Take holds a peer's totals for it.
func (s *UsageService) Take(push usage.PushRequest, _ *usage.PushReply) error {
	s.keeper.copies.Merge(push.Lines, s.keeper.instance.clock.Now())
	return nil
}

// Gather returns this instance's totals and those of silent sources it holds
// copies of.
func (s *UsageService) Gather(_ usage.GatherRequest, reply *usage.GatherReply) error {
	reply.Lines = s.keeper.gatherHere()
	return nil
}

func (k *usageKeeper) gatherHere() []usage.Line {
	now := k.instance.clock.Now()
	own, _ := k.meter.Lines(now, usage.MaxMarks, 0)
	return append(own, k.copies.Orphans(now)...)
}

// gather asks all instances; those that do not answer are billed with a later
// window.
func (k *usageKeeper) gather(ctx context.Context) []usage.Line {
	i := k.instance
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var mu sync.Mutex // guards lines
	lines := k.gatherHere()
	var asking sync.WaitGroup
	for _, peer := range i.view.Load().Domain.Entries() {
		if peer.Name == i.settings.Name {
			continue
		}
		asking.Go(func() {
			var reply usage.GatherReply
			if err := i.dialer.Call(ctx, peer.Peer, "Usage.Gather", usage.GatherRequest{}, &reply); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			lines = append(lines, reply.Lines...)
		})
	}
	asking.Wait()
	return lines
}

// report implements usage.ReportFunc. The role is checked once more when the
// platform has asked for the body, so that a process that was stopped inside the
// send does not complete it.
func (k *usageKeeper) report(ctx context.Context, r objects.UsageReport, held func() bool) error {
	lifetime := k.instance.orderTimeout()
	ctx, cancel := context.WithTimeout(ctx, lifetime)
	defer cancel()
	return k.instance.platform.ReportUsageFenced(ctx, r, lifetime, func() error {
		if !held() {
			return usage.ErrRoleLost
		}
		return nil
	})
}

// holdBilling seeks the billing role and closes windows while it holds it.
func (i *Instance) holdBilling(ctx context.Context) {
	i.hold(ctx, i.billingRole, min(i.settings.UsageWindow/4, 5*time.Second), i.usage.closeWindows)
}

// closeWindows freezes and reports every window that is over.
func (k *usageKeeper) closeWindows(ctx context.Context, grant lease.Grant) {
	if k.billing != grant.Epoch {
		k.biller.Reset()
		k.billing, k.closed = grant.Epoch, time.Time{}
	}
	i := k.instance
	last := i.clock.Now().UTC().Add(-i.settings.UsageGrace).Truncate(i.settings.UsageWindow).Add(-i.settings.UsageWindow)
	if !last.After(k.closed) {
		return // sources are asked once a window
	}
	tenure := usage.Grant{Holder: i.settings.Name, Epoch: grant.Epoch, Held: func() bool {
		current, held := i.billingRole.Grant(i.orderSpare())
		return held && current.Epoch == grant.Epoch
	}}
	err := k.biller.Close(ctx, tenure, k.gather(ctx), last)
	i.counters.order("usage", err)
	if err != nil {
		i.log.Warn("usage is not reported", zap.Error(err))
		return
	}
	k.closed = last
}
