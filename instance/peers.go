package instance

import (
	"time"

	"github.com/pomelocross/pomelocross/idempotency"
)

const peerTimeout = 2 * time.Second

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
