package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/objects"
)

// Home serves one run at the instance that holds its ledger. Its methods are
// safe for concurrent use; a pull excludes others of the same run.
type Home struct {
	book      book
	generator Generator
	clock     clockwork.Clock
	ctx       context.Context // ends when the home is given up
	giveUp    context.CancelFunc

	pulling  sync.Mutex // held over a whole pull, so that batches have one order
	prepared prepared   // guarded by pulling
	serial   sync.Mutex // held over each change of the ledger, writes included

	starting sync.Mutex // held over a whole StartStep
	stepSeq  int64      // of the last spec written; guarded by starting

	mu         sync.Mutex // guards all below; never held over I/O
	ledger     *Ledger
	version    objects.Version
	uncertain  bool // a write's outcome is unknown; read before the next
	unsaved    bool // the ledger has changes that the platform does not have
	work       map[int64]*stepWork
	running    int
	changed    chan struct{} // closed and replaced when more may be handed over
	waiting    *waitingPull  // nil without one
	lastCaller time.Time     // when a trainer last reached the home
	confirmed  time.Time     // when the platform last named this home
	pace       Pace
	orphans    []Blob // contents whose commit failed; garbage once a later write succeeds
}

// Open claims run for the instance self and resumes its open steps.
func Open(ctx context.Context, store objects.Store, generator Generator, clock clockwork.Clock, run, self string) (*Home, error) {
	b := book{store: store}
	ledger, version, err := b.ledger(ctx, run)
	if err != nil {
		return nil, err
	}
	ledger.Claim(self)
	version, err = b.save(ctx, ledger, version)
	if errors.Is(err, objects.ErrConflict) {
		return nil, errors.Join(ErrMoved, err)
	}
	if err != nil {
		return nil, unavailable(err)
	}
	h := newHome(b, generator, clock)
	h.adopt(ledger, version)
	if err := h.loadSteps(ctx); err != nil {
		h.Stop()
		return nil, err
	}
	return h, nil
}

// Create writes the ledger of a new run with self as its home. Creating the
// same run again is no error.
func Create(ctx context.Context, store objects.Store, spec RunSpec, team, self string) error {
	b := book{store: store}
	l := &Ledger{
		Run: spec.Run, Team: team, Model: spec.Model, MaxStaleness: spec.MaxStaleness,
		BatchSamples: spec.BatchSamples, Home: self, Settled: true,
	}
	_, err := b.save(ctx, l, 0)
	if err == nil {
		return nil
	}
	if !errors.Is(err, objects.ErrConflict) {
		return unavailable(err)
	}
	existing, _, err := b.ledger(ctx, spec.Run)
	if err != nil {
		return err
	}
	same := existing.Team == team && existing.Model == spec.Model &&
		existing.MaxStaleness == spec.MaxStaleness && existing.BatchSamples == spec.BatchSamples
	if !same {
		return ErrRunExists
	}
	return nil
}

func newHome(b book, generator Generator, clock clockwork.Clock) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	return &Home{
		book: b, generator: generator, clock: clock, ctx: ctx, giveUp: cancel,
		work: map[int64]*stepWork{}, changed: make(chan struct{}), lastCaller: clock.Now(),
	}
}

// Stop gives the home up at once. The ledger stays for the next home.
func (h *Home) Stop() { h.giveUp() }

// Release gives the home up and says so in the ledger, so that the next home
// need not wait.
func (h *Home) Release(ctx context.Context) error {
	defer h.giveUp()
	return h.change(ctx, func(l *Ledger) error {
		l.Home = ""
		return nil
	})
}

// Done is closed when the home was given up, by Stop or because another
// instance has taken the run.
func (h *Home) Done() <-chan struct{} { return h.ctx.Done() }

// Team returns the team that owns the run.
func (h *Home) Team() string { return h.current().Team }

