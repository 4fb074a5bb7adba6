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

// Home serves one run on the instance that has claimed it in its ledger. It generates
// the samples of the open steps and delivers them in batches. Its methods are safe for
// concurrent use; only one pull runs at a time.
type Home struct {
	ledgers   ledgerStore
	generator Generator
	clock     clockwork.Clock
	ctx       context.Context // canceled when the home stops serving the run
	cancel    context.CancelFunc

	pullMu   sync.Mutex    // held during a whole pull, so that batches have one order
	prepared preparedBatch // guarded by pullMu
	ledgerMu sync.Mutex    // held during each update of the ledger, including its write

	startMu sync.Mutex // held during a whole StartStep
	stepSeq int64      // sequence number of the last spec written; guarded by startMu

	mu             sync.Mutex // guards all fields below; never held during I/O
	ledger         *Ledger
	version        objects.Version
	outcomeUnknown bool                // the outcome of the last write is unknown; reread before the next
	unsaved        bool                // the ledger has changes that are not stored yet
	steps          map[int64]*stepWork // open steps by number
	running        int
	changed        chan struct{} // closed and replaced when more samples may be ready for delivery
	activePull     *activePull   // nil if no pull is running
	lastCallAt     time.Time     // when a trainer last called the home
	confirmedAt    time.Time     // when the stored ledger last confirmed that this home serves the run
	timing         Timing
	orphans        []Blob // blobs whose commit failed; garbage once a later write succeeds
}

// Open claims run for the instance self and resumes its open steps. It returns
// ErrMoved if another instance claims the run at the same time.
func Open(ctx context.Context, store objects.Store, generator Generator, clock clockwork.Clock, run, self string) (*Home, error) {
	ledgers := ledgerStore{store: store}
	ledger, version, err := ledgers.readLedger(ctx, run)
	if err != nil {
		return nil, err
	}
	ledger.Claim(self)
	version, err = ledgers.writeLedger(ctx, ledger, version)
	if errors.Is(err, objects.ErrConflict) {
		return nil, errors.Join(ErrMoved, err)
	}
	if err != nil {
		return nil, wrapUnavailable(err)
	}
	h := newHome(ledgers, generator, clock)
	h.setStoredLedger(ledger, version)
	if err := h.loadSteps(ctx); err != nil {
		h.Stop()
		return nil, err
	}
	return h, nil
}

// Create writes the ledger of a new run with self as its home. It is idempotent: if
// the run already exists with the same settings and team, it returns nil, otherwise
// ErrRunExists.
func Create(ctx context.Context, store objects.Store, spec RunSpec, team, self string) error {
	ledgers := ledgerStore{store: store}
	l := &Ledger{
		Run: spec.Run, Team: team, Model: spec.Model, MaxStaleness: spec.MaxStaleness,
		BatchSamples: spec.BatchSamples, Home: self, Settled: true,
	}
	_, err := ledgers.writeLedger(ctx, l, 0)
	if err == nil {
		return nil
	}
	if !errors.Is(err, objects.ErrConflict) {
		return wrapUnavailable(err)
	}
	existing, _, err := ledgers.readLedger(ctx, spec.Run)
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

func newHome(ledgers ledgerStore, generator Generator, clock clockwork.Clock) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	return &Home{
		ledgers: ledgers, generator: generator, clock: clock, ctx: ctx, cancel: cancel,
		steps: map[int64]*stepWork{}, changed: make(chan struct{}), lastCallAt: clock.Now(),
	}
}

// Stop stops serving the run at once. It leaves the ledger unchanged, so that the next
// home can claim the run.
func (h *Home) Stop() { h.cancel() }

// Release stops serving the run and removes the home from the ledger, so that the
// next home can claim the run without waiting for the heartbeat to time out.
func (h *Home) Release(ctx context.Context) error {
	defer h.cancel()
	return h.updateLedger(ctx, func(l *Ledger) error {
		l.Home = ""
		return nil
	})
}

// Done returns a channel that is closed when the home has stopped serving the run:
// after Stop, Release or Delete, or because another instance has claimed the run.
func (h *Home) Done() <-chan struct{} { return h.ctx.Done() }

