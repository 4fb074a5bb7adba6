package instance

import (
	"context"
	"errors"
	"net/rpc"
	"sync"
	"time"

	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/slots"
)

// sharesEvent makes the control goroutine update the queues with new shares.
type sharesEvent struct{}

func (sharesEvent) apply(*View) {}

// runSlotReports sends slot reports to the holder of the domain's upstream role, and
// to the holders of domains to borrow from, until ctx ends.
func (i *Instance) runSlotReports(ctx context.Context) {
	firstPeers := map[string]string{} // the peer to call first, by domain
	for ctx.Err() == nil {
		domains := append([]string{i.settings.Domain}, i.queues.lenderDomains(i.view.Load, i.settings.Domain)...)
		var calls sync.WaitGroup
		nextPeers := make([]string, len(domains))
		for n, domain := range domains {
			calls.Go(func() { nextPeers[n] = i.reportSlots(ctx, domain, firstPeers[domain]) })
		}
		calls.Wait()
		for n, domain := range domains {
			firstPeers[domain] = nextPeers[n]
		}
		i.sendEvent(ctx, sharesEvent{})
		sleep(ctx, i.slotReportInterval())
	}
}

// idleIntervals is the number of report intervals between two reports while no
// request runs or waits on this instance. Four reports still fall within a term.
const idleIntervals = 2

func (i *Instance) slotReportInterval() time.Duration {
	interval := i.queues.timing.Interval
	for _, report := range i.queues.reports(i.view.Load(), i.settings.Name, i.settings.Domain) {
		if !report.Idle() {
			return interval
		}
	}
	return idleIntervals * interval
}

// reportSlots sends one report. It tries the peers of the domain in turn, starting
// at firstPeer, until the holder accepts the report or a call times out. It returns
// the peer to call first next time: the holder or, after a timeout, the following
// peer.
func (i *Instance) reportSlots(ctx context.Context, domain, firstPeer string) string {
	peers := i.view.Load().Domain.Peers(domain)
	startIndex := max(0, indexOf(peers, firstPeer))
	for n := range peers {
		peer := peers[(startIndex+n)%len(peers)]
		err := i.reportTo(ctx, domain, peer)
		i.counters.countReport(domain, err)
		if err == nil {
			return peer.Name
		}
		if errors.Is(err, context.DeadlineExceeded) {
			return peers[(startIndex+n+1)%len(peers)].Name
		}
	}
	return ""
}

func indexOf(peers []objects.Member, name string) int {
	for n, peer := range peers {
		if peer.Name == name {
			return n
		}
	}
	return -1
}

func (i *Instance) reportTo(ctx context.Context, domain string, peer objects.Member) error {
	ctx, cancel := context.WithTimeout(ctx, i.queues.timing.CallTimeout)
	defer cancel()
	reports := i.queues.reports(i.view.Load(), i.settings.Name, domain)
	err := i.exchangeSlots(ctx, domain, peer, reports, false)
	if isNameMismatch(err) {
		err = i.exchangeSlots(ctx, domain, peer, reports, true)
	}
	return err
}

// isNameMismatch reports whether one side could not unpack the other's positions
// because their lists of upstreams differ.
func isNameMismatch(err error) bool {
	var serverErr rpc.ServerError
	return errors.Is(err, slots.ErrNamesMismatch) || (errors.As(err, &serverErr) && serverErr.Error() == slots.ErrNamesMismatch.Error())
}

// exchangeSlots sends reports to a peer and applies the reply. With named, both are
// keyed by upstream name instead of by position.
func (i *Instance) exchangeSlots(ctx context.Context, domain string, peer objects.Member, reports []slots.Report, named bool) error {
	call := SlotCall{Domain: domain, Named: named}
	names := make([]slots.Names, len(reports))
	for n, report := range reports {
		if !named {
			names[n] = i.upstreamNames(report.Service, domain)
		}
		call.InFlight = append(call.InFlight, names[n].Pack(report.InFlight))
		report.InFlight = nil
		call.Reports = append(call.Reports, report)
	}
	sent := i.clock.Now()
	var reply SlotReply
	if err := i.callSlots(ctx, peer, call, &reply); err != nil {
		return err
	}
	if len(reply.Answers) != len(reports) || len(reply.Shares) != len(reports) {
		return errMalformedReport
	}
	for n := range reply.Answers {
		shares, err := names[n].Unpack(reply.Shares[n])
		if err != nil {
			return err
		}
		reply.Answers[n].Shares = shares
	}
	i.queues.applyReply(domain, call, reply, sent)
	return nil
}

func (i *Instance) callSlots(ctx context.Context, peer objects.Member, call SlotCall, reply *SlotReply) error {
	if peer.Name == i.settings.Name {
		return i.slotService.Report(call, reply)
	}
	return i.dialer.Call(ctx, peer.Peer, "Slots.Report", call, reply)
}
