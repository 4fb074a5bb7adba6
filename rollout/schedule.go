package rollout

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/pomelocross/pomelocross/attempt"
)

// Pauses after failed attempts at a sample.
const (
	minRetryPause = 500 * time.Millisecond
	maxRetryPause = 10 * time.Second
	// maxAvoided bounds the upstreams that a sample avoids.
	maxAvoided = 4
)

var (
	errStale     = errors.New("weights of the sample have become too old")
	errStraggler = errors.New("sample is resumed elsewhere")
)

// begin starts to work on an open step.
func (h *Home) begin(spec *StepSpec) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.work[spec.Step] != nil || h.ledger.Step(spec.Step) == nil {
		return
	}
	h.work[spec.Step] = newStepWork(spec)
	h.align()
	h.schedule()
}

func (h *Home) known(step int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.work[step] != nil
}

// align brings the work in line with the ledger. The caller holds mu.
func (h *Home) align() {
	for number, w := range h.work {
		state := h.ledger.Step(number)
		if state == nil {
			w.abandon()
			delete(h.work, number)
			continue
		}
		w.align(state, h.ledger.FreshFrom())
	}
}

func (w *stepWork) abandon() {
	for i := range w.samples {
		if w.samples[i].state == stateRunning {
			w.samples[i].try.cancel(context.Canceled)
		}
	}
}

// maxReadyBytes bounds the finished samples that a home holds for its trainer.
// Beyond it nothing new is started until the trainer pulls.
const maxReadyBytes = 32 << 20

// schedule starts pending samples, those of older steps first, up to the
// generator's limit. The caller holds mu.
func (h *Home) schedule() {
	if h.ctx.Err() != nil || h.readyBytes() >= maxReadyBytes {
		return
	}
	limit := defaultLimit
	if l, ok := h.generator.(Limiter); ok {
		limit = l.Limit(h.ledger.Model)
	}
	for _, state := range h.ledger.Steps {
		w := h.work[state.Step]
		for w != nil && h.running < limit && len(w.pending) > 0 {
			number := w.pending[len(w.pending)-1]
			w.pending = w.pending[:len(w.pending)-1]
			if w.samples[number].state == statePending {
				h.start(w, number)
			}
		}
	}
}

// readyBytes is the size of what could be handed over. The caller holds mu.
func (h *Home) readyBytes() int {
	bytes := 0
	for _, w := range h.work {
		bytes += w.bytes
	}
	return bytes
}

// start runs one sample. The caller holds mu.
func (h *Home) start(w *stepWork, number int) {
	ctx, cancel := context.WithCancelCause(h.ctx)
	s := &w.samples[number]
	t := &try{cancel: cancel, started: h.clock.Now()}
	if s.try != nil {
		t.begun, t.avoid, t.failures, t.moves = s.try.begun, s.try.avoid, s.try.failures, s.try.moves
	}
	l := h.ledger
	if oldestOf(t.begun.Ranges) < l.FreshFrom() {
		t.begun = attempt.Completion{}
	}
	order := SampleRequest{
		Run: l.Run, Team: l.Team, Model: l.Model, MinWeightVersion: l.FreshFrom(), PreferredWeightVersion: h.pace.Preferred(l, t.started),
		Step: w.spec.Step, Number: number, Index: int(s.index), Group: w.spec.Groups[s.group], Partial: t.begun, Avoid: t.avoid,
	}
	order.OnTokens = func(version int64, tokens int) {
		t.flowing.CompareAndSwap(0, h.clock.Now().UnixNano())
		t.tokens.Add(int64(tokens))
		if tokens > 0 && (t.first.Load() == 0 || version < t.first.Load()) {
			t.first.Store(version)
		}
		if tokens > 0 && version < order.MinWeightVersion {
			cancel(errStale) // the engine runs older weights than it had reported
		}
	}
	s.state, s.try = stateRunning, t
	h.running++
	go h.run(ctx, order, t)
}

