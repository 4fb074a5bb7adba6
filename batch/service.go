package batch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/telemetry"
)

// ErrStateUnknown means that this instance cannot currently determine the state of a
// batch.
var ErrStateUnknown = errors.New("the state of the batch is not known here now")

// Peers calls other instances. Read returns ErrNotHere if the peer responds that it
// does not run the batch.
type Peers interface {
	Read(ctx context.Context, peer string, args ReadArgs) (Page, error)
	Body(ctx context.Context, peer string, args BodyArgs) ([]byte, error)
	End(ctx context.Context, peer, id string) error
	Adopt(ctx context.Context, peer, id string) error
	Submit(ctx context.Context, peer string, args SubmitArgs) (Stored, error)
	// Owners returns the addresses of the instances that may run batches, including
	// this one, in order of preference for the batches with an owner key.
	Owners(key string) []string
}

// Errors of reads from an instance.
var (
	// ErrNotHere means that the instance does not run the batch.
	ErrNotHere = errors.New("the batch does not run here")
	// ErrHandingOver means that the instance is stopping and hands over the batch, with
	// the texts generated so far, to another instance.
	ErrHandingOver = errors.New("the batch is being handed over")
)

// ReadArgs are the arguments of a read of results. After is the position of the first
// result, Wait how long to wait for a result if there is none.
type ReadArgs struct {
	ID    string
	Team  string
	After int
	Wait  time.Duration
}

// BodyArgs identifies the body of an item.
type BodyArgs struct{ ID, Team, Item string }

// Service serves all batches, on whichever instance they run.
type Service struct {
	runner *Runner
	// heads is the store from which heads are listed and watched; its data may be some
	// seconds old.
	heads  objects.Store
	store  *Store
	peers  Peers
	log    *zap.Logger
	claims singleflight.Group

	mu           sync.Mutex // guards all below
	remotes      map[string]*remoteBatch
	backoffUntil map[string]time.Time // by address of a failed owner: until when no batch is submitted to it
}

// remoteBatch is the cached state of a batch that runs on another instance or has
// ended.
type remoteBatch struct {
	head         Stored
	results      *ResultLog
	lastUsed     time.Time
	failingSince time.Time // when the owner stopped responding; zero if it responds
	lastGrowth   time.Time // when new results were last found in the store, or failingSince
}

const (
	// maxRemotes limits the number of remote batches whose heads are cached.
	maxRemotes = 256
	// maxCachedResults limits the number of remote batches whose results are cached. The
	// texts of a step take one or two megabytes.
	maxCachedResults = 6
)

// NewService returns a Service for the batches of runner and of other instances. heads is
// the store from which heads are listed and watched.
func NewService(runner *Runner, heads objects.Store, peers Peers) *Service {
	return &Service{runner: runner, heads: heads, store: runner.Store, peers: peers, log: runner.Log, remotes: map[string]*remoteBatch{}, backoffUntil: map[string]time.Time{}}
}

// Read returns results of a team's batch, on whichever instance it runs. If the owner
// is unavailable, this instance takes over the batch.
func (s *Service) Read(ctx context.Context, args ReadArgs) (Page, error) {
	return s.readLocalOr(ctx, args, func(rb *remoteBatch) (Page, error) {
		h := s.headOf(rb)
		switch {
		case h.Team != args.Team:
			return Page{}, oops.In("batch").With("batch", args.ID).Wrap(ErrNotFound)
		case h.Ended:
			return s.readEnded(ctx, rb, args)
		}
		return s.readOwner(ctx, rb, args)
	})
}

// readLocalOr reads a batch that runs here, and otherwise calls readRemote with its
// cached state.
func (s *Service) readLocalOr(ctx context.Context, args ReadArgs, readRemote func(*remoteBatch) (Page, error)) (Page, error) {
	page, err := s.runner.Page(ctx, args)
	if !errors.Is(err, ErrNotHere) && !errors.Is(err, ErrHandingOver) {
		return page, err
	}
	rb, err := s.remote(ctx, args.ID)
	if err != nil {
		return Page{}, err
	}
	return readRemote(rb)
}

