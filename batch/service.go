package batch

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/telemetry"
)

// ErrUnsure means that this instance cannot tell the state of a batch now.
var ErrStateUnknown = errors.New("the state of the batch is not known here now")

// Peers calls other instances. An answer of the peer itself that it does not run
// the batch is ErrNotHere.
type Peers interface {
	Read(ctx context.Context, peer string, args ReadArgs) (Page, error)
	Body(ctx context.Context, peer string, args BodyArgs) ([]byte, error)
	End(ctx context.Context, peer, id string) error
	Adopt(ctx context.Context, peer, id string) error
	Submit(ctx context.Context, peer string, args SubmitArgs) (Stored, error)
	// Owners returns addresses of instances that may run batches, this one's too, in
	// the order in which they are to run those of a key.
	Owners(key string) []string
}

// Answers of an instance that is asked for a batch.
var (
	// ErrNotHere means that it does not run the batch.
	ErrNotHere = errors.New("the batch does not run here")
	// ErrMoving means that it stops and is handing the batch over, with the texts
	// made so far.
	ErrHandingOver = errors.New("the batch is being handed over")
)

// ReadArgs asks for results.
type ReadArgs struct {
	ID    string
	Team  string
	After int
	Wait  time.Duration
}

// BodyArgs asks for the body of an item.
type BodyArgs struct{ ID, Team, Item string }

// Service answers for all batches, wherever they run.
type Service struct {
	runner *Runner
	// heads is where the batches' heads are followed; what it says may be some
	// seconds old.
	heads  objects.Store
	keeper *Store
	peers  Peers
	log    *zap.Logger
	// limitsOf returns the limits of a new batch of a route.
	limitsOf func(route string) Limits
	claims   singleflight.Group

	mu      sync.Mutex // guards all below
	views   map[string]*view
	shunned map[string]time.Time // owners that failed, by address; until when
}

// view is what this instance knows of a batch that runs elsewhere or has ended.
type view struct {
	head    Stored
	ledger  *Ledger
	used    time.Time
	failing time.Time // since when the owner does not answer; zero when it does
	grew    time.Time // when results were last seen to come
}

const (
	// maxViews bounds the batches of other instances whose heads are remembered.
	maxViews = 256
	// maxLedgers bounds those whose results are: a step's texts take a megabyte or two.
	maxLedgers = 6
)

// NewService returns the service over a runner, which follows heads at a store.
func NewService(r *Runner, heads objects.Store, peers Peers, limitsOf func(string) Limits) *Service {
	return &Service{runner: r, heads: heads, keeper: r.Store, peers: peers, log: r.Log, limitsOf: limitsOf, views: map[string]*view{}, shunned: map[string]time.Time{}}
}

// Read returns results of a batch of a team.
func (s *Service) Read(ctx context.Context, args ReadArgs) (Page, error) {
	return s.readOr(ctx, args, func(v *view) (Page, error) {
		h := s.headOf(v)
		switch {
		case h.Team != args.Team:
			return Page{}, oops.In("batch").With("batch", args.ID).Wrap(ErrNotFound)
		case h.Ended:
			return s.readEnded(ctx, v, args)
		}
		return s.readOwner(ctx, v, args)
	})
}

// readOr reads a batch that runs here, or else by what is known of it.
func (s *Service) readOr(ctx context.Context, args ReadArgs, elsewhere func(*view) (Page, error)) (Page, error) {
	page, err := s.runner.Page(ctx, args)
	if !errors.Is(err, ErrNotHere) && !errors.Is(err, ErrHandingOver) {
		return page, err
	}
	v, err := s.viewOf(ctx, args.ID)
	if err != nil {
		return Page{}, err
	}
	return elsewhere(v)
}

// headOf returns a view's head.
func (s *Service) headOf(v *view) Stored {
	s.mu.Lock()
	defer s.mu.Unlock()
	return v.head
}

