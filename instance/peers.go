package instance

import (
	"context"
	"time"

	"github.com/pomelocross/pomelocross/idempotency"
	"github.com/pomelocross/pomelocross/rollout"
)

const peerTimeout = 2 * time.Second

// RolloutService serves trainers' requests that reached another instance.
type RolloutService struct{ instance *Instance }

// StepCall carries a step to the run's home.
type StepCall struct {
	Run  string
	Team string
	Spec rollout.StepSpec
}

// PullCall carries a pull to the run's home.
type PullCall struct {
	Run     string
	Team    string
	Request rollout.PullRequest
}

// PullReply holds a batch, or none.
type PullReply struct {
	Filled bool
	Batch  rollout.Batch
}

// Step starts a step at the home.
func (s *RolloutService) Step(call StepCall, _ *struct{}) error {
	home, err := s.instance.localHome(call.Run, call.Team)
	if err != nil {
		return err
	}
	return home.StartStep(context.Background(), call.Spec)
}

// Pull pulls a batch from the home.
func (s *RolloutService) Pull(call PullCall, reply *PullReply) error {
	home, err := s.instance.localHome(call.Run, call.Team)
	if err != nil {
		return err
	}
	batch, err := home.Pull(context.Background(), call.Request)
	if batch != nil {
		reply.Filled, reply.Batch = true, *batch
	}
	return err
}

func (i *Instance) registerPeerServices() error {
	if err := i.peers.Register("Member", &MemberService{i}); err != nil {
		return err
	}
	if err := i.peers.Register("Slots", i.slotService); err != nil {
		return err
	}
	if err := i.peers.Register("Notice", &NoticeService{i}); err != nil {
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
