package batch

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/telemetry"
)

// SubmitArgs hands a batch to the instance that is to run it.
type SubmitArgs struct {
	Submission *Submission
	Team       string
	Route      string
}

// ErrDeclined means that an instance did not take a batch and will not.
var ErrDeclined = errors.New("the instance did not take the batch")

// key names what batches that one instance should run have in common: they share
// engines and slots, and what one leaves unfinished comes again in another.
func (a *SubmitArgs) key() string { return ownerKey(a.Team, a.Submission.Model) }

func ownerKey(team, model string) string { return team + "/" + model }

const (
	// submitTimeout bounds the handing over of a batch: an owner that is well stores
	// it in tens of milliseconds, and a batch of long items has half a second to
	// spare.
	submitTimeout = 500 * time.Millisecond
	// mostOwners bounds the instances that a batch is handed to in turn, as long as
	// each refuses it at once.
	mostOwners = 2
	// ownerShunned is how long an owner that failed is handed nothing.
	ownerShunned = 10 * time.Second
)

// Submit stores a batch and has it run, by the instance that runs the batches of its
// team and model, or here. It returns nil for one that was accepted before. An error
// that is ErrUnsettled leaves open whether the batch runs.
//
// Load pattern: a trainer has two steps in flight, which callers hand to any
// instance. One owner sees the slots and the memory that both take, and orders the
// items of both.
func (s *Service) Submit(ctx context.Context, args SubmitArgs, now time.Time) error {
	sent := false // another instance may have it
	for range mostOwners {
		owner := s.ownerOf(args.key())
		if owner == s.runner.Peer {
			break
		}
		err := s.handIn(ctx, owner, args)
		if err == nil {
			return nil
		}
		if sent = !errors.Is(err, ErrDeclined); sent {
			break
		}
	}
	_, err := s.SubmitHere(ctx, args, now)
	if err != nil && sent {
		return oops.In("batch").With("batch", args.Submission.ID).Wrap(errors.Join(ErrOutcomeUnknown, err))
	}
	return err
}

// ownerOf returns the address of the instance to run batches of a key.
func (s *Service) ownerOf(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.runner.Clock.Now()
	for _, peer := range s.peers.Owners(key) {
		if !now.Before(s.shunned[peer]) {
			return peer
		}
	}
	return s.runner.Peer
}

// handIn hands a batch to another instance, which has accepted it if there is no error.
func (s *Service) handIn(ctx context.Context, owner string, args SubmitArgs) error {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	h, err := s.peers.Submit(ctx, owner, args)
	if err == nil {
		s.see(h.ID, h)
		return nil
	}
	s.log.Info("owner did not take a batch", zap.String("batch", args.Submission.ID), zap.String("peer", owner), telemetry.Error(err))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shunned[owner] = s.runner.Clock.Now().Add(ownerShunned)
	return err
}

// SubmitHere stores a batch and runs it here, unless it was accepted before.
func (s *Service) SubmitHere(ctx context.Context, args SubmitArgs, now time.Time) (Stored, error) {
	sub := args.Submission
	h := Head{Owner: s.runner.Name, Peer: s.runner.Peer, Team: args.Team, Route: args.Route, Submitted: now.UnixMilli()}
	stored, created, err := s.keeper.Create(ctx, sub, h)
	if errors.Is(err, ErrOutcomeUnknown) {
		go s.settle(sub.ID)
	}
	if err != nil {
		return Stored{}, err
	}
	if stored.Team != args.Team {
		return Stored{}, oops.In("batch").With("batch", sub.ID).Errorf("the batch belongs to another team")
	}
	s.log.Info("batch accepted", zap.String("batch", sub.ID), zap.String("team", args.Team), zap.Int64("step", sub.Step),
		zap.Int("items", len(sub.Items)), zap.Int64("leastVersion", sub.MinVersion), zap.Bool("again", !created), zap.String("owner", stored.Owner))
	if created {
		s.runner.Add(stored, sub, NewLedger(len(sub.Items)), nil, s.limitsOf(args.Route))
	}
	return stored, nil
}

// settleWait is how long after an unsettled submission its fate is looked up: a
// store may carry a write out seconds later.
const settleWait = 7 * time.Second

// settle runs a batch whose acceptance was not known, if it was stored after all
// and nobody has taken it on.
func (s *Service) settle(id string) {
	for range 2 {
		s.runner.Clock.Sleep(settleWait / 2)
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		h, err := s.keeper.Head(ctx, id)
		if err == nil && h.Owner == s.runner.Name && !s.runner.Runs(id) && !h.Ended {
			_, err = s.claim(ctx, id)
		}
		cancel()
		if err != nil && !errors.Is(err, ErrNotFound) {
			s.log.Warn("an unsettled batch could not be looked up", zap.String("batch", id), telemetry.Error(err))
		}
	}
}
