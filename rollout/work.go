package rollout

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pomelocross/pomelocross/attempt"
)

// sampleState is where a sample stands at the home.
type sampleState uint8

const (
	statePending sampleState = iota
	stateRunning
	stateCooling // waits after a failure
	stateReady
	stateDelivered
)

// stepWork is the work on one open step.
type stepWork struct {
	spec    *StepSpec
	samples []sampleWork // by number
	missing []int        // samples neither ready nor delivered, by group
	pending []int        // numbers to start, next one last
	units   [][]int      // ready numbers in the order of completion; a unit is handed over whole
	ready   int          // samples in units
	bytes   int          // of the samples in units
	counts  StepProgress
}

// sampleWork is the work on one sample. Most of a step's samples wait or are
// done, so what only running ones need is kept apart.
type sampleWork struct {
	state  sampleState
	group  int32
	index  int32
	oldest int64  // of data
	data   []byte // JSON of the Sample when ready
	try    *try   // when running, or when something was learned from earlier tries
}

// try is the running attempt at a sample and what earlier ones have left.
type try struct {
	cancel   context.CancelCauseFunc
	started  time.Time
	flowing  atomic.Int64 // when the first token came, in Unix ns; 0 before
	begun    attempt.Completion
	avoid    []string
	failures int
	moves    int
	// first is the oldest weight version of this attempt, 0 before its first
	// token; tokens counts those it generated. Only the generator writes them.
	first  atomic.Int64
	tokens atomic.Int64
}

func newStepWork(spec *StepSpec) *stepWork {
	w := &stepWork{spec: spec, samples: make([]sampleWork, 0, spec.Samples()), missing: make([]int, len(spec.Groups))}
	for g, group := range spec.Groups {
		w.missing[g] = group.Samples
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

// finish makes a sample ready.
func (w *stepWork) finish(number int, data []byte, oldest int64) {
	s := &w.samples[number]
	s.state, s.data, s.oldest, s.try = stateReady, data, oldest, nil
	w.missing[s.group]--
	if !w.spec.WholeGroups {
		w.addUnit([]int{number})
		return
	}
	if w.missing[s.group] == 0 {
		w.addGroup(number)
	}
}

// addGroup makes the ready samples of a number's group a unit.
func (w *stepWork) addGroup(number int) {
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
		w.bytes += len(w.samples[n].data)
	}
}

// redo makes a sample pending again, before all others.
func (w *stepWork) redo(number int) {
	s := &w.samples[number]
	if s.state == stateReady || s.state == stateDelivered {
		w.missing[s.group]++
	}
	s.state, s.data, s.oldest = statePending, nil, 0
	w.pending = append(w.pending, number)
}

// align brings the work in line with the step's state in the ledger: delivered
// samples are dropped, others that were held as delivered or have grown too old
// are generated anew.
func (w *stepWork) align(state *StepState, freshFrom int64) {
	changed := false
	for n := range w.samples {
		s := &w.samples[n]
		delivered := state.Delivered.Has(n)
		switch {
		case delivered && s.state != stateDelivered:
			w.deliver(s)
			changed = true
		case !delivered && s.state == stateDelivered:
			w.redo(n)
			changed = true
		case s.state == stateReady && s.oldest < freshFrom:
			w.counts.Redone++
			w.redo(n)
			changed = true
		case s.state == stateRunning:
			s.try.expire(freshFrom)
		}
	}
	if changed {
		w.rebuild()
	}
}

func (w *stepWork) deliver(s *sampleWork) {
	if s.state != stateReady {
		w.missing[s.group]--
	}
	if s.state == stateRunning {
		s.try.cancel(context.Canceled)
	}
	s.state, s.data, s.try = stateDelivered, nil, nil
}

// rebuild keeps of each unit what is still ready. A unit of a whole group goes
// when its group lacks a sample again.
func (w *stepWork) rebuild() {
	units := w.units
	w.units, w.ready, w.bytes = w.units[:0], 0, 0
	for _, unit := range units {
		kept := unit[:0]
		for _, n := range unit {
			if w.samples[n].state == stateReady {
				kept = append(kept, n)
			}
		}
		lacking := w.spec.WholeGroups && len(kept) > 0 && w.missing[w.samples[kept[0]].group] > 0
		if len(kept) == 0 || lacking {
			continue
		}
		w.addUnit(kept)
	}
}

// expire cancels an attempt whose first tokens have become too old.
func (t *try) expire(freshFrom int64) {
	if oldest := t.oldest(); oldest != 0 && oldest < freshFrom {
		t.cancel(errStale)
	}
}

// oldest returns the oldest weight version of the attempt so far, 0 for none.
func (t *try) oldest() int64 {
	here, before := t.first.Load(), oldestOf(t.begun.Ranges)
	if here == 0 || before == 0 {
		return max(here, before)
	}
	return min(here, before)
}