// headOf returns the head of a remote batch.
func (s *Service) headOf(rb *remoteBatch) Stored {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rb.head
}

// ReadHere serves a read for another instance. It returns results of a batch that runs
// here or of an ended batch that this instance ran, which it reads from the store if
// necessary, so that only one instance reads these from the store. For other batches it
// returns ErrNotHere.
func (s *Service) ReadHere(ctx context.Context, args ReadArgs) (Page, error) {
	return s.readLocalOr(ctx, args, func(rb *remoteBatch) (Page, error) {
		if s.runner.handingOver(args.ID) {
			return Page{}, ErrHandingOver
		}
		h := s.headOf(rb)
		switch {
		case h.Owner != s.runner.Name || h.Team != args.Team:
			return Page{}, ErrNotHere
		case h.Ended:
			return s.readStored(ctx, rb, args)
		}
		return s.readResumed(ctx, args)
	})
}

// readResumed reads a batch that this instance owned before it restarted and has not
// resumed yet. If the batch were reported as not running here, each of its readers would
// take it over.
func (s *Service) readResumed(ctx context.Context, args ReadArgs) (Page, error) {
	h, err := s.claim(ctx, args.ID, ownedBy(s.runner.Name))
	switch {
	case err != nil:
		return Page{}, err
	case h.Owner != s.runner.Name:
		return Page{}, ErrNotHere
	}
	return s.readLocal(ctx, args)
}

// readStored returns results from the store.
func (s *Service) readStored(ctx context.Context, rb *remoteBatch, args ReadArgs) (Page, error) {
	results, err := s.loadResults(ctx, rb)
	if err != nil {
		return Page{}, err
	}
	return results.Page(args.After), nil
}

// remote returns the cached state of a batch, reading its head if nothing is cached.
// The state may be outdated; callers call the owner or refresh it before they act on it.
func (s *Service) remote(ctx context.Context, id string) (*remoteBatch, error) {
	s.mu.Lock()
	rb := s.remotes[id]
	s.mu.Unlock()
	if rb != nil {
		return rb, nil
	}
	h, err := s.store.StaleHead(ctx, s.heads, id)
	if err != nil {
		return nil, err
	}
	return s.updateRemote(id, h), nil
}

// refreshHead reads the current head of a batch into the cache.
func (s *Service) refreshHead(ctx context.Context, id string) (*remoteBatch, error) {
	h, err := s.store.Head(ctx, id)
	if err != nil {
		return nil, err
	}
	return s.updateRemote(id, h), nil
}

// updateRemote stores a head in the cache unless a newer one is known.
func (s *Service) updateRemote(id string, h Stored) *remoteBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	rb := s.remotes[id]
	if rb == nil {
		rb = &remoteBatch{}
		s.remotes[id] = rb
	}
	if rb.head.Owner != h.Owner {
		rb.failingSince = time.Time{}
	}
	if h.Version >= rb.head.Version {
		rb.head = h
	}
	rb.lastUsed = s.runner.Clock.Now()
	s.evictRemotes()
	return rb
}

// evictRemotes evicts the least recently used heads and results. The caller holds mu.
func (s *Service) evictRemotes() {
	for len(s.remotes) > maxRemotes {
		delete(s.remotes, s.leastRecentlyUsed(func(*remoteBatch) bool { return true }))
	}
	hasResults := func(rb *remoteBatch) bool { return rb.results != nil }
	cached := 0
	for _, rb := range s.remotes {
		if hasResults(rb) {
			cached++
		}
	}
	for ; cached > maxCachedResults; cached-- {
		s.remotes[s.leastRecentlyUsed(hasResults)].results = nil
	}
}

// leastRecentlyUsed returns the ID of the least recently used remote batch for which
// include returns true. The caller holds mu.
func (s *Service) leastRecentlyUsed(include func(*remoteBatch) bool) string {
	oldest := ""
	for id, rb := range s.remotes {
		if include(rb) && (oldest == "" || rb.lastUsed.Before(s.remotes[oldest].lastUsed)) {
			oldest = id
		}
	}
	return oldest
}

