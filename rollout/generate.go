package rollout

import (
	"context"

	"github.com/pomelocross/pomelocross/platform"
)

// resume generates what an open step still lacks.
func (h *Home) resume(ctx context.Context, state StepState) error {
	var spec StepSpec
	name := stepObject(h.ledger.Run, state.Step, state.SpecHash)
	if err := h.book.read(ctx, kindStep, name, &spec); err != nil {
		return err
	}
	h.generate(spec, state)
	return nil
}

func (h *Home) generate(spec StepSpec, state StepState) {
	h.mu.Lock()
	h.ready[spec.Step] = map[int]Sample{}
	run, team, model := h.ledger.Run, h.ledger.Team, h.ledger.Model
	h.mu.Unlock()
	number := 0
	for _, group := range spec.Groups {
		for index := range group.Samples {
			order := SampleOrder{Run: run, Team: team, Model: model, Step: spec.Step, Number: number, Index: index, Group: group}
			if !state.Delivered.Has(number) {
				go h.produce(order)
			}
			number++
		}
	}
}

// produce generates one sample until it succeeds or the home is given up.
func (h *Home) produce(order SampleOrder) {
	for h.ctx.Err() == nil {
		order.FreshFrom = h.current().FreshFrom()
		sample, err := h.generator.Generate(h.ctx, order)
		if err == nil && sample.Oldest() >= h.current().FreshFrom() {
			h.add(sample)
			return
		}
		select {
		case <-h.clock.After(retryPause):
		case <-h.ctx.Done():
		}
	}
}

func (h *Home) add(sample Sample) {
	h.mu.Lock()
	defer h.mu.Unlock()
	step := h.ready[sample.Step]
	if step == nil {
		return
	}
	step[sample.Number] = sample
	close(h.changed)
	h.changed = make(chan struct{})
}

// order returns the order of a sample that must be generated anew.
func (h *Home) reorder(ctx context.Context, ledger *Ledger, step int64, numbers []int) error {
	state := ledger.Step(step)
	if state == nil || len(numbers) == 0 {
		return nil
	}
	var spec StepSpec
	if err := h.book.read(ctx, kindStep, stepObject(ledger.Run, step, state.SpecHash), &spec); err != nil {
		return err
	}
	wanted := map[int]bool{}
	for _, n := range numbers {
		wanted[n] = true
	}
	number := 0
	for _, group := range spec.Groups {
		for index := range group.Samples {
			if wanted[number] {
				go h.produce(SampleOrder{Run: ledger.Run, Team: ledger.Team, Model: ledger.Model, Step: step, Number: number, Index: index, Group: group})
			}
			number++
		}
	}
	return nil
}

// forget deletes the content of a settled batch; a failure leaves garbage that
// nothing refers to.
func (h *Home) forget(ctx context.Context, object string) {
	o, err := h.book.store.Get(ctx, platform.KindBatch, object)
	if err == nil {
		_ = h.book.store.Delete(ctx, platform.KindBatch, object, o.Version)
	}
}
