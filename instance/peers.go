package instance

import (
	"context"
	"sync"
	"time"

	"github.com/pomelocross/pomelocross/platform"
	"github.com/pomelocross/pomelocross/usage"
)

const peerTimeout = 2 * time.Second

// UsageService answers peers' questions about metered use.
type UsageService struct{ instance *Instance }

// UsageRequest has no fields yet.
type UsageRequest struct{}

// UsageReply holds an instance's cumulative figures.
type UsageReply struct{ Lines []UsageLine }

// UsageLine is one account with its figure.
type UsageLine struct {
	Account usage.Account
	Figure  platform.UsageFigure
}

// Counts returns the instance's cumulative figures.
func (s *UsageService) Counts(_ UsageRequest, reply *UsageReply) error {
	for account, figure := range s.instance.meter.Counts() {
		reply.Lines = append(reply.Lines, UsageLine{account, figure})
	}
	return nil
}

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
	if err := i.peers.Register("Usage", &UsageService{i}); err != nil {
		return err
	}
	return i.peers.Register("Rollout", &RolloutService{i})
}

// collectUsage gathers the figures of all instances that answer.
func (i *Instance) collectUsage(ctx context.Context) []usage.Counts {
	all := []usage.Counts{i.meter.Counts()}
	for _, peer := range i.view.Load().Domain.Entries() {
		if peer.Name == i.settings.Name {
			continue
		}
		if counts, err := i.peerUsage(ctx, peer); err == nil {
			all = append(all, counts)
		}
	}
	return all
}

func (i *Instance) peerUsage(ctx context.Context, peer platform.Member) (usage.Counts, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply UsageReply
	if err := i.dialer.Call(ctx, peer.Peer, "Usage.Counts", UsageRequest{}, &reply); err != nil {
		return nil, err
	}
	counts := usage.Counts{}
	for _, line := range reply.Lines {
		counts[line.Account] = line.Figure
	}
	return counts, nil
}
