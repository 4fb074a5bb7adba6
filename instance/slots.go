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

// reshared makes the control goroutine give queues their new shares.
type reshared struct{}

func (reshared) apply(*View) {}

// shareSlots reports to the holder of the domain's upstream role, and to those
// of other domains when there is reason to borrow, until ctx ends.
func (i *Instance) shareSlots(ctx context.Context) {
	holders := map[string]string{} // the instance to ask first, by domain
	for ctx.Err() == nil {
		domains := append([]string{i.settings.Domain}, i.queues.lenders(i.view.Load(), i.settings.Domain)...)
		var asking sync.WaitGroup
		answered := make([]string, len(domains))
		for n, domain := range domains {
			asking.Go(func() { answered[n] = i.reportSlots(ctx, domain, holders[domain]) })
		}
		asking.Wait()
		for n, domain := range domains {
			holders[domain] = answered[n]
		}
		i.send(ctx, reshared{})
		sleep(ctx, i.slotsPause())
	}
}

// quietPause is how many intervals pass between reports while nothing runs or
// waits here; four still fall within a term.
const quietPause = 2

func (i *Instance) slotsPause() time.Duration {
	interval := i.queues.timing.Interval
	for _, report := range i.queues.reports(i.view.Load(), i.settings.Name, i.settings.Domain) {
		if !report.Idle() {
			return interval
		}
	}
	return quietPause * interval
}

// reportSlots sends one report. While the holder is not known it asks one peer
// after another. It returns the instance that answered as holder, or the one to
// ask first next time.
func (i *Instance) reportSlots(ctx context.Context, domain, first string) string {
	peers := i.view.Load().Domain.Peers(domain)
	start := max(0, placeOf(peers, first))
	for n := range peers {
		peer := peers[(start+n)%len(peers)]
		err := i.reportTo(ctx, domain, peer)
		i.counters.slotReport(domain, err)
		if err == nil {
			return peer.Name
		}
		if errors.Is(err, context.DeadlineExceeded) {
			return peers[(start+n+1)%len(peers)].Name
		}
	}
	return ""
}

func placeOf(peers []objects.Member, name string) int {
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
	if isOtherNames(err) {
		err = i.exchangeSlots(ctx, domain, peer, reports, true)
	}
	return err
}

// isOtherNames reports whether either side could not read the other's places.
func isOtherNames(err error) bool {
	var answered rpc.ServerError
	return errors.Is(err, slots.ErrNamesMismatch) || (errors.As(err, &answered) && answered.Error() == slots.ErrNamesMismatch.Error())
}

// exchangeSlots sends reports and takes in the answers, by names when named.
func (i *Instance) exchangeSlots(ctx context.Context, domain string, peer objects.Member, reports []slots.Report, named bool) error {
	call := SlotCall{Domain: domain, Named: named}
	names := make([]slots.Names, len(reports))
	for n, report := range reports {
		if !named {
			names[n] = i.namesOf(report.Service, domain)
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
		return errMalformed
	}
	for n := range reply.Answers {
		shares, err := names[n].Unpack(reply.Shares[n])
		if err != nil {
			return err
		}
		reply.Answers[n].Shares = shares
	}
	i.queues.answered(domain, call, reply, sent)
	return nil
}

func (i *Instance) callSlots(ctx context.Context, peer objects.Member, call SlotCall, reply *SlotReply) error {
	if peer.Name == i.settings.Name {
		return i.slotService.Report(call, reply)
	}
	return i.dialer.Call(ctx, peer.Peer, "Slots.Report", call, reply)
}
