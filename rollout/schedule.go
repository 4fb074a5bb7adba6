package rollout

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/pomelocross/pomelocross/attempt"
)

const (
	// minRetryDelay and maxRetryDelay limit the exponential backoff after failed
	// attempts to generate a sample.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 10 * time.Second
	// maxAvoidedUpstreams limits the list of upstreams that a sample avoids; the
	// oldest entries are dropped.
	maxAvoidedUpstreams = 4
)

var (
	errStale     = errors.New("weight version of the sample exceeds the staleness limit")
	errStraggler = errors.New("sample is slower than others and will be resumed on another upstream")
)

// addStep starts to generate the samples of an open step.
func (h *Home) addStep(spec *StepSpec) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.steps[spec.Step] != nil || h.ledger.Step(spec.Step) == nil {
		return
	}
	h.steps[spec.Step] = newStepWork(spec)
	h.reconcile()
	h.schedule()
}

func (h *Home) hasStep(step int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.steps[step] != nil
}

// reconcile updates the steps in memory to match the ledger. The caller holds mu.
func (h *Home) reconcile() {
	for number, w := range h.steps {
		state := h.ledger.Step(number)
		if state == nil {
			w.cancelRunning()
			delete(h.steps, number)
			continue
		}
		w.reconcile(state, h.ledger.MinWeightVersion())
	}
}

func (w *stepWork) cancelRunning() {
	for i := range w.samples {
		if w.samples[i].state == stateRunning {
			w.samples[i].attempt.cancel(context.Canceled)
		}
	}
}

// maxReadyBytes limits the finished samples that a home buffers, in bytes of JSON.
// Above it no sample is started until the trainer pulls.
const maxReadyBytes = 32 << 20

// schedule starts pending samples up to the generator's limit, those of older steps
// first. The caller holds mu.
func (h *Home) schedule() {
	if h.ctx.Err() != nil || h.readyBytes() >= maxReadyBytes {
		return
	}
	limit := defaultLimit
	if l, ok := h.generator.(Limiter); ok {
		limit = l.Limit(h.ledger.Model)
	}
	for _, state := range h.ledger.Steps {
		w := h.steps[state.Step]
		for w != nil && h.running < limit && len(w.pending) > 0 {
			number := w.pending[len(w.pending)-1]
			w.pending = w.pending[:len(w.pending)-1]
			if w.samples[number].state == statePending {
				h.startSample(w, number)
			}
		}
	}
}

// readyBytes returns the size of the samples that are ready for delivery. The caller
// holds mu.
func (h *Home) readyBytes() int {
	bytes := 0
	for _, w := range h.steps {
		bytes += w.readyBytes
	}
	return bytes
}

// startSample starts a new attempt to generate a sample. It continues the output of
// earlier attempts unless that is stale. The caller holds mu.
func (h *Home) startSample(w *stepWork, number int) {
	ctx, cancel := context.WithCancelCause(h.ctx)
	s := &w.samples[number]
	a := &sampleAttempt{cancel: cancel, started: h.clock.Now()}
	if s.attempt != nil {
		a.partial, a.avoid, a.failures, a.moves = s.attempt.partial, s.attempt.avoid, s.attempt.failures, s.attempt.moves
	}
	l := h.ledger
	if oldestVersion(a.partial.Ranges) < l.MinWeightVersion() {
		a.partial = attempt.Completion{}
	}
	request := SampleRequest{
		Run: l.Run, Team: l.Team, Model: l.Model, MinWeightVersion: l.MinWeightVersion(), PreferredWeightVersion: h.timing.PreferredVersion(l, a.started),
		Step: w.spec.Step, Number: number, Index: int(s.index), Group: w.spec.Groups[s.group], Partial: a.partial, Avoid: a.avoid,
	}
	request.OnTokens = func(version int64, tokens int) {
		a.firstTokenAt.CompareAndSwap(0, h.clock.Now().UnixNano())
		a.tokens.Add(int64(tokens))
		if tokens > 0 && (a.oldestGenerated.Load() == 0 || version < a.oldestGenerated.Load()) {
			a.oldestGenerated.Store(version)
		}
		if tokens > 0 && version < request.MinWeightVersion {
			cancel(errStale) // the engine runs older weights than it has reported
		}
	}
	s.state, s.attempt = stateRunning, a
	h.running++
	go h.runSample(ctx, request, a)
}

