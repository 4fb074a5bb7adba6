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
	// statusTimeout bounds the whole of a question for all instances' status.
	statusTimeout = 3 * time.Second
	// directTimeout leaves time to ask through another instance.
	directTimeout = time.Second
	// intermediaries is how many instances are asked to pass a question on.
	intermediaries = 2
)

// MemberService tells peers about the instance.
type MemberService struct{ instance *Instance }

// StatusRequest asks for the status of the called instance or of another one.
type StatusRequest struct {
	// Of names another instance to pass the question on to; empty for the called one.
	Of string
}

// Status returns the instance's status, or that of another one that it reaches.
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

// MemberStatus is a known instance with its answer.
type MemberStatus struct {
	Instance string          `json:"instance"`
	Domain   string          `json:"domain"`
	Liveness domain.Liveness `json:"liveness"`
	Peer     string          `json:"peer"` // address that was asked
	Leaving  bool            `json:"leaving,omitempty"`
	Error    string          `json:"error,omitempty"` // why it did not answer
	// Through names the instance that passed the question on, if one did.
	Through string  `json:"through,omitempty"`
	Status  *Status `json:"status,omitempty"`
}

// allStatus asks every known instance at once.
func (i *Instance) allStatus(ctx context.Context) []MemberStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	entries := i.view.Load().Domain.All()
	all := make([]MemberStatus, len(entries))
	var asking sync.WaitGroup
	for n, entry := range entries {
		asking.Go(func() { all[n] = i.askStatus(ctx, entry) })
	}
	asking.Wait()
	return all
}

func (i *Instance) askStatus(ctx context.Context, entry objects.Member) MemberStatus {
	answer := MemberStatus{Instance: entry.Name, Domain: entry.Domain, Peer: entry.Peer, Leaving: entry.Leaving, Liveness: i.view.Load().Domain.Liveness(entry.Name)}
	if entry.Name == i.settings.Name {
		own := i.status()
		answer.Status = &own
		return answer
	}
	status, err := i.callStatus(ctx, entry, "")
	if err != nil {
		status, answer.Through = i.statusThrough(ctx, entry)
	}
	if status == nil {
		answer.Error = err.Error()
	}
	answer.Status = status
	return answer
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

// statusThrough asks instances of other domains to pass the question on, since
// the network may be cut here alone.
func (i *Instance) statusThrough(ctx context.Context, entry objects.Member) (*Status, string) {
	view := i.view.Load().Domain
	asked := 0
	for _, name := range view.Domains() {
		if name == entry.Domain || name == i.settings.Domain || asked == intermediaries {
			continue
		}
		for _, middle := range domain.Ranked(view.Live(name), entry.Name) {
			if status, err := i.callStatus(ctx, middle, entry.Name); err == nil {
				return status, middle.Name
			}
			break // one of each domain is enough
		}
		asked++
	}
	return nil, ""
}
