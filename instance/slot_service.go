package instance

import (
	"errors"
	"slices"
	"sync"

	"github.com/pomelocross/pomelocross/lease"
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
	holders map[string]*slots.Allocator // by service
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
		s.epoch, s.holders = grant.Epoch, map[string]*slots.Allocator{}
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
	for _, u := range i.view.Load().Upstream.ByDomain(service, domain) {
		names = append(names, u.Name)
	}
	return slots.NewNames(names)
}

func (s *SlotService) answer(report slots.Report, grant lease.Grant) slots.Answer {
	view := s.instance.view.Load()
	domain := s.instance.settings.Domain
	now := s.instance.clock.Now()
	holder := s.holders[report.Service]
	if holder == nil {
		holder = slots.NewAllocator(s.instance.queues.timing, grant.Epoch)
		s.holders[report.Service] = holder
	}
	local := view.Upstream.ByDomain(report.Service, domain)
	if view.Contract != nil {
		service, _ := view.Contract.Service(report.Service)
		holder.SetMembers(memberNames(view, domain), enginesOf(local, service.Slots), now)
	}
	answer := holder.HandleReport(report, now)
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