// readEnded reads an ended batch from the instance that ran it, or from the store if
// that instance does not respond or the results are cached here.
func (s *Service) readEnded(ctx context.Context, rb *remoteBatch, args ReadArgs) (Page, error) {
	s.mu.Lock()
	h, uncached := rb.head, rb.results == nil
	s.mu.Unlock()
	if uncached && h.Peer != "" && h.Owner != s.runner.Name {
		if page, err := s.callOwner(ctx, h, args); err == nil {
			return page, nil
		}
	}
	return s.readStored(ctx, rb, args)
}

// loadResults updates the cached results of a remote batch from the store.
func (s *Service) loadResults(ctx context.Context, rb *remoteBatch) (*ResultLog, error) {
	s.mu.Lock()
	head, known := rb.head, rb.results
	s.mu.Unlock()
	results := NewResultLog(head.Items)
	if known != nil {
		results = known.clone()
	}
	chunksBefore := results.Chunks()
	if err := s.store.CatchUp(ctx, head.ID, results); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rb.results, rb.lastUsed = results, s.runner.Clock.Now()
	if results.Chunks() > chunksBefore {
		rb.lastGrowth = rb.lastUsed
	}
	s.evictRemotes()
	return results, nil
}

// readOwner reads a batch from its owner, and takes the batch over if the owner is
// unavailable.
func (s *Service) readOwner(ctx context.Context, rb *remoteBatch, args ReadArgs) (Page, error) {
	h := s.headOf(rb)
	if s.runner.handingOver(args.ID) {
		return s.readDuringHandover(ctx, rb, h, args)
	}
	if h.Owner == "" || h.Owner == s.runner.Name {
		return s.takeOver(ctx, args, h, "the batch has no running owner")
	}
	page, err := s.callOwner(ctx, h, args)
	switch {
	case err == nil:
		s.mu.Lock()
		rb.failingSince, rb.lastUsed = time.Time{}, s.runner.Clock.Now()
		s.mu.Unlock()
		return page, nil
	case errors.Is(err, ErrNotHere), errors.Is(err, syscall.ECONNREFUSED):
		return s.readReassigned(ctx, h, args, err)
	case errors.Is(err, ErrHandingOver):
		return s.readDuringHandover(ctx, rb, h, args)
	}
	return s.readUnresponsive(ctx, rb, h, args)
}

const (
	// handoverPollInterval is how often the store is polled for the new owner of a batch
	// that is being handed over.
	handoverPollInterval = 150 * time.Millisecond
	// handoverPolls limits the number of polls; a handover takes some hundred
	// milliseconds.
	handoverPolls = 5
)

// readDuringHandover reads a batch that is being handed over from its next owner.
// Taking it over before that would lose the texts that are part of the handover.
func (s *Service) readDuringHandover(ctx context.Context, rb *remoteBatch, previous Stored, args ReadArgs) (Page, error) {
	for range handoverPolls {
		s.sleep(ctx, handoverPollInterval)
		if _, err := s.refreshHead(ctx, args.ID); err != nil {
			return Page{}, err
		}
		h := s.headOf(rb)
		switch {
		case h.Ended:
			return s.readEnded(ctx, rb, args)
		case h.Owner != previous.Owner && h.Owner != "" && h.Owner != s.runner.Name:
			return s.callOwner(ctx, h, args)
		case h.Owner == s.runner.Name && !s.runner.isStopping():
			return s.readLocal(ctx, args)
		}
	}
	return s.readUnresponsive(ctx, rb, previous, args)
}

// peerTimeoutMargin is the timeout of a call to a peer in addition to the requested
// wait.
const peerTimeoutMargin = 600 * time.Millisecond

// callOwner reads results from the owner named by a head.
func (s *Service) callOwner(ctx context.Context, h Stored, args ReadArgs) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, args.Wait+peerTimeoutMargin)
	defer cancel()
	return s.peers.Read(ctx, h.Peer, args)
}