// ReadHere returns results for another instance: of a batch that runs here, or of
// an ended one that this instance ran, from the store if need be, so that only one
// instance reads it there. Else it returns ErrNotHere.
func (s *Service) ReadHere(ctx context.Context, args ReadArgs) (Page, error) {
	return s.readOr(ctx, args, func(v *view) (Page, error) {
		if s.runner.moving(args.ID) {
			return Page{}, ErrHandingOver
		}
		if h := s.headOf(v); !h.Ended || h.Owner != s.runner.Name || h.Team != args.Team {
			return Page{}, ErrNotHere
		}
		return s.readStored(ctx, v, args)
	})
}

// readStored reads results as the store has them.
func (s *Service) readStored(ctx context.Context, v *view, args ReadArgs) (Page, error) {
	ledger, err := s.follow(ctx, v)
	if err != nil {
		return Page{}, err
	}
	return ledger.Page(args.After), nil
}

// viewOf returns what is known of a batch, from the store when nothing is. What
// follows from it is asked of the owner or read anew.
func (s *Service) viewOf(ctx context.Context, id string) (*view, error) {
	s.mu.Lock()
	v := s.views[id]
	s.mu.Unlock()
	if v != nil {
		return v, nil
	}
	h, err := s.keeper.Locate(ctx, s.heads, id)
	if err != nil {
		return nil, err
	}
	return s.see(id, h), nil
}

// refresh reads a batch's head as it is now.
func (s *Service) refresh(ctx context.Context, id string) (*view, error) {
	h, err := s.keeper.Head(ctx, id)
	if err != nil {
		return nil, err
	}
	return s.see(id, h), nil
}

// see takes in a head.
func (s *Service) see(id string, h Stored) *view {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.views[id]
	if v == nil {
		v = &view{}
		s.views[id] = v
	}
	if v.head.Owner != h.Owner {
		v.failing = time.Time{}
	}
	if h.Version >= v.head.Version {
		v.head = h
	}
	v.used = s.runner.Clock.Now()
	s.trim()
	return v
}

// trim forgets what was used least lately. The caller holds mu.
func (s *Service) trim() {
	for len(s.views) > maxViews {
		delete(s.views, s.oldest(func(*view) bool { return true }))
	}
	held := func(v *view) bool { return v.ledger != nil }
	n := 0
	for _, v := range s.views {
		if held(v) {
			n++
		}
	}
	for ; n > maxLedgers; n-- {
		s.views[s.oldest(held)].ledger = nil
	}
}

// oldest returns the view used least lately among those that count.
func (s *Service) oldest(counts func(*view) bool) string {
	oldest := ""
	for id, v := range s.views {
		if counts(v) && (oldest == "" || v.used.Before(s.views[oldest].used)) {
			oldest = id
		}
	}
	return oldest
}

// readEnded reads an ended batch from the instance that ran it, or else from the
// store.
func (s *Service) readEnded(ctx context.Context, v *view, args ReadArgs) (Page, error) {
	s.mu.Lock()
	h, fresh := v.head, v.ledger == nil
	s.mu.Unlock()
	if fresh && h.Peer != "" && h.Owner != s.runner.Name {
		if page, err := s.askOwner(ctx, h, args); err == nil {
			return page, nil
		}
	}
	return s.readStored(ctx, v, args)
}

// follow brings the view's results up to what is stored.
func (s *Service) follow(ctx context.Context, v *view) (*Ledger, error) {
	s.mu.Lock()
	head, known := v.head, v.ledger
	s.mu.Unlock()
	ledger := NewLedger(head.Items)
	if known != nil {
		ledger = known.clone()
	}
	before := ledger.Chunks()
	if err := s.keeper.CatchUp(ctx, head.ID, ledger); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v.ledger, v.used = ledger, s.runner.Clock.Now()
	if ledger.Chunks() > before {
		v.grew = v.used
	}
	s.trim()
	return ledger, nil
}

