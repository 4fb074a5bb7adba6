package instance

import (
	"errors"
	"slices"
	"sync"

	"github.com/pomelocross/pomelocross/lease"
	"github.com/pomelocross/pomelocross/slots"
)

// errMalformedReport is returned if the lists in a call or reply differ in length.
var errMalformedReport = errors.New("malformed report of slots")

// errNotHolder is returned by an instance that does not hold the domain's upstream
// role.
var errNotHolder = errors.New("not the holder of the upstream role")

// SlotService is the RPC service that grants shares of the slots of the domain's
// upstreams to instances of any domain, while this instance holds the domain's
// upstream role.
type SlotService struct {
	instance *Instance

	mu         sync.Mutex // guards epoch and allocators
	epoch      int64
	allocators map[string]*slots.Allocator // by service
}

// SlotCall holds an instance's reports, one for each service. InFlight holds the
// packed requests in flight of each report, whose own InFlight is nil.
type SlotCall struct {
	Domain   string
	Reports  []slots.Report
	InFlight []slots.Packed
	// Named requests a reply keyed by upstream name instead of by position, which is
	// needed when the two instances have different lists of upstreams.
	Named bool
}

// SlotReply holds an answer to each report. Shares holds the packed shares of each
// answer, whose own Shares is nil.
type SlotReply struct {
	Answers []slots.Answer
	Shares  []slots.Packed
}

// Report grants shares in reply to an instance's reports. Shares must expire before
// the lease of the upstream role does, so that the next holder of the role starts
// with no shares outstanding: if the lease ends before a share granted now would
// expire, the call fails with errNotHolder.
func (s *SlotService) Report(call SlotCall, reply *SlotReply) error {
	grant, held := s.instance.upstreamRole.Grant(s.instance.queues.timing.Term)
	if !held || call.Domain != s.instance.settings.Domain {
		return errNotHolder
	}
	if len(call.InFlight) != len(call.Reports) {
		return errMalformedReport
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != grant.Epoch {
		s.epoch, s.allocators = grant.Epoch, map[string]*slots.Allocator{}
	}
	for n, report := range call.Reports {
		names := s.instance.upstreamNames(report.Service, call.Domain)
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

// upstreamNames returns the names of a service's upstreams in a domain.
func (i *Instance) upstreamNames(service, domain string) slots.Names {
	var names []string
	for _, u := range i.view.Load().Upstream.ByDomain(service, domain) {
		names = append(names, u.Name)
	}
	return slots.NewNames(names)
}

func (s *SlotService) answer(report slots.Report, grant lease.Grant) slots.Answer {
	view := s.instance.view.Load()
	domain := s.instance.settings.Domain
	now := s.instance.clock.Now()
	allocator := s.allocators[report.Service]
	if allocator == nil {
		allocator = slots.NewAllocator(s.instance.queues.timing, grant.Epoch)
		s.allocators[report.Service] = allocator
	}
	upstreams := view.Upstream.ByDomain(report.Service, domain)
	if view.Contract != nil {
		service, _ := view.Contract.Service(report.Service)
		allocator.SetMembers(entryNames(view, domain), enginesOf(upstreams, service.Slots), now)
	}
	answer := allocator.HandleReport(report, now)
	if slices.Contains(entryNames(view, domain), report.Member) {
		return answer // members of the domain read the weight versions themselves
	}
	answer.Versions = map[string]int64{}
	for _, u := range upstreams {
		answer.Versions[u.Name] = u.Load.WeightVersion
	}
	return answer
}

// waiting returns the number of requests waiting for a service in the domain, as
// reported by instances during the epoch of grant.
func (s *SlotService) waiting(service string, grant lease.Grant) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	allocator := s.allocators[service]
	if s.epoch != grant.Epoch || allocator == nil {
		return 0
	}
	return allocator.Waiting(s.instance.clock.Now())
}