// runSample generates one sample and records the result.
func (h *Home) runSample(ctx context.Context, request SampleRequest, a *sampleAttempt) {
	sample, err := h.generator.Generate(ctx, request)
	if err == nil {
		err = sample.checkVersions()
	}
	var data []byte
	if err == nil {
		data, err = encode(sample)
	}
	cause := context.Cause(ctx)
	a.cancel(nil)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running--
	defer h.schedule()
	w := h.steps[request.Step]
	if w == nil || w.samples[request.Number].attempt != a || w.samples[request.Number].state != stateRunning {
		return // the step was removed, or the sample is already delivered
	}
	switch {
	case err != nil:
		h.handleFailure(w, request.Number, err, cause)
	case sample.Oldest() < h.ledger.MinWeightVersion():
		h.handleFailure(w, request.Number, errStale, errStale)
	default:
		now := h.clock.Now()
		h.timing.recordSample(now.Sub(a.started), now.Sub(a.generationStart()), a.tokens.Load())
		w.setReady(request.Number, data, sample.Oldest())
		h.notifyPull()
	}
}

// generationStart returns when the first token arrived, or when the attempt started
// if there is none yet.
func (a *sampleAttempt) generationStart() time.Time {
	if at := a.firstTokenAt.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return a.started
}

// handleFailure prepares the next attempt at a sample after err. cause is the
// cancellation cause of its context. A moved straggler is retried at once, all others
// after a backoff. The caller holds mu.
func (h *Home) handleFailure(w *stepWork, number int, err, cause error) {
	s := &w.samples[number]
	s.attempt.keepPartial(err, h.ledger.MinWeightVersion())
	switch {
	case errors.Is(cause, errStraggler):
		w.counts.Moved++
		w.requeue(number)
		return
	case errors.Is(cause, errStale):
		w.counts.Redone++
		s.attempt.partial = attempt.Completion{}
	default:
		w.counts.Failed++
		w.counts.LastError = err.Error()
	}
	s.attempt.failures++
	s.state = stateBackoff
	h.clock.AfterFunc(retryDelay(s.attempt.failures), func() { h.endBackoff(w, number) })
}

// keepPartial stores the output of an interrupted attempt, unless it has tokens of
// weights older than minVersion, and adds its upstream to those to avoid.
func (a *sampleAttempt) keepPartial(err error, minVersion int64) {
	var interrupted *Interrupted
	if !errors.As(err, &interrupted) {
		return
	}
	a.partial = attempt.Completion{}
	if oldest := oldestVersion(interrupted.Partial.Ranges); oldest > 0 && oldest >= minVersion {
		a.partial = interrupted.Partial
	}
	if interrupted.Upstream == "" || slices.Contains(a.avoid, interrupted.Upstream) {
		return
	}
	a.avoid = append(slices.Clone(a.avoid), interrupted.Upstream)
	if len(a.avoid) > maxAvoidedUpstreams {
		a.avoid = a.avoid[1:]
	}
}

// retryDelay returns the backoff after the given number of failures, at least 1.
func retryDelay(failures int) time.Duration {
	delay := minRetryDelay
	for range failures - 1 {
		delay = min(2*delay, maxRetryDelay)
	}
	return delay
}

// endBackoff makes a sample pending again after its backoff.
func (h *Home) endBackoff(w *stepWork, number int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if w.samples[number].state != stateBackoff {
		return
	}
	w.requeue(number)
	h.schedule()
}

// notifyPull wakes a waiting pull. The caller holds mu.
func (h *Home) notifyPull() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Progress returns the current state of the run, including samples in memory.
func (h *Home) Progress() Progress {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := ProgressOf(h.ledger)
	for i, step := range p.Steps {
		if w := h.steps[step.Step]; w != nil {
			p.Steps[i] = w.progress(step)
		}
	}
	return p
}

// ProgressOf returns the state of a run according to its ledger alone: all undelivered
// samples count as pending.
func ProgressOf(l *Ledger) Progress {
	p := Progress{
		Run: l.Run, Model: l.Model, WeightVersion: l.WeightVersion, FreshFrom: l.MinWeightVersion(),
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
		case statePending, stateBackoff:
			p.Pending++
		}
	}
	return p
}
