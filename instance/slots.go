package instance

import (
	"context"
	"errors"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/pomelocross/pomelocross/lease"
	"github.com/pomelocross/pomelocross/platform"
	"github.com/pomelocross/pomelocross/slots"
)

// errMalformed is answered to a call whose parts do not fit together.
var errMalformed = errors.New("malformed report of slots")

// errNotHolder is answered by an instance without the domain's upstream role.
var errNotHolder = errors.New("not the holder of the upstream role")

// SlotService grants shares of upstreams to the instances of the domain while
// this instance holds the upstream role.
type SlotService struct {
	instance *Instance

	mu      sync.Mutex // guards epoch and holders
	epoch   int64
	holders map[string]*slots.Holder // by service
}

// SlotCall carries an instance's reports, one for each service. The requests in
// flight are packed apart from the reports.
type SlotCall struct {
	Domain   string
	Reports  []slots.Report
	InFlight []slots.Packed
	// Named asks for an answer by names, since the lists of engines differ.
	Named bool
}

// SlotReply holds an answer to each report. The shares are packed apart from the
// answers.
type SlotReply struct {
	Answers []slots.Answer
	Shares  []slots.Packed
}

// Report answers an instance's reports. Shares must end before the lease does,
// so that a successor starts with none outstanding.
func (s *SlotService) Report(call SlotCall, reply *SlotReply) error {
	grant, held := s.instance.upstreamRole.Grant(s.instance.queues.timing.Term)
	if !held || call.Domain != s.instance.settings.Domain {
		return errNotHolder
	}
	if len(call.InFlight) != len(call.Reports) {
		return errMalformed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != grant.Epoch {
		s.epoch, s.holders = grant.Epoch, map[string]*slots.Holder{}
	}
	for n, report := range call.Reports {
		names := s.instance.namesOf(report.Service, call.Domain)
		inFlight, err := names.Unpack(call.InFlight[n])
		if err != nil {
			return err
		}
		report.InFlight = inFlight
		answer := s.answer(report, grant)
		if call.Named {
			names = slots.Names{}
		}
		reply.Shares = append(reply.Shares, names.Pack(answer.Shares))
		answer.Shares = nil
		reply.Answers = append(reply.Answers, answer)
	}
	return nil
}

// namesOf returns the names of a service's upstreams in a domain.
func (i *Instance) namesOf(service, domain string) slots.Names {
	var names []string
	for _, u := range i.view.Load().Upstream.In(service, domain) {
		names = append(names, u.Name)
	}
	return slots.NamesOf(names)
}

func (s *SlotService) answer(report slots.Report, grant lease.Grant) slots.Answer {
	view := s.instance.view.Load()
	domain := s.instance.settings.Domain
	now := s.instance.clock.Now()
	holder := s.holders[report.Service]
	if holder == nil {
		holder = slots.NewHolder(s.instance.queues.timing, grant.Epoch)
		s.holders[report.Service] = holder
	}
	local := view.Upstream.In(report.Service, domain)
	if view.Contract != nil {
		service, _ := view.Contract.Service(report.Service)
		holder.Listed(memberNames(view, domain), enginesOf(local, service.Slots), now)
	}
	answer := holder.Report(report, now)
	if slices.Contains(memberNames(view, domain), report.Member) {
		return answer // members of the domain read versions themselves
	}
	answer.Versions = map[string]int64{}
	for _, u := range local {
		answer.Versions[u.Name] = u.Load.WeightVersion
	}
	return answer
}

// waiting returns how many requests wait for a service in the domain, as its
// instances have reported under a grant.
func (s *SlotService) waiting(service string, grant lease.Grant) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	holder := s.holders[service]
	if s.epoch != grant.Epoch || holder == nil {
		return 0
	}
	return holder.Waiting(s.instance.clock.Now())
}

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
		if !report.Quiet() {
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

func placeOf(peers []platform.Member, name string) int {
	for n, peer := range peers {
		if peer.Name == name {
			return n
		}
	}
	return -1
}

func (i *Instance) reportTo(ctx context.Context, domain string, peer platform.Member) error {
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
	return errors.Is(err, slots.ErrOtherNames) || (errors.As(err, &answered) && answered.Error() == slots.ErrOtherNames.Error())
}

// exchangeSlots sends reports and takes in the answers, by names when named.
func (i *Instance) exchangeSlots(ctx context.Context, domain string, peer platform.Member, reports []slots.Report, named bool) error {
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

func (i *Instance) callSlots(ctx context.Context, peer platform.Member, call SlotCall, reply *SlotReply) error {
	if peer.Name == i.settings.Name {
		return i.slotService.Report(call, reply)
	}
	return i.dialer.Call(ctx, peer.Peer, "Slots.Report", call, reply)
}

// slotCounters are the metrics of shared slots.
type slotCounters struct{ reports metric.Int64Counter }

func (c slotCounters) slotReport(domain string, err error) {
	c.reports.Add(context.Background(), 1, metric.WithAttributes(attribute.String("domain", domain), attribute.Bool("granted", err == nil)))
}

// observeQueues registers gauges of what waits, is shared and is taken out.
func (i *Instance) observeQueues(meter metric.Meter) error {
	gauges := map[string]metric.Int64ObservableGauge{}
	for name, description := range map[string]string{
		"pomelocross_queue_waiting": "requests that wait by service",
		"pomelocross_queue_slots":   "slots of this instance by service",
		"pomelocross_queue_ejected": "upstreams that get no new work by service",
	} {
		gauge, err := meter.Int64ObservableGauge(name, metric.WithDescription(description))
		if err != nil {
			return err
		}
		gauges[name] = gauge
	}
	reports, err := meter.Int64Counter("pomelocross_slot_reports", metric.WithDescription("reports to holders of the upstream role"))
	if err != nil {
		return err
	}
	i.counters.slotCounters = slotCounters{reports}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for name, stats := range i.queues.stats() {
			service := metric.WithAttributes(attribute.String("service", name))
			o.ObserveInt64(gauges["pomelocross_queue_waiting"], int64(stats.Waiting), service)
			o.ObserveInt64(gauges["pomelocross_queue_slots"], int64(stats.Slots), service)
			o.ObserveInt64(gauges["pomelocross_queue_ejected"], int64(stats.Ejected), service)
		}
		return nil
	}, gauges["pomelocross_queue_waiting"], gauges["pomelocross_queue_slots"], gauges["pomelocross_queue_ejected"])
	return err
}
