package rollout

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pomelocross/pomelocross/platform"
)

// Generator produces one sample. It returns an error only when it gave up; the
// home then tries again later.
type Generator interface {
	Generate(ctx context.Context, order SampleOrder) (Sample, error)
}

// SampleOrder is one sample to generate.
type SampleOrder struct {
	Run   string
	Team  string
	Model string
	// FreshFrom is the oldest weight version that may produce it.
	FreshFrom int64
	Step      int64
	Number    int
	Index     int
	Group     Group
}

// retryPause is the wait after a sample failed.
const retryPause = 500 * time.Millisecond

// Home serves one run at the instance that holds its ledger. Its methods are
// safe for concurrent use; a pull excludes others of the same run.
type Home struct {
	book      book
	generator Generator
	clock     clockwork.Clock
	ctx       context.Context // ends when the home is given up
	giveUp    context.CancelFunc

	pulling sync.Mutex // held over a whole pull, so that batches have one order
	serial  sync.Mutex // held over each change of the ledger, writes included

	mu      sync.Mutex // guards all below; never held over I/O
	ledger  *Ledger
	version platform.Version
	ready   map[int64]map[int]Sample // by step and sample number
	changed chan struct{}            // closed and replaced when ready grows
}

// Open claims run for the instance self and resumes its open steps.
func Open(ctx context.Context, store platform.Store, generator Generator, clock clockwork.Clock, run, self string) (*Home, error) {
	b := book{store: store}
	ledger, version, err := b.ledger(ctx, run)
	if err != nil {
		return nil, err
	}
	ledger.Home = self
	ledger.Epoch++
	version, err = b.save(ctx, ledger, version)
	if err != nil {
		return nil, err
	}
	h := newHome(b, generator, clock, ledger, version)
	for _, s := range ledger.Steps {
		if err := h.resume(ctx, s); err != nil {
			h.Close()
			return nil, err
		}
	}
	return h, nil
}

// Create writes the ledger of a new run with self as its home. Creating the
// same run again is no error.
func Create(ctx context.Context, store platform.Store, spec RunSpec, team, self string) error {
	b := book{store: store}
	l := &Ledger{
		Run: spec.Run, Team: team, Model: spec.Model, MaxStaleness: spec.MaxStaleness,
		BatchSamples: spec.BatchSamples, Home: self, Settled: true,
	}
	_, err := b.save(ctx, l, 0)
	if !errors.Is(err, platform.ErrConflict) {
		return err
	}
	existing, _, err := b.ledger(ctx, spec.Run)
	if err != nil {
		return err
	}
	if existing.Team != team {
		return ErrOtherTeam
	}
	return nil
}

func newHome(b book, generator Generator, clock clockwork.Clock, ledger *Ledger, version platform.Version) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	return &Home{
		book: b, generator: generator, clock: clock, ctx: ctx, giveUp: cancel,
		ledger: ledger, version: version,
		ready: map[int64]map[int]Sample{}, changed: make(chan struct{}),
	}
}

// Close stops generating. The ledger stays for the next home.
func (h *Home) Close() { h.giveUp() }

// Done is closed when the home was given up, by Close or because another
// instance has taken the run.
func (h *Home) Done() <-chan struct{} { return h.ctx.Done() }

// Team returns the team that owns the run.
func (h *Home) Team() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Team
}

// StartStep records a step and begins to generate its samples. Starting the
// same step again with the same content is no error.
func (h *Home) StartStep(ctx context.Context, spec StepSpec) error {
	hash, err := spec.Hash()
	if err != nil {
		return err
	}
	h.serial.Lock()
	defer h.serial.Unlock()
	next := h.current().Clone()
	if open := next.Step(spec.Step); open != nil {
		if open.SpecHash != hash {
			return ErrStepExists
		}
		return nil
	}
	if spec.Step <= next.LastStep {
		return ErrStepExists
	}
	if len(next.Steps) >= MaxOpenSteps {
		return ErrTooMany
	}
	if err := h.book.create(ctx, kindStep, stepObject(next.Run, spec.Step, hash), spec); err != nil {
		return err
	}
	state := StepState{Step: spec.Step, Samples: spec.Samples(), SpecHash: hash}
	next.Steps = append(next.Steps, state)
	next.LastStep = spec.Step
	next.WeightVersion = max(next.WeightVersion, spec.WeightVersion)
	if err := h.commit(ctx, next); err != nil {
		return err
	}
	h.generate(spec, state)
	return nil
}

// commit writes the next ledger. After ErrConflict another instance has the
// run and the home is given up. The caller holds serial.
func (h *Home) commit(ctx context.Context, next *Ledger) error {
	version, err := h.book.save(ctx, next, h.versionNow())
	if err != nil {
		return h.settleWrite(ctx, next, err)
	}
	h.mu.Lock()
	h.ledger, h.version = next, version
	h.mu.Unlock()
	return nil
}

// settleWrite finds out whether a failed write took effect after all.
func (h *Home) settleWrite(ctx context.Context, next *Ledger, cause error) error {
	stored, version, err := h.book.ledger(ctx, next.Run)
	if err != nil {
		h.giveUp() // the outcome is unknown; the next home reads the truth
		return errors.Join(cause, err)
	}
	if stored.Epoch != next.Epoch || stored.Home != next.Home {
		h.giveUp()
		return ErrMoved
	}
	same, err := sameLedger(stored, next)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version = version
	if !same {
		return cause
	}
	h.ledger = next
	return nil
}

func sameLedger(a, b *Ledger) (bool, error) {
	first, err := hashOf(a)
	if err != nil {
		return false, err
	}
	second, err := hashOf(b)
	return first == second, err
}

func (h *Home) current() *Ledger {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger
}

func (h *Home) versionNow() platform.Version {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version
}