// readReassigned reads a batch that its cached owner does not run. The cache may be
// outdated, so the batch is taken over only if the store still names the same owner or
// none.
func (s *Service) readReassigned(ctx context.Context, previous Stored, args ReadArgs, cause error) (Page, error) {
	rb, err := s.refreshHead(ctx, args.ID)
	if err != nil {
		return Page{}, err
	}
	h := s.headOf(rb)
	switch {
	case h.Ended:
		return s.readEnded(ctx, rb, args)
	case h.Owner == previous.Owner || h.Owner == "" || h.Owner == s.runner.Name:
		return s.takeOver(ctx, args, h, "the owner does not run the batch: "+cause.Error())
	}
	return s.callOwner(ctx, h, args)
}

// ownerDeadAfter is the time without a response or a stored result after which the
// batch of an owner is taken over. Pauses of a healthy owner are shorter.
const ownerDeadAfter = 1200 * time.Millisecond

// readUnresponsive reads from the store while the owner does not respond, and takes the
// batch over if the owner stores no results either.
func (s *Service) readUnresponsive(ctx context.Context, rb *remoteBatch, previous Stored, args ReadArgs) (Page, error) {
	now := s.runner.Clock.Now()
	s.mu.Lock()
	if rb.failingSince.IsZero() {
		rb.failingSince, rb.lastGrowth = now, now
	}
	s.mu.Unlock()
	if _, err := s.refreshHead(ctx, args.ID); err != nil {
		return Page{}, err
	}
	if h := s.headOf(rb); h.Owner != previous.Owner && h.Owner != s.runner.Name && h.Owner != "" {
		return s.callOwner(ctx, h, args)
	}
	results, err := s.loadResults(ctx, rb)
	if err != nil {
		return Page{}, err
	}
	s.mu.Lock()
	ownerDead := now.Sub(rb.failingSince) >= ownerDeadAfter && now.Sub(rb.lastGrowth) >= ownerDeadAfter
	s.mu.Unlock()
	if ownerDead {
		return s.takeOver(ctx, args, previous, "the owner neither responds nor stores results")
	}
	return results.Page(args.After), nil
}

// takeOver makes this instance the owner of a batch, unless another instance has replaced
// the previous owner meanwhile, and reads the batch from its owner. reason is only logged.
//
// Load pattern: an owner fails while several callers read the batch through different
// instances. If each of them took the batch over in turn, its items would start anew with
// each owner.
func (s *Service) takeOver(ctx context.Context, args ReadArgs, previous Stored, reason string) (Page, error) {
	s.log.Info("taking over the batch", zap.String("batch", args.ID), zap.String("from", previous.Owner), zap.String("why", reason))
	h, err := s.claim(ctx, args.ID, ownedBy(previous.Owner, s.runner.Name))
	switch {
	case err != nil:
		return Page{}, err
	case h.Owner != s.runner.Name && !h.Ended:
		s.log.Info("another instance has taken over the batch first", zap.String("batch", args.ID), zap.String("owner", h.Owner))
		return s.readNewOwner(ctx, h, args)
	}
	return s.readLocal(ctx, args)
}

// readNewOwner reads a batch that another instance has just taken over, from the store
// while that instance is still loading it.
func (s *Service) readNewOwner(ctx context.Context, h Stored, args ReadArgs) (Page, error) {
	rb := s.updateRemote(args.ID, h)
	if page, err := s.callOwner(ctx, h, args); err == nil {
		return page, nil
	}
	return s.readStored(ctx, rb, args)
}

// ownedBy returns a function that reports whether a batch has one of the named owners or
// none.
func ownedBy(names ...string) func(*Head) bool {
	return func(h *Head) bool { return h.Owner == "" || slices.Contains(names, h.Owner) }
}

// ownedByAny allows a claim of a batch of any owner.
func ownedByAny(*Head) bool { return true }

// readLocal reads a batch that this instance owns, without waiting for results.
func (s *Service) readLocal(ctx context.Context, args ReadArgs) (Page, error) {
	args.Wait = 0
	page, err := s.runner.Page(ctx, args)
	if errors.Is(err, ErrNotHere) || errors.Is(err, ErrHandingOver) {
		return Page{}, oops.In("batch").With("batch", args.ID).Wrap(ErrStateUnknown)
	}
	return page, err
}

