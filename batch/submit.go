package batch

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/telemetry"
)

// SubmitArgs are the arguments of a submission of a batch.
type SubmitArgs struct {
	Submission *Submission
	Team       string
	Route      string      // name of the route
	Accepted   *Acceptance // nil in calls of instances of an older version
}

// ErrDeclined means that an instance has not accepted a batch and will not run it.
var ErrDeclined = errors.New("the instance did not accept the batch")

// key returns the owner key of a batch. Batches with the same key should run on one
// instance: they share engines and slots, and unfinished items of one batch are
// submitted again in a later one.
func (a *SubmitArgs) key() string { return ownerKey(a.Team, a.Submission.Model) }

func ownerKey(team, model string) string { return team + "/" + model }

const (
	// submitTimeout limits the submission of a batch to another instance. A healthy owner
	// stores it in tens of milliseconds, and a batch of long items can afford a delay of
	// half a second.
	submitTimeout = 500 * time.Millisecond
	// maxSubmitPeers limits the number of other instances to which a batch is submitted.
	// The next one is tried only if the previous one has declined it.
	maxSubmitPeers = 2
	// ownerBackoff is how long no batch is submitted to an owner that failed.
	ownerBackoff = 10 * time.Second
)

// Submit stores a batch and starts it on the instance that runs the batches of its team
// and model, or on this instance if that fails. It returns nil if the batch was accepted
// before. On ErrOutcomeUnknown the batch may or may not run.
//
// Load pattern: a trainer has two steps in flight, and callers submit them to any
// instance. A single owner knows the slots and the memory that both use, and can order
// the items of both.
func (s *Service) Submit(ctx context.Context, args SubmitArgs, now time.Time) error {
	uncertain := false // another instance may have accepted it
	full := ""         // address of an owner without room for it
	for range maxSubmitPeers {
		owner := s.ownerOf(args.key(), full)
		if owner == s.runner.Peer {
			break
		}
		err := s.forwardSubmission(ctx, owner, args)
		if err == nil {
			return nil
		}
		if errors.Is(err, ErrTooLarge) {
			return err // no instance can store it
		}
		if errors.Is(err, ErrNoRoom) {
			full = owner
		}
		if uncertain = !errors.Is(err, ErrDeclined); uncertain {
			break
		}
	}
	_, err := s.SubmitHere(ctx, args, now)
	if err != nil && uncertain {
		return oops.In("batch").With("batch", args.Submission.ID).Wrap(errors.Join(ErrOutcomeUnknown, err))
	}
	return err
}

// ownerOf returns the address of the preferred available instance for an owner key, except one.
func (s *Service) ownerOf(key, except string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.runner.Clock.Now()
	for _, peer := range s.peers.Owners(key) {
		if peer != except && !now.Before(s.backoffUntil[peer]) {
			return peer
		}
	}
	return s.runner.Peer
}

// forwardSubmission submits a batch to another instance. A nil error means that the
// instance has accepted it. One without room for this batch may have room for the next.
func (s *Service) forwardSubmission(ctx context.Context, owner string, args SubmitArgs) error {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	h, err := s.peers.Submit(ctx, owner, args)
	if err == nil {
		s.updateRemote(h.ID, h)
		return nil
	}
	if errors.Is(err, ErrNoRoom) {
		s.log.Info("the preferred owner has no room for a batch", zap.String("batch", args.Submission.ID), zap.String("peer", owner), zap.Int("bytes", args.Submission.bytes()))
		return err
	}
	if errors.Is(err, ErrTooLarge) {
		return err // says nothing about the owner
	}
	s.log.Info("batch could not be submitted to the preferred owner; no batches are submitted to it during the backoff", zap.String("batch", args.Submission.ID), zap.String("peer", owner), telemetry.Error(err))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backoffUntil[owner] = s.runner.Clock.Now().Add(ownerBackoff)
	return err
}

// errNoSubmission is returned for a call that holds no batch.
var errNoSubmission = errors.New("the call holds no batch")

// SubmitHere stores a batch and runs it on this instance, unless it was accepted before.
// It returns the stored head.
func (s *Service) SubmitHere(ctx context.Context, args SubmitArgs, now time.Time) (Stored, error) {
	sub := args.Submission
	if sub == nil || sub.ID == "" {
		return Stored{}, oops.In("batch").With("step", "submit").Wrap(errNoSubmission)
	}
	release := s.runner.reserve(sub)
	if release == nil {
		s.log.Warn("no room for a batch beside the open ones", zap.String("batch", sub.ID), zap.Int("bytes", sub.bytes()))
		return Stored{}, oops.In("batch").With("batch", sub.ID).Wrap(ErrNoRoom)
	}
	defer release()
	h := Head{Owner: s.runner.Name, Peer: s.runner.Peer, Team: args.Team, Route: args.Route, Accepted: args.Accepted, Submitted: now.UnixMilli()}
	began := s.runner.Clock.Now()
	stored, created, err := s.store.Create(ctx, sub, h)
	stored.readAt = began
	if errors.Is(err, ErrOutcomeUnknown) {
		go s.recheckSubmission(sub.ID)
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
		s.runner.Add(stored, sub, NewResultLog(len(sub.Items)), nil, s.runner.LimitsOf(stored.Head))
	}
	return stored, nil
}

// recheckDelay is how long after a submission with unknown outcome the batch is looked up
// for the last time. The store may apply a write seconds later.
const recheckDelay = 7 * time.Second

// recheckSubmission looks up a batch whose submission had an unknown outcome, and runs it
// if it was stored and no other instance has taken it over.
func (s *Service) recheckSubmission(id string) {
	for range 2 {
		s.runner.Clock.Sleep(recheckDelay / 2)
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		h, err := s.store.Head(ctx, id)
		if err == nil && h.Owner == s.runner.Name && !s.runner.Runs(id) && !h.Ended {
			_, err = s.claim(ctx, id, ownedBy(s.runner.Name))
		}
		cancel()
		if err != nil && !errors.Is(err, ErrNotFound) {
			s.log.Warn("batch with unknown submission outcome could not be looked up", zap.String("batch", id), telemetry.Error(err))
		}
	}
}
