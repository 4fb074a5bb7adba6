package rollout_test

import (
	"context"
	"errors"
	"fmt"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pomelocross/pomelocross/internal/memstore"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/rollout"
)

const (
	modelInstances    = 3
	modelMaxStaleness = 1
)

// exactlyOnceModel simulates a trainer that calls several instances, more than one of
// which may assume that it serves the run.
type exactlyOnceModel struct {
	t         *rapid.T
	store     *memstore.Store
	generator *instantGenerator
	homes     [modelInstances]*rollout.Home

	step, version   int64             // last ones started by the trainer with a known outcome
	pending         *rollout.StepSpec // step whose start has no known outcome; nil if there is none
	consumed        int64             // last batch received
	expected        map[string]bool   // samples of started steps
	received        map[string]int64  // batch number by sample
	bodies          map[int64]string  // responses returned by any home, by batch number
	earlierConsumed []int64           // batch numbers that earlier pulls reported as consumed
}

func newExactlyOnceModel(t *rapid.T) *exactlyOnceModel {
	m := &exactlyOnceModel{
		t: t, store: memstore.New(), generator: &instantGenerator{}, expected: map[string]bool{}, received: map[string]int64{},
		bodies: map[int64]string{}, earlierConsumed: []int64{0},
	}
	spec := rollout.RunSpec{Run: "r", Model: "m", MaxStaleness: modelMaxStaleness, BatchSamples: rapid.IntRange(1, 5).Draw(t, "batch")}
	if err := rollout.Create(context.Background(), m.store, spec, "team", "i0"); err != nil {
		t.Fatal(err)
	}
	return m
}

// setFaults turns random faults of the store on or off. A faulty read always fails;
// only writes can be delayed or lose their response.
func (m *exactlyOnceModel) setFaults(enabled bool) {
	m.store.Fault = nil
	if !enabled {
		return
	}
	fault := rapid.SampledFrom([]memstore.Fault{
		memstore.None, memstore.None, memstore.None, memstore.None, memstore.Down, memstore.Lost, memstore.Delayed,
	})
	m.store.Fault = func(_, _ string, write bool) memstore.Fault {
		f := fault.Draw(m.t, "fault")
		if !write && f != memstore.None {
			return memstore.Down
		}
		return f
	}
}

// home returns the home at instance n, which claims the run if it has none. It
// returns nil if the claim fails.
func (m *exactlyOnceModel) home(n int) *rollout.Home {
	if m.homes[n] != nil {
		select {
		case <-m.homes[n].Done():
			m.homes[n] = nil
		default:
			return m.homes[n]
		}
	}
	home, err := rollout.Open(context.Background(), m.store, m.generator, clockwork.NewRealClock(), "r", fmt.Sprint("i", n))
	if err != nil {
		return nil
	}
	m.homes[n] = home
	return home
}

func (m *exactlyOnceModel) drawInstance() int {
	return rapid.IntRange(0, modelInstances-1).Draw(m.t, "instance")
}

// startStep starts the next step, or repeats the last start if its outcome is unknown.
func (m *exactlyOnceModel) startStep(n int) {
	if m.pending == nil {
		spec := newStepSpec(m.step+1, m.version+int64(rapid.IntRange(1, 2).Draw(m.t, "weights")), 2, 3)
		spec.WholeGroups = rapid.Bool().Draw(m.t, "wholeGroups")
		m.pending = &spec
		m.generator.weightVersion.Store(spec.WeightVersion)
	}
	home := m.home(n)
	if home == nil {
		return
	}
	err := home.StartStep(context.Background(), *m.pending)
	if err != nil {
		return
	}
	for n := range m.pending.Samples() {
		m.expected[fmt.Sprintf("%d/%d", m.pending.Step, n)] = true
	}
	m.step, m.version, m.pending = m.pending.Step, m.pending.WeightVersion, nil
}

// pull sends one pull and returns its delivery. It waits until no sample is running,
// so that the ready samples do not depend on timing.
func (m *exactlyOnceModel) pull(n int, consumed int64) *rollout.Delivery {
	home := m.home(n)
	if home == nil {
		return nil
	}
	for idle := false; !idle; {
		idle = true
		for _, s := range home.Progress().Steps {
			idle = idle && s.Running == 0
		}
	}
	delivery, err := home.Pull(context.Background(), rollout.PullRequest{Consumed: consumed})
	if errors.Is(err, rollout.ErrOrder) && consumed == m.consumed {
		m.t.Fatalf("pull with the correct batch number was rejected: %v", err)
	}
	if delivery == nil {
		return nil
	}
	if first, seen := m.bodies[delivery.Number]; seen && first != string(delivery.Body) {
		m.t.Fatalf("batch %d was delivered again with different bytes", delivery.Number)
	}
	m.bodies[delivery.Number] = string(delivery.Body)
	return delivery
}

