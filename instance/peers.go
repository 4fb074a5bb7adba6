package instance

import (
	"time"

	"github.com/pomelocross/pomelocross/idempotency"
)

const peerTimeout = 2 * time.Second

func (i *Instance) registerPeerServices() error {
	if err := i.peerServer.Register("Member", &MemberService{i}); err != nil {
		return err
	}
	if err := i.peerServer.Register("Slots", i.slotService); err != nil {
		return err
	}
	if err := i.peerServer.Register("Notice", &NoticeService{i}); err != nil {
		return err
	}
	if err := i.peerServer.Register("Leaving", &LeavingService{i}); err != nil {
		return err
	}
	if err := i.peerServer.Register("Probe", &ProbeService{i}); err != nil {
		return err
	}
	if err := i.peerServer.Register("Usage", &UsageService{i.usage}); err != nil {
		return err
	}
	if err := i.peerServer.Register(idempotency.Service, i.coordinator.Holder()); err != nil {
		return err
	}
	return i.peerServer.Register("Rollout", &RolloutService{i})
}
