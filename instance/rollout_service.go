package instance

import (
	"context"
	"errors"
	"time"

	"github.com/pomelocross/pomelocross/rollout"
)

const (
	// pullSlice is the longest wait of one pull between instances. A longer wait
	// is made of several, so that a home that stops is noticed.
	pullSlice = time.Second
	// peerMargin is what a peer's answer may take beyond the wait asked for.
	peerMargin = 5 * time.Second
)

// RolloutService serves trainers' requests that reached another instance.
type RolloutService struct{ instance *Instance }

// RolloutFailure is an error of package rollout on the wire; the zero value is none.
type RolloutFailure struct {
	Code  string
	Order rollout.OrderError
}

// RunCall names a run and the team that asks.
type RunCall struct{ Run, Team string }

// StepCall carries a step to the run's home.
type StepCall struct {
	RunCall
	Spec rollout.StepSpec
}

// StepReply is the answer to a StepCall or to a deletion.
type StepReply struct{ Failure RolloutFailure }

// PullCall carries a pull to the run's home.
type PullCall struct {
	RunCall
	Request rollout.PullRequest
}

// PullReply holds a batch, or none.
type PullReply struct {
	Failure  RolloutFailure
	Filled   bool
	Delivery rollout.Delivery
}

// ProgressReply holds the state of a run.
type ProgressReply struct {
	Failure  RolloutFailure
	Progress rollout.Progress
}

// servingHome returns the home of a run for a peer. A run that the ledger says
// is here, as after a restart, is opened.
func (i *Instance) servingHome(call RunCall) (*rollout.Home, error) {
	home, err := i.localHome(call.Run, call.Team)
	if !errors.Is(err, rollout.ErrMoved) {
		return home, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerMargin)
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

// Step starts a step at the home.
func (s *RolloutService) Step(call StepCall, reply *StepReply) error {
	home, err := s.instance.servingHome(call.RunCall)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), peerMargin)
		defer cancel()
		err = home.StartStep(ctx, call.Spec)
	}
	reply.Failure = rolloutFailureOf(err)
	return nil
}

// Pull pulls a batch from the home.
func (s *RolloutService) Pull(call PullCall, reply *PullReply) error {
	home, err := s.instance.servingHome(call.RunCall)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), waitOf(call.Request)+peerMargin)
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

// Progress returns the state of a run from its home.
func (s *RolloutService) Progress(call RunCall, reply *ProgressReply) error {
	home, err := s.instance.servingHome(call)
	if err == nil {
		reply.Progress = home.Progress()
	}
	reply.Failure = rolloutFailureOf(err)
	return nil
}

// Delete closes a run at its home.
func (s *RolloutService) Delete(call RunCall, reply *StepReply) error {
	home, err := s.instance.servingHome(call)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), peerMargin)
		defer cancel()
		err = home.Delete(ctx)
	}
	reply.Failure = rolloutFailureOf(err)
	return nil
}

// rolloutCodes are the names of package rollout's errors on the wire.
var rolloutCodes = map[string]error{
	"unknown_run": rollout.ErrUnknownRun, "other_team": rollout.ErrOtherTeam, "closed": rollout.ErrClosed,
	"order": rollout.ErrOrder, "step_exists": rollout.ErrStepExists, "too_many": rollout.ErrTooMany,
	"superseded": rollout.ErrSuperseded, "moved": rollout.ErrMoved, "unavailable": rollout.ErrUnavailable,
}

// rolloutFailureOf puts an error on the wire. One without a name becomes
// unavailable: the trainer may repeat the request.
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

// callHome calls a method of a peer's RolloutService. A peer that did not
// answer, or does not know the method, is unavailable.
func (i *Instance) callHome(ctx context.Context, address, method string, timeout time.Duration, call, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := i.dialer.Call(ctx, address, "Rollout."+method, call, reply)
	if err == nil {
		return nil
	}
	return errors.Join(rollout.ErrUnavailable, err)
}

func waitOf(request rollout.PullRequest) time.Duration {
	return time.Duration(request.WaitSeconds * float64(time.Second))
}

// pullThere pulls from a peer, in slices.
func (i *Instance) pullThere(ctx context.Context, address string, call PullCall) (*rollout.Delivery, error) {
	left := waitOf(call.Request)
	for {
		slice := min(left, pullSlice)
		left -= slice
		call.Request.WaitSeconds = slice.Seconds()
		var reply PullReply
		err := i.callHome(ctx, address, "Pull", slice+peerMargin, call, &reply)
		if err == nil {
			err = reply.Failure.err()
		}
		if err != nil {
			return nil, err
		}
		if reply.Filled {
			return &reply.Delivery, nil
		}
		if left <= 0 {
			return nil, nil
		}
	}
}