// StartStep records a step and begins to generate its samples. Starting the
// same step again with the same content is no error.
func (h *Home) StartStep(ctx context.Context, spec StepSpec) error {
	h.called()
	h.starting.Lock()
	defer h.starting.Unlock()
	data, err := encode(spec)
	if err != nil {
		return err
	}
	hash := hashOf(data)
	known := h.current()
	if err := mayStart(known, spec.Step, hash); err != nil || known.repeats(spec.Step, hash) && known.Step(spec.Step) == nil {
		return err
	}
	seq, err := h.reserveStep(ctx)
	if err != nil {
		return err
	}
	blob, err := h.book.write(ctx, kindStep, known.contentName(seq), data)
	if err != nil {
		h.orphan(blob)
		return err
	}
	err = h.change(ctx, func(l *Ledger) error {
		if err := mayStart(l, spec.Step, hash); err != nil || l.Step(spec.Step) != nil || l.repeats(spec.Step, hash) {
			return err
		}
		l.Steps = append(l.Steps, StepState{
			Step: spec.Step, Samples: spec.Samples(), WholeGroups: spec.WholeGroups, SpecHash: hash, Spec: blob,
		})
		l.LastStep, l.LastSpecHash, l.StepSeq = spec.Step, hash, seq
		l.WeightVersion = max(l.WeightVersion, spec.WeightVersion)
		return nil
	})
	if err != nil {
		h.orphan(blob)
		return err
	}
	h.begin(&spec)
	return nil
}

// repeats reports whether a request is for the step that was started last.
func (l *Ledger) repeats(step int64, hash string) bool {
	return step == l.LastStep && hash == l.LastSpecHash
}

// reserveStep returns a number for the name of a spec. No two writes share a
// name: what a failed one wrote becomes garbage, which even a home that has lost
// the run may still delete. The caller holds starting.
func (h *Home) reserveStep(ctx context.Context) (int64, error) {
	stored := h.current().StepSeq
	h.stepSeq = max(h.stepSeq, stored) + 1
	if h.stepSeq-stored < maxOrphans {
		return h.stepSeq, nil
	}
	last := h.stepSeq - 1
	return h.stepSeq, h.change(ctx, func(l *Ledger) error {
		l.StepSeq = last
		return nil
	})
}

// mayStart returns why a step can't be added. A step that is open with the same
// content is no error.
func mayStart(l *Ledger, step int64, hash string) error {
	open := l.Step(step)
	switch {
	case l.Closed:
		return ErrClosed
	case open != nil && open.SpecHash == hash, l.repeats(step, hash):
		return nil
	case step <= l.LastStep:
		return ErrStepExists
	case len(l.Steps) >= MaxOpenSteps:
		return ErrTooMany
	}
	return nil
}

// loadSteps reads the specs of open steps that are not worked on yet.
func (h *Home) loadSteps(ctx context.Context) error {
	for _, state := range h.current().Steps {
		if h.known(state.Step) {
			continue
		}
		data, err := h.book.read(ctx, state.Spec, state.SpecHash)
		if err != nil {
			return err
		}
		spec := &StepSpec{}
		if err := json.Unmarshal(data, spec); err != nil {
			return oops.In("rollout").With("step", "decode step").Wrap(err)
		}
		h.begin(spec)
	}
	return nil
}

// Delete closes the run and deletes all that it has stored, its ledger last. It
// may be repeated when it failed.
func (h *Home) Delete(ctx context.Context) error {
	err := h.change(ctx, func(l *Ledger) error {
		l.Close()
		return nil
	})
	if err != nil {
		return err
	}
	if err := h.sweep(ctx); err != nil {
		return err
	}
	h.serial.Lock()
	defer h.serial.Unlock()
	err = h.book.store.Delete(ctx, objects.KindRun, h.current().Run, h.versionNow())
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		return unavailable(err)
	}
	h.giveUp()
	return nil
}

// called notes that a trainer has reached the home.
func (h *Home) called() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastCaller = h.clock.Now()
}

func (h *Home) current() *Ledger {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger
}

func (h *Home) versionNow() objects.Version {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version
}
