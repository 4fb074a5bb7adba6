package instance

import (
	"context"
	"sync"
	"time"

	"github.com/pomelocross/pomelocross/idempotency"
	"github.com/pomelocross/pomelocross/platform"
)

const peerTimeout = 2 * time.Second

// MemberService tells peers about the instance.
type MemberService struct{ instance *Instance }

// StatusRequest has no fields yet.
type StatusRequest struct{}

// Status returns the instance's status.
func (s *MemberService) Status(_ StatusRequest, reply *Status) error {
	*reply = s.instance.status()
	return nil
}

// MemberStatus is a listed instance with its answer.
type MemberStatus struct {
	Instance string  `json:"instance"`
	Domain   string  `json:"domain"`
	Error    string  `json:"error,omitempty"` // why it did not answer
	Status   *Status `json:"status,omitempty"`
}

// allStatus asks every listed instance at once.
func (i *Instance) allStatus(ctx context.Context) []MemberStatus {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	entries := i.view.Load().Domain.Entries()
	all := make([]MemberStatus, len(entries))
	var asking sync.WaitGroup
	for n, entry := range entries {
		asking.Go(func() { all[n] = i.askStatus(ctx, entry) })
	}
	asking.Wait()
	return all
}

func (i *Instance) askStatus(ctx context.Context, entry platform.Member) MemberStatus {
	answer := MemberStatus{Instance: entry.Name, Domain: entry.Domain}
	status := i.status()
	if entry.Name != i.settings.Name {
		status = Status{}
		if err := i.dialer.Call(ctx, entry.Peer, "Member.Status", StatusRequest{}, &status); err != nil {
			answer.Error = err.Error()
			return answer
		}
	}
	answer.Status = &status
	return answer
}

func (i *Instance) registerPeerServices() error {
	if err := i.peers.Register("Member", &MemberService{i}); err != nil {
		return err
	}
	if err := i.peers.Register("Leaving", &LeavingService{i}); err != nil {
		return err
	}
	if err := i.peers.Register("Probe", &ProbeService{i}); err != nil {
		return err
	}
	if err := i.peers.Register("Usage", &UsageService{i.usage}); err != nil {
		return err
	}
	if err := i.peers.Register(idempotency.Service, i.coordinator.Holder()); err != nil {
		return err
	}
	return i.peers.Register("Rollout", &RolloutService{i})
}
