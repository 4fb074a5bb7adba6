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
	// sourceTimeout is the time without updates from a source after which the copies
	// of its totals on other instances are billed.
	sourceTimeout = 4 * usage.PushInterval
	// usageReplicas is the number of peers that hold copies of an instance's totals.
	usageReplicas = 2
	// usageCopyTimeout limits how long a completed response waits until its usage is
	// copied to a peer.
	usageCopyTimeout = 50 * time.Millisecond
)

// usageTracker meters the usage of this instance's requests and copies the totals to
// peers. While the instance holds the billing role, it reports the usage of all
// instances to the platform.
type usageTracker struct {
	instance     *Instance
	meter        *usage.Meter
	copies       *usage.Copies
	replicator   *usage.Replicator
	biller       usage.Biller
	billingEpoch int64     // epoch of the billing role to which the state of biller belongs
	lastClosed   time.Time // start of the last window closed in that epoch

	lastAccepting []string // peers that accepted the last push; used by the replicator only
}

func newUsageTracker(i *Instance) *usageTracker {
	source := usage.Source(i.settings.Name + "@" + uuid.NewString()[:8])
	t := &usageTracker{
		instance: i,
		meter:    usage.NewMeter(source, i.settings.UsageWindow),
		copies:   usage.NewCopies(sourceTimeout, usage.DefaultRetention),
	}
	t.biller = usage.Biller{Store: i.platform, Report: t.report, Retention: usage.DefaultRetention}
	t.replicator = usage.NewReplicator(t.meter, t.push, i.clock)
	return t
}

// endCompletion records the usage of a completion that has ended with err.
func (t *usageTracker) endCompletion(ctx context.Context, tally *usage.Tally, completion attempt.Completion, err error) {
	tally.End(t.instance.clock.Now(), int64(completion.PromptTokens), err == nil || completion.OutputTokens > 0)
	if err == nil {
		t.awaitCopy(ctx)
	}
}

// awaitCopy waits up to usageCopyTimeout until a peer holds a copy of the recorded
// usage, so that a complete response is billed even if this instance crashes
// right after the caller has received it.
func (t *usageTracker) awaitCopy(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, usageCopyTimeout)
	defer cancel()
	if !t.replicator.Wait(ctx) {
		t.instance.counters.usageNotCopied.Add(context.Background(), 1)
	}
}

