package instance

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/objects"
)

const (
	// statusTimeout limits a request for the status of all instances.
	statusTimeout = 3 * time.Second
	// directTimeout limits a single status call. It leaves time within statusTimeout
	// to try again through other instances.
	directTimeout = time.Second
	// maxIntermediaries is the maximum number of instances that are asked to forward
	// a status request.
	maxIntermediaries = 2
)

// MemberService is the RPC service that reports the status of the instance to peers.
type MemberService struct{ instance *Instance }

// StatusRequest requests the status of the called instance or of another one.
type StatusRequest struct {
	// Of is the instance to forward the request to; empty for the called one.
	Of string
}

// Status returns the status of this instance, or forwards the request to the
// instance r.Of. It returns an error if r.Of is unknown or unreachable.
func (s *MemberService) Status(r StatusRequest, reply *Status) error {
	if r.Of == "" || r.Of == s.instance.settings.Name {
		*reply = s.instance.status()
		return nil
	}
	member, ok := s.instance.view.Load().Domain.Entry(r.Of)
	if !ok {
		return errors.New("instance is not known")
	}
	ctx, cancel := context.WithTimeout(context.Background(), directTimeout)
	defer cancel()
	return s.instance.dialer.Call(ctx, member.Peer, "Member.Status", StatusRequest{}, reply)
}

// MemberStatus is the status of a known instance, or the error of the status
// request.
type MemberStatus struct {
	Instance string          `json:"instance"`
	Domain   string          `json:"domain"`
	Liveness domain.Liveness `json:"liveness"`
	Peer     string          `json:"peer"` // address of its peer listener
	Leaving  bool            `json:"leaving,omitempty"`
	Error    string          `json:"error,omitempty"` // error of the direct call if no status was received
	// Through is the instance that forwarded the request; empty for a direct call.
	Through string  `json:"through,omitempty"`
	Status  *Status `json:"status,omitempty"`
}

// allStatus requests the status of all known instances concurrently.
func (i *Instance) allStatus(ctx context.Context) []MemberStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	entries := i.view.Load().Domain.All()
	all := make([]MemberStatus, len(entries))
	var calls sync.WaitGroup
	for n, entry := range entries {
		calls.Go(func() { all[n] = i.memberStatus(ctx, entry) })
	}
	calls.Wait()
	return all
}

func (i *Instance) memberStatus(ctx context.Context, entry objects.Member) MemberStatus {
	result := MemberStatus{Instance: entry.Name, Domain: entry.Domain, Peer: entry.Peer, Leaving: entry.Leaving, Liveness: i.view.Load().Domain.Liveness(entry.Name)}
	if entry.Name == i.settings.Name {
		own := i.status()
		result.Status = &own
		return result
	}
	status, err := i.callStatus(ctx, entry, "")
	if err != nil {
		status, result.Through = i.statusThrough(ctx, entry)
	}
	if status == nil {
		result.Error = err.Error()
	}
	result.Status = status
	return result
}

func (i *Instance) callStatus(ctx context.Context, entry objects.Member, of string) (*Status, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	status := &Status{}
	if err := i.dialer.Call(ctx, entry.Peer, "Member.Status", StatusRequest{Of: of}, status); err != nil {
		return nil, oops.In("instance").With("step", "status", "peer", entry.Name).Wrap(err)
	}
	return status, nil
}

// statusThrough requests the status of entry through instances of other domains,
// since the network may be partitioned only between this instance and entry. It
// returns the status and the name of the instance that forwarded the request, or nil
// if none did.
func (i *Instance) statusThrough(ctx context.Context, entry objects.Member) (*Status, string) {
	view := i.view.Load().Domain
	tried := 0
	for _, name := range view.Domains() {
		if name == entry.Domain || name == i.settings.Domain || tried == maxIntermediaries {
			continue
		}
		for _, relay := range domain.Ranked(view.Live(name), entry.Name) {
			if status, err := i.callStatus(ctx, relay, entry.Name); err == nil {
				return status, relay.Name
			}
			break // try only one instance of each domain
		}
		tried++
	}
	return nil, ""
}