// readOwner asks the batch's owner, and takes its place when it is gone.
func (s *Service) readOwner(ctx context.Context, v *view, args ReadArgs) (Page, error) {
	h := s.headOf(v)
	if s.runner.moving(args.ID) {
		return s.readMoving(ctx, v, h, args)
	}
	if h.Owner == "" || h.Owner == s.runner.Name {
		return s.takeOver(ctx, args, "it has no owner that runs it")
	}
	page, err := s.askOwner(ctx, h, args)
	switch {
	case err == nil:
		s.mu.Lock()
		v.failing, v.used = time.Time{}, s.runner.Clock.Now()
		s.mu.Unlock()
		return page, nil
	case errors.Is(err, ErrNotHere), errors.Is(err, syscall.ECONNREFUSED):
		return s.readMoved(ctx, h, args, err)
	case errors.Is(err, ErrHandingOver):
		return s.readMoving(ctx, v, h, args)
	}
	return s.readBehind(ctx, v, h, args)
}

const (
	// handoverStep is how often the store is asked who runs a batch that is being
	// handed over.
	handoverStep = 150 * time.Millisecond
	// handoverSteps bounds the questions: a handover takes some hundred milliseconds.
	handoverSteps = 5
)

// readMoving reads a batch whose owner is handing it over, from the next owner. To
// take it over meanwhile would lose the texts that come with the handover.
func (s *Service) readMoving(ctx context.Context, v *view, before Stored, args ReadArgs) (Page, error) {
	for range handoverSteps {
		s.sleep(ctx, handoverStep)
		if _, err := s.refresh(ctx, args.ID); err != nil {
			return Page{}, err
		}
		h := s.headOf(v)
		switch {
		case h.Ended:
			return s.readEnded(ctx, v, args)
		case h.Owner != before.Owner && h.Owner != "" && h.Owner != s.runner.Name:
			return s.askOwner(ctx, h, args)
		case h.Owner == s.runner.Name && !s.runner.stopped():
			return s.readHeld(ctx, args)
		}
	}
	return s.readBehind(ctx, v, before, args)
}

// askMargin is how much longer than the caller's wait an owner may take.
const askMargin = 600 * time.Millisecond

func (s *Service) askOwner(ctx context.Context, h Stored, args ReadArgs) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, args.Wait+askMargin)
	defer cancel()
	return s.peers.Read(ctx, h.Peer, args)
}

// readMoved reads a batch whose believed owner does not run it. What was believed may
// be old: only an owner that the store still names is replaced.
func (s *Service) readMoved(ctx context.Context, before Stored, args ReadArgs, cause error) (Page, error) {
	v, err := s.refresh(ctx, args.ID)
	if err != nil {
		return Page{}, err
	}
	h := s.headOf(v)
	switch {
	case h.Ended:
		return s.readEnded(ctx, v, args)
	case h.Owner == before.Owner || h.Owner == "" || h.Owner == s.runner.Name:
		return s.takeOver(ctx, args, "its owner is gone: "+cause.Error())
	}
	return s.askOwner(ctx, h, args)
}

// deadAfter is how long an owner that does not answer and lists nothing is
// waited for. A pause of a healthy owner is shorter.
const deadAfter = 1200 * time.Millisecond

// readBehind reads the store while the owner does not answer, and takes its
// place when nothing comes from it.
func (s *Service) readBehind(ctx context.Context, v *view, before Stored, args ReadArgs) (Page, error) {
	now := s.runner.Clock.Now()
	s.mu.Lock()
	if v.failing.IsZero() {
		v.failing, v.grew = now, now
	}
	s.mu.Unlock()
	if _, err := s.refresh(ctx, args.ID); err != nil {
		return Page{}, err
	}
	if h := s.headOf(v); h.Owner != before.Owner && h.Owner != s.runner.Name && h.Owner != "" {
		return s.askOwner(ctx, h, args)
	}
	ledger, err := s.follow(ctx, v)
	if err != nil {
		return Page{}, err
	}
	s.mu.Lock()
	silent := now.Sub(v.failing) >= deadAfter && now.Sub(v.grew) >= deadAfter
	s.mu.Unlock()
	if silent {
		return s.takeOver(ctx, args, "its owner is silent")
	}
	return ledger.Page(args.After), nil
}