// push implements usage.PushFunc. It sends lines to the chosen peers, and returns the
// number of peers that accepted them and whether these are all chosen peers and the
// same ones as before.
func (t *usageTracker) push(ctx context.Context, lines []usage.Line) (int, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	peers := t.choosePeers()
	accepted := make([]bool, len(peers))
	var calls sync.WaitGroup
	for n, peer := range peers {
		calls.Go(func() {
			accepted[n] = t.instance.dialer.Call(ctx, peer.Peer, "Usage.Take", usage.PushRequest{Lines: lines}, &usage.PushReply{}) == nil
		})
	}
	calls.Wait()
	var accepting []string
	for n, peer := range peers {
		if accepted[n] {
			accepting = append(accepting, peer.Name)
		}
	}
	complete := len(accepting) > 0 && len(accepting) == len(peers) && sameNames(accepting, t.lastAccepting)
	t.lastAccepting = accepting
	return len(accepting), complete
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

// choosePeers returns usageReplicas peers to hold the copies: one in this failure
// domain, for low latency, and one in another, which survives the loss of the
// domain. If either has none, both are chosen from the other.
func (t *usageTracker) choosePeers() []objects.Member {
	i := t.instance
	var sameDomain, otherDomains []objects.Member
	for _, peer := range domain.Ranked(i.view.Load().Domain.Entries(), string(t.meter.Source())) {
		switch {
		case peer.Name == i.settings.Name:
		case peer.Domain == i.settings.Domain:
			sameDomain = append(sameDomain, peer)
		default:
			otherDomains = append(otherDomains, peer)
		}
	}
	var chosen []objects.Member
	for len(chosen) < usageReplicas && len(sameDomain)+len(otherDomains) > 0 {
		if len(sameDomain) > 0 {
			chosen, sameDomain = append(chosen, sameDomain[0]), sameDomain[1:]
		}
		if len(otherDomains) > 0 && len(chosen) < usageReplicas {
			chosen, otherDomains = append(chosen, otherDomains[0]), otherDomains[1:]
		}
	}
	return chosen
}

// UsageService is the RPC service that stores copies of the totals of peers and
// returns totals to the holder of the billing role.
type UsageService struct{ tracker *usageTracker }

// Take stores a copy of a peer's totals.
func (s *UsageService) Take(push usage.PushRequest, _ *usage.PushReply) error {
	s.tracker.copies.Merge(push.Lines, s.tracker.instance.clock.Now())
	return nil
}

// Gather returns this instance's totals, and its copies of the totals of sources
// that have sent no update for sourceTimeout.
func (s *UsageService) Gather(_ usage.GatherRequest, reply *usage.GatherReply) error {
	reply.Lines = s.tracker.localLines()
	return nil
}

func (t *usageTracker) localLines() []usage.Line {
	now := t.instance.clock.Now()
	own, _ := t.meter.Lines(now, usage.MaxMarks, 0)
	return append(own, t.copies.Orphans(now)...)
}

// gatherAll requests the totals of all instances. Usage of instances that do not
// respond is billed with a later window.
func (t *usageTracker) gatherAll(ctx context.Context) []usage.Line {
	i := t.instance
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var mu sync.Mutex // guards lines
	lines := t.localLines()
	var calls sync.WaitGroup
	for _, peer := range i.view.Load().Domain.Entries() {
		if peer.Name == i.settings.Name {
			continue
		}
		calls.Go(func() {
			var reply usage.GatherReply
			if err := i.dialer.Call(ctx, peer.Peer, "Usage.Gather", usage.GatherRequest{}, &reply); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			lines = append(lines, reply.Lines...)
		})
	}
	calls.Wait()
	return lines
}

// report implements usage.ReportFunc. The role is checked again when the platform
// requests the body, so that a process that was suspended while sending does not
// complete the report after it has lost the role.
func (t *usageTracker) report(ctx context.Context, r objects.UsageReport, held func() bool) error {
	lifetime := t.instance.orderTimeout()
	ctx, cancel := context.WithTimeout(ctx, lifetime)
	defer cancel()
	return t.instance.platform.ReportUsageFenced(ctx, r, lifetime, func() error {
		if !held() {
			return usage.ErrRoleLost
		}
		return nil
	})
}

// runBillingRole acquires the billing role and closes usage windows while this
// instance holds it.
func (i *Instance) runBillingRole(ctx context.Context) {
	i.runRole(ctx, i.billingRole, min(i.settings.UsageWindow/4, 5*time.Second), i.usage.closeWindows)
}

// closeWindows closes and reports every window that ended at least UsageGrace ago.
func (t *usageTracker) closeWindows(ctx context.Context, grant lease.Grant) {
	if t.billingEpoch != grant.Epoch {
		t.biller.Reset()
		t.billingEpoch, t.lastClosed = grant.Epoch, time.Time{}
	}
	i := t.instance
	window := i.clock.Now().UTC().Add(-i.settings.UsageGrace).Truncate(i.settings.UsageWindow).Add(-i.settings.UsageWindow)
	if !window.After(t.lastClosed) {
		return // totals are gathered once per window
	}
	billingGrant := usage.Grant{Holder: i.settings.Name, Epoch: grant.Epoch, Held: func() bool {
		currentGrant, held := i.billingRole.Grant(i.orderMargin())
		return held && currentGrant.Epoch == grant.Epoch
	}}
	err := t.biller.Close(ctx, billingGrant, t.gatherAll(ctx), window)
	i.counters.countOrder("usage", err)
	if err != nil {
		i.log.Warn("usage report failed; retrying at the next interval", zap.Error(err))
		return
	}
	t.lastClosed = window
}