// Team returns the team that owns the run.
func (h *Home) Team() string { return h.currentLedger().Team }

// StartStep records a step and begins to generate its samples. It is idempotent for
// an open step and for the last one: the same content is accepted again.
func (h *Home) StartStep(ctx context.Context, spec StepSpec) error {
	h.recordCall()
	h.startMu.Lock()
	defer h.startMu.Unlock()
	data, err := encode(spec)
	if err != nil {
		return err
	}
	hash := contentHash(data)
	ledger := h.currentLedger()
	if err := checkNewStep(ledger, spec.Step, hash); err != nil || ledger.isLastStep(spec.Step, hash) && ledger.Step(spec.Step) == nil {
		return err
	}
	seq, err := h.reserveStepSeq(ctx)
	if err != nil {
		return err
	}
	blob, err := h.ledgers.writeBlob(ctx, kindStep, ledger.blobName(seq), data)
	if err != nil {
		h.addOrphans(blob)
		return err
	}
	err = h.updateLedger(ctx, func(l *Ledger) error {
		if err := checkNewStep(l, spec.Step, hash); err != nil || l.Step(spec.Step) != nil || l.isLastStep(spec.Step, hash) {
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
		h.addOrphans(blob)
		return err
	}
	h.addStep(&spec)
	return nil
}

// isLastStep reports whether number and content hash are those of the step that was
// started last.
func (l *Ledger) isLastStep(number int64, hash string) bool {
	return number == l.LastStep && hash == l.LastSpecHash
}

// reserveStepSeq returns a sequence number for the blob name of a spec. Every write
// uses a new name, because the blob of a failed write becomes garbage, which even a
// home that has lost the run may delete later. The caller holds startMu.
func (h *Home) reserveStepSeq(ctx context.Context) (int64, error) {
	stored := h.currentLedger().StepSeq
	h.stepSeq = max(h.stepSeq, stored) + 1
	if h.stepSeq-stored < maxOrphans {
		return h.stepSeq, nil
	}
	last := h.stepSeq - 1
	return h.stepSeq, h.updateLedger(ctx, func(l *Ledger) error {
		l.StepSeq = last
		return nil
	})
}

// checkNewStep returns the reason why a step cannot be added, or nil. A step that was
// already added with the same content is not an error.
func checkNewStep(l *Ledger, number int64, hash string) error {
	open := l.Step(number)
	switch {
	case l.Closed:
		return ErrClosed
	case open != nil && open.SpecHash == hash, l.isLastStep(number, hash):
		return nil
	case number <= l.LastStep:
		return ErrStepExists
	case len(l.Steps) >= MaxOpenSteps:
		return ErrTooMany
	}
	return nil
}

// loadSteps reads the specs of open steps that the home does not have yet and adds
// the steps.
func (h *Home) loadSteps(ctx context.Context) error {
	for _, state := range h.currentLedger().Steps {
		if h.hasStep(state.Step) {
			continue
		}
		data, err := h.ledgers.readBlob(ctx, state.Spec, state.SpecHash)
		if err != nil {
			return err
		}
		spec := &StepSpec{}
		if err := json.Unmarshal(data, spec); err != nil {
			return oops.In("rollout").With("step", "decode step").Wrap(err)
		}
		h.addStep(spec)
	}
	return nil
}

// Delete closes the run and deletes everything it has stored, the ledger last. It
// can be retried after an error.
func (h *Home) Delete(ctx context.Context) error {
	err := h.updateLedger(ctx, func(l *Ledger) error {
		l.Close()
		return nil
	})
	if err != nil {
		return err
	}
	if err := h.collectGarbage(ctx); err != nil {
		return err
	}
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	err = h.ledgers.store.Delete(ctx, objects.KindRun, h.currentLedger().Run, h.currentVersion())
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		return wrapUnavailable(err)
	}
	h.cancel()
	return nil
}

// recordCall records that a trainer has called the home.
func (h *Home) recordCall() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastCallAt = h.clock.Now()
}

func (h *Home) currentLedger() *Ledger {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger
}

func (h *Home) currentVersion() objects.Version {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version
}