// consume sends a pull, checks the received batch and consumes it.
func (m *exactlyOnceModel) consume(n int) {
	delivery := m.pull(n, m.consumed)
	if delivery == nil {
		return
	}
	batch := decodeBatch(delivery)
	if batch.Number <= m.consumed {
		m.t.Fatalf("received batch %d after batch %d", batch.Number, m.consumed)
	}
	for _, s := range batch.Samples {
		id := fmt.Sprintf("%d/%d", s.Step, s.Number)
		if firstBatch, duplicate := m.received[id]; duplicate {
			m.t.Fatalf("sample %s was received in batches %d and %d", id, firstBatch, batch.Number)
		}
		m.received[id] = batch.Number
		if s.Oldest() < m.version-modelMaxStaleness {
			m.t.Fatalf("sample %s has weight version %d, too old for the trainer's version %d", id, s.Oldest(), m.version)
		}
	}
	m.earlierConsumed = append(m.earlierConsumed, m.consumed)
	m.consumed = batch.Number
}

// finish turns faults off, receives the samples of all steps and checks that no
// garbage is left in the store.
func (m *exactlyOnceModel) finish() {
	m.setFaults(false)
	m.tick(0)
	for range 200 {
		if m.pending == nil && len(m.received) == len(m.expected) {
			break
		}
		if m.pending != nil {
			m.startStep(0)
		}
		m.consume(0)
	}
	if m.pending != nil || len(m.received) != len(m.expected) {
		m.t.Fatalf("trainer received %d of %d samples", len(m.received), len(m.expected))
	}
	m.pull(0, m.consumed)
	home := m.home(0)
	home.Tick(1 << 40)
	home.Tick(1 << 40)
	for _, kind := range []string{objects.KindBatch, "step"} {
		if left := m.store.Names(kind); len(left) > modelInstances {
			m.t.Fatalf("garbage left in the store: %v", left)
		}
	}
	for _, h := range m.homes {
		if h != nil {
			h.Stop()
		}
	}
}

var _ = Describe("Exactly once", func() {
	It("holds for any order of lost responses, delayed writes, claims, crashes, late pulls and trainer restarts", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := newExactlyOnceModel(t)
			m.setFaults(true)
			// rapid draws from the sorted names. A name that sorts differently changes the
			// cases that a seed generates.
			t.Repeat(map[string]func(*rapid.T){
				"start a step":              func(*rapid.T) { m.startStep(m.drawInstance()) },
				"pull":                      func(*rapid.T) { m.consume(m.drawInstance()) },
				"pull with a lost response": func(*rapid.T) { m.pull(m.drawInstance(), m.consumed) },
				"late or restarted pull":    func(t *rapid.T) { m.pull(m.drawInstance(), rapid.SampledFrom(m.earlierConsumed).Draw(t, "consumed")) },
				"crash of an instance":      func(*rapid.T) { m.stopHome(m.drawInstance()) },
				"any home ticks, even one that has lost the run": func(*rapid.T) { m.tick(m.drawInstance()) },
			})
			m.finish()
		})
	})

	It("returns the consumed batch number to a trainer restarted from an older checkpoint", func() {
		store, generator := memstore.New(), &instantGenerator{}
		generator.weightVersion.Store(1)
		ctx := context.Background()
		Expect(rollout.Create(ctx, store, rollout.RunSpec{Run: "r", Model: "m", BatchSamples: 1}, "team", "i")).To(Succeed())
		home, err := rollout.Open(ctx, store, generator, clockwork.NewRealClock(), "r", "i")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(home.Stop)
		Expect(home.StartStep(ctx, newStepSpec(1, 1, 1, 3))).To(Succeed())
		for consumed := range int64(2) {
			_, err = home.Pull(ctx, rollout.PullRequest{Consumed: consumed, WaitSeconds: 5})
			Expect(err).NotTo(HaveOccurred())
		}
		_, err = home.Pull(ctx, rollout.PullRequest{Consumed: 0})
		Expect(err).To(Equal(&rollout.OrderError{Given: 0, Consumed: 1, Last: 2}))
	})
})

func (m *exactlyOnceModel) stopHome(n int) {
	if m.homes[n] != nil {
		m.homes[n].Stop()
		m.homes[n] = nil
	}
}

func (m *exactlyOnceModel) tick(n int) {
	if m.homes[n] != nil {
		m.homes[n].Tick(1 << 40)
	}
}
