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
	onceInstances = 3
	onceStaleness = 1
)

// onceModel is a trainer before several instances, any of which may believe
// that it has the run.
type onceModel struct {
	t      *rapid.T
	store  *memstore.Store
	engine *instant
	homes  [onceInstances]*rollout.Home

	step, version int64 // started and named by the trainer, with a known outcome
	pending       *rollout.StepSpec
	consumed      int64
	wanted        map[string]bool  // samples of started steps
	held          map[string]int64 // sample to batch
	bodies        map[int64]string // every answer that left a home, by batch number
	earlier       []int64          // numbers the trainer has named before
}

func newOnceModel(t *rapid.T) *onceModel {
	m := &onceModel{
		t: t, store: memstore.New(), engine: &instant{}, wanted: map[string]bool{}, held: map[string]int64{},
		bodies: map[int64]string{}, earlier: []int64{0},
	}
	spec := rollout.RunSpec{Run: "r", Model: "m", MaxStaleness: onceStaleness, BatchSamples: rapid.IntRange(1, 5).Draw(t, "batch")}
	if err := rollout.Create(context.Background(), m.store, spec, "team", "i0"); err != nil {
		t.Fatal(err)
	}
	return m
}

// faults makes each call fail as drawn.
func (m *onceModel) faults(on bool) {
	m.store.Fault = nil
	if !on {
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

// home returns the home at an instance, which claims the run if it has none.
func (m *onceModel) home(n int) *rollout.Home {
	if m.homes[n] != nil {
		select {
		case <-m.homes[n].Done():
			m.homes[n] = nil
		default:
			return m.homes[n]
		}
	}
	home, err := rollout.Open(context.Background(), m.store, m.engine, clockwork.NewRealClock(), "r", fmt.Sprint("i", n))
	if err != nil {
		return nil
	}
	m.homes[n] = home
	return home
}

func (m *onceModel) pick() int { return rapid.IntRange(0, onceInstances-1).Draw(m.t, "instance") }

// startStep starts the next step, or repeats one whose outcome is not known.
func (m *onceModel) startStep(n int) {
	if m.pending == nil {
		spec := stepOf(m.step+1, m.version+int64(rapid.IntRange(1, 2).Draw(m.t, "weights")), 2, 3)
		spec.WholeGroups = rapid.Bool().Draw(m.t, "wholeGroups")
		m.pending = &spec
		m.engine.weights.Store(spec.WeightVersion)
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
		m.wanted[fmt.Sprintf("%d/%d", m.pending.Step, n)] = true
	}
	m.step, m.version, m.pending = m.pending.Step, m.pending.WeightVersion, nil
}

// pull sends one pull and returns what came back. Samples are all generated
// before, so that what is ready does not depend on timing.
func (m *onceModel) pull(n int, consumed int64) *rollout.Delivery {
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
		m.t.Fatalf("a truthful trainer was refused: %v", err)
	}
	if delivery == nil {
		return nil
	}
	if before, seen := m.bodies[delivery.Number]; seen && before != string(delivery.Body) {
		m.t.Fatalf("batch %d has other bytes than before", delivery.Number)
	}
	m.bodies[delivery.Number] = string(delivery.Body)
	return delivery
}

// take is a pull whose answer arrives.
func (m *onceModel) take(n int) {
	delivery := m.pull(n, m.consumed)
	if delivery == nil {
		return
	}
	batch := decode(delivery)
	if batch.Number <= m.consumed {
		m.t.Fatalf("batch %d came after %d", batch.Number, m.consumed)
	}
	for _, s := range batch.Samples {
		id := fmt.Sprintf("%d/%d", s.Step, s.Number)
		if before, twice := m.held[id]; twice {
			m.t.Fatalf("sample %s in batches %d and %d", id, before, batch.Number)
		}
		m.held[id] = batch.Number
		if s.Oldest() < m.version-onceStaleness {
			m.t.Fatalf("sample %s has weights %d, the trainer %d", id, s.Oldest(), m.version)
		}
	}
	m.earlier = append(m.earlier, m.consumed)
	m.consumed = batch.Number
}

// finish ends all faults and collects every step.
func (m *onceModel) finish() {
	m.faults(false)
	m.tick(0)
	for range 200 {
		if m.pending == nil && len(m.held) == len(m.wanted) {
			break
		}
		if m.pending != nil {
			m.startStep(0)
		}
		m.take(0)
	}
	if m.pending != nil || len(m.held) != len(m.wanted) {
		m.t.Fatalf("the trainer holds %d of %d samples", len(m.held), len(m.wanted))
	}
	m.pull(0, m.consumed)
	home := m.home(0)
	home.Tick(1 << 40)
	home.Tick(1 << 40)
	for _, kind := range []string{objects.KindBatch, "step"} {
		if left := m.store.Names(kind); len(left) > onceInstances {
			m.t.Fatalf("garbage is left: %v", left)
		}
	}
	for _, h := range m.homes {
		if h != nil {
			h.Stop()
		}
	}
}

var _ = Describe("Exactly once", func() {
	It("holds for any order of lost answers, late writes, claims, deaths, late pulls and trainer restarts", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := newOnceModel(t)
			m.faults(true)
			t.Repeat(map[string]func(*rapid.T){
				"start a step":               func(*rapid.T) { m.startStep(m.pick()) },
				"pull":                       func(*rapid.T) { m.take(m.pick()) },
				"pull, the answer lost":      func(*rapid.T) { m.pull(m.pick(), m.consumed) },
				"late or restarted pull":     func(t *rapid.T) { m.pull(m.pick(), rapid.SampledFrom(m.earlier).Draw(t, "consumed")) },
				"death of an instance":       func(*rapid.T) { m.kill(m.pick()) },
				"beat, possibly of a zombie": func(*rapid.T) { m.tick(m.pick()) },
			})
			m.finish()
		})
	})

	It("tells a trainer that starts again from an older checkpoint what the run has consumed", func() {
		store, engine := memstore.New(), &instant{}
		engine.weights.Store(1)
		ctx := context.Background()
		Expect(rollout.Create(ctx, store, rollout.RunSpec{Run: "r", Model: "m", BatchSamples: 1}, "team", "i")).To(Succeed())
		home, err := rollout.Open(ctx, store, engine, clockwork.NewRealClock(), "r", "i")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(home.Stop)
		Expect(home.StartStep(ctx, stepOf(1, 1, 1, 3))).To(Succeed())
		for consumed := range int64(2) {
			_, err = home.Pull(ctx, rollout.PullRequest{Consumed: consumed, WaitSeconds: 5})
			Expect(err).NotTo(HaveOccurred())
		}
		_, err = home.Pull(ctx, rollout.PullRequest{Consumed: 0})
		Expect(err).To(Equal(&rollout.OrderError{Given: 0, Consumed: 1, Last: 2}))
	})
})

func (m *onceModel) kill(n int) {
	if m.homes[n] != nil {
		m.homes[n].Stop()
		m.homes[n] = nil
	}
}

func (m *onceModel) tick(n int) {
	if m.homes[n] != nil {
		m.homes[n].Tick(1 << 40)
	}
}