// run generates one sample and books what came of it.
func (h *Home) run(ctx context.Context, order SampleRequest, t *try) {
	sample, err := h.generator.Generate(ctx, order)
	if err == nil {
		err = sample.check()
	}
	var data []byte
	if err == nil {
		data, err = encode(sample)
	}
	cause := context.Cause(ctx)
	t.cancel(nil)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running--
	defer h.schedule()
	w := h.work[order.Step]
	if w == nil || w.samples[order.Number].try != t || w.samples[order.Number].state != stateRunning {
		return // the step is gone, or the sample was delivered otherwise
	}
	switch {
	case err != nil:
		h.retry(w, order.Number, err, cause)
	case sample.Oldest() < h.ledger.FreshFrom():
		h.retry(w, order.Number, errStale, errStale)
	default:
		now := h.clock.Now()
		h.pace.finished(now.Sub(t.started), now.Sub(t.flowed()), t.tokens.Load())
		w.finish(order.Number, data, sample.Oldest())
		h.signal()
	}
}

// flowed returns when the first token came, or when the attempt started.
func (t *try) flowed() time.Time {
	if at := t.flowing.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return t.started
}

// retry prepares the next attempt at a sample. The caller holds mu.
func (h *Home) retry(w *stepWork, number int, err, cause error) {
	s := &w.samples[number]
	s.try.learn(err, h.ledger.FreshFrom())
	switch {
	case errors.Is(cause, errStraggler):
		w.counts.Moved++
		w.redo(number)
		return
	case errors.Is(cause, errStale):
		w.counts.Redone++
		s.try.begun = attempt.Completion{}
	default:
		w.counts.Failed++
		w.counts.LastError = err.Error()
	}
	s.try.failures++
	s.state = stateCooling
	h.clock.AfterFunc(retryPause(s.try.failures), func() { h.cooled(w, number) })
}

// learn keeps what an interrupted attempt generated while it is fresh, and
// which upstream to avoid.
func (t *try) learn(err error, freshFrom int64) {
	var interrupted *Interrupted
	if !errors.As(err, &interrupted) {
		return
	}
	t.begun = attempt.Completion{}
	if oldest := oldestOf(interrupted.Partial.Ranges); oldest > 0 && oldest >= freshFrom {
		t.begun = interrupted.Partial
	}
	if interrupted.Upstream == "" || slices.Contains(t.avoid, interrupted.Upstream) {
		return
	}
	t.avoid = append(slices.Clone(t.avoid), interrupted.Upstream)
	if len(t.avoid) > maxAvoided {
		t.avoid = t.avoid[1:]
	}
}

func retryPause(failures int) time.Duration {
	pause := minRetryPause
	for range failures - 1 {
		pause = min(2*pause, maxRetryPause)
	}
	return pause
}

func (h *Home) cooled(w *stepWork, number int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if w.samples[number].state != stateCooling {
		return
	}
	w.redo(number)
	h.schedule()
}

// signal wakes the pull that waits. The caller holds mu.
func (h *Home) signal() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Progress returns the state of the run.
func (h *Home) Progress() Progress {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := ProgressOf(h.ledger)
	for i, step := range p.Steps {
		if w := h.work[step.Step]; w != nil {
			p.Steps[i] = w.progress(step)
		}
	}
	return p
}

// ProgressOf returns what a ledger alone tells of a run.
func ProgressOf(l *Ledger) Progress {
	p := Progress{
		Run: l.Run, Model: l.Model, WeightVersion: l.WeightVersion, FreshFrom: l.FreshFrom(),
		Consumed: l.Consumed, LastBatch: l.Batch.Number, Home: l.Home, Steps: []StepProgress{},
	}
	for _, s := range l.Steps {
		delivered := s.Delivered.Count()
		p.Steps = append(p.Steps, StepProgress{Step: s.Step, Samples: s.Samples, Delivered: delivered, Pending: s.Samples - delivered})
	}
	return p
}

func (w *stepWork) progress(base StepProgress) StepProgress {
	p := w.counts
	p.Step, p.Samples, p.Delivered = base.Step, base.Samples, base.Delivered
	for i := range w.samples {
		switch w.samples[i].state {
		case stateReady:
			p.Ready++
		case stateRunning:
			p.Running++
		case statePending, stateCooling:
			p.Pending++
		}
	}
	return p
}
