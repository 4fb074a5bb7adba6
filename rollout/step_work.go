package rollout

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pomelocross/pomelocross/attempt"
)

// sampleState is the state of a sample at its home.
type sampleState uint8

const (
	statePending sampleState = iota
	stateRunning
	stateBackoff // waiting for its backoff after a failure
	stateReady
	stateDelivered
)

// stepWork is the state in memory of one open step.
type stepWork struct {
	spec       *StepSpec
	samples    []sampleWork // by sample number
	unfinished []int        // number of samples neither ready nor delivered, by group
	pending    []int        // numbers of the samples to start; the last one is next
	units      [][]int      // numbers of ready samples in the order of completion; a unit is delivered in one batch
	ready      int          // number of samples in units
	readyBytes int          // size of the samples in units
	counts     StepProgress
}

// sampleWork is the state in memory of one sample. Most samples of a step are pending
// or finished, so the fields that only running ones need are in a separate struct.
type sampleWork struct {
	state   sampleState
	group   int32
	index   int32
	oldest  int64          // oldest weight version in data
	data    []byte         // JSON of the Sample when ready
	attempt *sampleAttempt // latest attempt; nil before the first one and after success
}

// sampleAttempt is the latest attempt to generate a sample, with the output, avoided
// upstreams and counts of earlier ones.
type sampleAttempt struct {
	cancel       context.CancelCauseFunc
	started      time.Time
	firstTokenAt atomic.Int64 // when the first token arrived, in Unix ns; 0 before
	partial      attempt.Completion
	avoid        []string
	failures     int
	moves        int
	// oldestGenerated is the oldest weight version of this attempt, 0 before its first
	// token. tokens counts the tokens it has generated. Only the generator writes them.
	oldestGenerated atomic.Int64
	tokens          atomic.Int64
}

func newStepWork(spec *StepSpec) *stepWork {
	w := &stepWork{spec: spec, samples: make([]sampleWork, 0, spec.Samples()), unfinished: make([]int, len(spec.Groups))}
	for g, group := range spec.Groups {
		w.unfinished[g] = group.Samples
		for index := range group.Samples {
			w.samples = append(w.samples, sampleWork{group: int32(g), index: int32(index)})
		}
	}
	w.pending = make([]int, len(w.samples))
	for n := range w.pending {
		w.pending[n] = len(w.samples) - 1 - n
	}
	return w
}

// setReady stores a finished sample and makes it ready for delivery, with WholeGroups
// only when its whole group is finished.
func (w *stepWork) setReady(number int, data []byte, oldest int64) {
	s := &w.samples[number]
	s.state, s.data, s.oldest, s.attempt = stateReady, data, oldest, nil
	w.unfinished[s.group]--
	if !w.spec.WholeGroups {
		w.addUnit([]int{number})
		return
	}
	if w.unfinished[s.group] == 0 {
		w.addGroupUnit(number)
	}
}

// addGroupUnit makes the ready samples in the group of sample number a unit.
func (w *stepWork) addGroupUnit(number int) {
	first := number - int(w.samples[number].index)
	var unit []int
	for n := first; n < first+w.spec.Groups[w.samples[number].group].Samples; n++ {
		if w.samples[n].state == stateReady {
			unit = append(unit, n)
		}
	}
	w.addUnit(unit)
}

func (w *stepWork) addUnit(unit []int) {
	w.units = append(w.units, unit)
	w.ready += len(unit)
	for _, n := range unit {
		w.readyBytes += len(w.samples[n].data)
	}
}

// requeue makes a sample pending again, ahead of all others.
func (w *stepWork) requeue(number int) {
	s := &w.samples[number]
	if s.state == stateReady || s.state == stateDelivered {
		w.unfinished[s.group]++
	}
	s.state, s.data, s.oldest = statePending, nil, 0
	w.pending = append(w.pending, number)
}

// reconcile updates the samples to match the step in the ledger. It drops delivered
// samples and requeues those whose delivery was voided or whose weights are older
// than minVersion.
func (w *stepWork) reconcile(state *StepState, minVersion int64) {
	changed := false
	for n := range w.samples {
		s := &w.samples[n]
		delivered := state.Delivered.Has(n)
		switch {
		case delivered && s.state != stateDelivered:
			w.setDelivered(s)
			changed = true
		case !delivered && s.state == stateDelivered:
			w.requeue(n)
			changed = true
		case s.state == stateReady && s.oldest < minVersion:
			w.counts.Redone++
			w.requeue(n)
			changed = true
		case s.state == stateRunning:
			s.attempt.cancelIfStale(minVersion)
		}
	}
	if changed {
		w.rebuildUnits()
	}
}

func (w *stepWork) setDelivered(s *sampleWork) {
	if s.state != stateReady {
		w.unfinished[s.group]--
	}
	if s.state == stateRunning {
		s.attempt.cancel(context.Canceled)
	}
	s.state, s.data, s.attempt = stateDelivered, nil, nil
}

// rebuildUnits removes samples that are no longer ready from the units. With
// WholeGroups it removes the unit of a group that has an unfinished sample again.
func (w *stepWork) rebuildUnits() {
	units := w.units
	w.units, w.ready, w.readyBytes = w.units[:0], 0, 0
	for _, unit := range units {
		kept := unit[:0]
		for _, n := range unit {
			if w.samples[n].state == stateReady {
				kept = append(kept, n)
			}
		}
		incomplete := w.spec.WholeGroups && len(kept) > 0 && w.unfinished[w.samples[kept[0]].group] > 0
		if len(kept) == 0 || incomplete {
			continue
		}
		w.addUnit(kept)
	}
}

// cancelIfStale cancels the attempt if it has tokens of weights older than minVersion.
func (a *sampleAttempt) cancelIfStale(minVersion int64) {
	if oldest := a.oldest(); oldest != 0 && oldest < minVersion {
		a.cancel(errStale)
	}
}

// oldest returns the oldest weight version of the output so far, including that of
// earlier attempts, or 0 if there is none.
func (a *sampleAttempt) oldest() int64 {
	current, earlier := a.oldestGenerated.Load(), oldestVersion(a.partial.Ranges)
	if current == 0 || earlier == 0 {
		return max(current, earlier)
	}
	return min(current, earlier)
}