// takeOver claims a batch and reads it here.
func (s *Service) takeOver(ctx context.Context, args ReadArgs, why string) (Page, error) {
	s.log.Info("batch is taken over", zap.String("batch", args.ID), zap.String("why", why))
	if _, err := s.claim(ctx, args.ID); err != nil {
		return Page{}, err
	}
	return s.readHeld(ctx, args)
}

// readHeld reads a batch that is to run here.
func (s *Service) readHeld(ctx context.Context, args ReadArgs) (Page, error) {
	args.Wait = 0
	page, err := s.runner.Page(ctx, args)
	if errors.Is(err, ErrNotHere) || errors.Is(err, ErrHandingOver) {
		return Page{}, oops.In("batch").With("batch", args.ID).Wrap(ErrStateUnknown)
	}
	return page, err
}

// after returns the limits of a batch of an age. An age that the clocks of two
// machines make negative counts as none.
func (l Limits) after(age time.Duration) Limits {
	age = max(0, age)
	return Limits{Due: max(0, l.Due-age), MaxAge: max(0, l.MaxAge-age)}
}

// claim makes this instance a batch's owner and runs it.
func (s *Service) claim(ctx context.Context, id string) (Stored, error) {
	if s.runner.stopped() {
		return Stored{}, oops.In("batch").With("batch", id).Wrapf(ErrStateUnknown, "this instance stops")
	}
	claimed, err, _ := s.claims.Do(id, func() (any, error) {
		h, err := s.keeper.Change(ctx, id, func(h *Head) bool {
			h.Owner, h.Peer = s.runner.Name, s.runner.Peer
			return !h.Ended
		})
		if err != nil {
			return h, err
		}
		sub, ledger, partials, err := s.keeper.Load(ctx, h)
		if err != nil {
			return h, err
		}
		s.runner.Add(h, sub, ledger, partials, s.limitsOf(h.Route).after(h.Age(s.runner.Wall())))
		return h, nil
	})
	h, _ := claimed.(Stored)
	return h, err
}

// End ends a batch of a team. It returns nil when the store has it.
func (s *Service) End(ctx context.Context, id, team string) error {
	other := false
	h, err := s.keeper.Change(ctx, id, func(h *Head) bool {
		other = h.Team != team
		changes := !other && !h.Ended
		h.Ended = h.Ended || changes
		return changes
	})
	if err != nil {
		return err
	}
	if other {
		return oops.In("batch").With("batch", id).Wrap(ErrNotFound)
	}
	s.runner.headSeen(h)
	s.mu.Lock()
	if v := s.views[id]; v != nil {
		v.head = h
	}
	s.mu.Unlock()
	if h.Owner != "" && h.Owner != s.runner.Name {
		go s.tellEnd(h)
	}
	return nil
}

// tellEnd tells the owner of an end; it would see it in the store later.
func (s *Service) tellEnd(h Stored) {
	ctx, cancel := context.WithTimeout(context.Background(), askMargin)
	defer cancel()
	if err := s.peers.End(ctx, h.Peer, h.ID); err != nil {
		s.log.Info("owner was not told of a batch's end", zap.String("batch", h.ID), zap.String("owner", h.Owner), telemetry.Error(err))
	}
}

// Body returns the body of an item of a team's batch.
func (s *Service) Body(ctx context.Context, id, team, item string) ([]byte, error) {
	if body, ok := s.runner.Body(id, team, item); ok {
		return body, nil
	}
	v, err := s.viewOf(ctx, id)
	if err != nil {
		return nil, err
	}
	h := s.headOf(v)
	if h.Team != team {
		return nil, oops.In("batch").With("batch", id).Wrap(ErrNotFound)
	}
	if h.Peer != "" && h.Owner != s.runner.Name {
		ask, cancel := context.WithTimeout(ctx, askMargin)
		defer cancel()
		if body, err := s.peers.Body(ask, h.Peer, BodyArgs{id, team, item}); err == nil {
			return body, nil
		}
	}
	return s.keeper.Body(ctx, h, item)
}