// remaining returns the limits that remain for a batch of the given age. An age can be
// negative if the clocks of two machines differ; it then counts as 0.
func (l Limits) remaining(age time.Duration) Limits {
	age = max(0, age)
	return Limits{Due: max(0, l.Due-age), MaxAge: max(0, l.MaxAge-age)}
}

// claim makes this instance the owner of a batch, loads it and runs it, if allowed returns
// true for the stored head. It returns the resulting head, which names another owner if it
// was not allowed.
func (s *Service) claim(ctx context.Context, id string, allowed func(*Head) bool) (Stored, error) {
	if s.runner.isStopping() {
		return Stored{}, oops.In("batch").With("batch", id).Wrapf(ErrStateUnknown, "instance is stopping")
	}
	claimed, err, _ := s.claims.Do(id, func() (any, error) {
		began := s.runner.Clock.Now()
		h, err := s.store.UpdateHead(ctx, id, func(h *Head) bool {
			if h.Ended || !allowed(h) {
				return false
			}
			h.Owner, h.Peer = s.runner.Name, s.runner.Peer
			return true
		})
		if err != nil {
			return h, err
		}
		h.readAt = began
		s.runner.applyHead(h)
		if h.Owner != s.runner.Name && !h.Ended {
			return h, nil
		}
		sub, results, partials, err := s.store.Load(ctx, h)
		if err != nil {
			return h, err
		}
		s.runner.Add(h, sub, results, partials, s.runner.LimitsOf(h.Head).remaining(h.Age(s.runner.Wall())))
		return h, nil
	})
	h, _ := claimed.(Stored)
	return h, err
}

// End ends a batch of a team. It returns nil once the end is stored.
func (s *Service) End(ctx context.Context, id, team string) error {
	otherTeam := false
	h, err := s.store.UpdateHead(ctx, id, func(h *Head) bool {
		otherTeam = h.Team != team
		update := !otherTeam && !h.Ended
		h.Ended = h.Ended || update
		return update
	})
	if err != nil {
		return err
	}
	if otherTeam {
		return oops.In("batch").With("batch", id).Wrap(ErrNotFound)
	}
	s.runner.applyHead(h)
	s.mu.Lock()
	if rb := s.remotes[id]; rb != nil {
		rb.head = h
	}
	s.mu.Unlock()
	if h.Owner != "" && h.Owner != s.runner.Name {
		go s.notifyOwnerEnd(h)
	}
	return nil
}

// endNotifications limits the attempts to notify an owner of the end of a batch, which
// must reach the engines within seconds.
const endNotifications = 3

// notifyOwnerEnd notifies the owner of the end of a batch. Without the notification the
// owner learns of the end later by watching the heads.
func (s *Service) notifyOwnerEnd(h Stored) {
	for range endNotifications {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeoutMargin)
		err := s.peers.End(ctx, h.Peer, h.ID)
		cancel()
		if err == nil {
			return
		}
		s.log.Info("owner could not be notified of the end of a batch; retrying, or it learns of it from the store", zap.String("batch", h.ID), zap.String("owner", h.Owner), telemetry.Error(err))
		s.runner.Clock.Sleep(storeRetryDelay)
	}
}

// Body returns the body of an item of a team's batch, from memory, its owner or the
// store, in this order.
func (s *Service) Body(ctx context.Context, id, team, item string) ([]byte, error) {
	if body, ok := s.runner.Body(id, team, item); ok {
		return body, nil
	}
	rb, err := s.remote(ctx, id)
	if err != nil {
		return nil, err
	}
	h := s.headOf(rb)
	if h.Team != team {
		return nil, oops.In("batch").With("batch", id).Wrap(ErrNotFound)
	}
	if h.Peer != "" && h.Owner != s.runner.Name {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeoutMargin)
		defer cancel()
		if body, err := s.peers.Body(callCtx, h.Peer, BodyArgs{id, team, item}); err == nil {
			return body, nil
		}
	}
	return s.store.Body(ctx, h, item)
}
