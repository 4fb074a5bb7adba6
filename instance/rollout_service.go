package instance

import (
	"context"
	"errors"
	"time"

	"github.com/pomelocross/pomelocross/rollout"
)

const (
	// maxPeerPullWait is the maximum wait of one pull from a peer. A longer wait is
	// split into several pulls, so that the caller notices when the home stops.
	maxPeerPullWait = time.Second
	// peerCallMargin is the time allowed for a call to a peer in addition to the
	// requested wait.
	peerCallMargin = 5 * time.Second
)

// RolloutService is the RPC service for trainers' requests that another instance
// has received.
type RolloutService struct{ instance *Instance }

// RolloutFailure is the wire form of an error of package rollout. The zero value
// means no error.
type RolloutFailure struct {
	Code  string
	Order rollout.OrderError
}

// RunCall identifies a run and the team of the request.
type RunCall struct{ Run, Team string }

// StepCall is the request to start a step.
type StepCall struct {
	RunCall
	Spec rollout.StepSpec
}

// StepReply is the reply to a StepCall or to a deletion.
type StepReply struct{ Failure RolloutFailure }

// PullCall is the request to pull a batch.
type PullCall struct {
	RunCall
	Request rollout.PullRequest
}

// PullReply is the reply to a PullCall. Delivery is set if Filled is true.
type PullReply struct {
	Failure  RolloutFailure
	Filled   bool
	Delivery rollout.Delivery
}

// ProgressReply is the reply to a progress request.
type ProgressReply struct {
	Failure  RolloutFailure
	Progress rollout.Progress
}

// homeForPeer returns the home of a run to serve a call from a peer. A run that is
// not open here although the ledger names this instance as its home, as after a
// restart, is opened.
func (i *Instance) homeForPeer(call RunCall) (*rollout.Home, error) {
	home, err := i.localHome(call.Run, call.Team)
	if !errors.Is(err, rollout.ErrMoved) {
		return home, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerCallMargin)
	defer cancel()
	ledger, _, err := rollout.Read(ctx, i.platform, call.Run)
	if err != nil {
		return nil, err
	}
	if ledger.Home != i.settings.Name {
		return nil, rollout.ErrMoved
	}
	return i.openHome(ctx, call.Run, call.Team)
}

// Step starts a step of a run whose home is this instance.
func (s *RolloutService) Step(call StepCall, reply *StepReply) error {
	home, err := s.instance.homeForPeer(call.RunCall)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), peerCallMargin)
		defer cancel()
		err = home.StartStep(ctx, call.Spec)
	}
	reply.Failure = rolloutFailureOf(err)
	return nil
}

// Pull returns the next batch of a run whose home is this instance.
func (s *RolloutService) Pull(call PullCall, reply *PullReply) error {
	home, err := s.instance.homeForPeer(call.RunCall)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), pullWait(call.Request)+peerCallMargin)
		defer cancel()
		var delivery *rollout.Delivery
		delivery, err = home.Pull(ctx, call.Request)
		if delivery != nil {
			reply.Filled, reply.Delivery = true, *delivery
		}
	}
	reply.Failure = rolloutFailureOf(err)
	return nil
}

// Progress returns the state of a run whose home is this instance.
func (s *RolloutService) Progress(call RunCall, reply *ProgressReply) error {
	home, err := s.instance.homeForPeer(call)
	if err == nil {
		reply.Progress = home.Progress()
	}
	reply.Failure = rolloutFailureOf(err)
	return nil
}

// Delete closes a run whose home is this instance.
func (s *RolloutService) Delete(call RunCall, reply *StepReply) error {
	home, err := s.instance.homeForPeer(call)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), peerCallMargin)
		defer cancel()
		err = home.Delete(ctx)
	}
	reply.Failure = rolloutFailureOf(err)
	return nil
}

// rolloutCodes maps the codes in RolloutFailure to the errors of package rollout.
var rolloutCodes = map[string]error{
	"unknown_run": rollout.ErrUnknownRun, "other_team": rollout.ErrOtherTeam, "closed": rollout.ErrClosed,
	"order": rollout.ErrOrder, "step_exists": rollout.ErrStepExists, "too_many": rollout.ErrTooMany,
	"superseded": rollout.ErrSuperseded, "moved": rollout.ErrMoved, "unavailable": rollout.ErrUnavailable,
}

// rolloutFailureOf returns the wire form of err. Errors without a code become
// "unavailable", after which the trainer may repeat the request.
func rolloutFailureOf(err error) RolloutFailure {
	if err == nil {
		return RolloutFailure{}
	}
	failure := RolloutFailure{Code: "unavailable"}
	for code, known := range rolloutCodes {
		if errors.Is(err, known) {
			failure.Code = code
		}
	}
	var order *rollout.OrderError
	if errors.As(err, &order) {
		failure.Order = *order
	}
	return failure
}

func (f RolloutFailure) err() error {
	switch f.Code {
	case "":
		return nil
	case "order":
		return &f.Order
	}
	if known := rolloutCodes[f.Code]; known != nil {
		return known
	}
	return rollout.ErrUnavailable
}

// callHome calls a method of a peer's RolloutService. If the peer does not respond
// or does not know the method, the error includes rollout.ErrUnavailable.
func (i *Instance) callHome(ctx context.Context, address, method string, timeout time.Duration, call, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := i.dialer.Call(ctx, address, "Rollout."+method, call, reply)
	if err == nil {
		return nil
	}
	return errors.Join(rollout.ErrUnavailable, err)
}

func pullWait(request rollout.PullRequest) time.Duration {
	return time.Duration(request.WaitSeconds * float64(time.Second))
}

// pullFromPeer pulls a batch from a peer, with waits of up to maxPeerPullWait. It
// returns nil if none is available within the requested wait.
func (i *Instance) pullFromPeer(ctx context.Context, address string, call PullCall) (*rollout.Delivery, error) {
	remaining := pullWait(call.Request)
	for {
		wait := min(remaining, maxPeerPullWait)
		remaining -= wait
		call.Request.WaitSeconds = wait.Seconds()
		var reply PullReply
		err := i.callHome(ctx, address, "Pull", wait+peerCallMargin, call, &reply)
		if err == nil {
			err = reply.Failure.err()
		}
		if err != nil {
			return nil, err
		}
		if reply.Filled {
			return &reply.Delivery, nil
		}
		if remaining <= 0 {
			return nil, nil
		}
	}
}
