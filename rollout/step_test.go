package rollout_test

import (
	"context"
	"strings"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/memstore"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/rollout"
)

var _ = Describe("A step", func() {
	var (
		ctx       = context.Background()
		store     *memstore.Store
		generator *instantGenerator
	)

	open := func() *rollout.Home {
		GinkgoHelper()
		home, err := rollout.Open(ctx, store, generator, clockwork.NewRealClock(), "r", "i")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(home.Stop)
		return home
	}

	BeforeEach(func() {
		store, generator = memstore.New(), &instantGenerator{}
		generator.weightVersion.Store(1)
		Expect(rollout.Create(ctx, store, rollout.RunSpec{Run: "r", Model: "m", BatchSamples: 5}, "team", "i")).To(Succeed())
	})

	It("larger than one stored object is resumed by the next home", func() {
		spec := newStepSpec(1, 1, 2, 1)
		for g := range spec.Groups {
			spec.Groups[g].Prompt = strings.Repeat("gauze ", objects.MaxValueBytes/6)
		}
		first := open()
		Expect(first.StartStep(ctx, spec)).To(Succeed())
		first.Stop()
		delivery, err := open().Pull(ctx, rollout.PullRequest{WaitSeconds: 10})
		Expect(err).NotTo(HaveOccurred())
		Expect(decodeBatch(delivery).Samples).To(HaveLen(2))
	})

	It("with whole groups never delivers part of a group", func() {
		spec := newStepSpec(1, 1, 6, 4)
		spec.WholeGroups = true
		home := open()
		Expect(home.StartStep(ctx, spec)).To(Succeed())
		consumed, samples := int64(0), 0
		for samples < spec.Samples() {
			delivery, err := home.Pull(ctx, rollout.PullRequest{Consumed: consumed, WaitSeconds: 10})
			Expect(err).NotTo(HaveOccurred())
			batch := decodeBatch(delivery)
			count := map[string]int{}
			for _, s := range batch.Samples {
				count[s.Group]++
			}
			Expect(count).To(HaveEach(4))
			consumed, samples = batch.Number, samples+len(batch.Samples)
			Expect(batch.StepWhole).To(Equal(samples == spec.Samples()))
		}
	})

	It("leaves nothing on the platform after its run is deleted, even if a first deletion fails", func() {
		home := open()
		Expect(home.StartStep(ctx, newStepSpec(1, 1, 4, 4))).To(Succeed())
		_, err := home.Pull(ctx, rollout.PullRequest{WaitSeconds: 10})
		Expect(err).NotTo(HaveOccurred())
		store.Fault = func(kind, _ string, write bool) memstore.Fault {
			if write && kind == objects.KindBatch {
				return memstore.Down
			}
			return memstore.None
		}
		Expect(home.Delete(ctx)).To(MatchError(rollout.ErrUnavailable))
		_, err = home.Pull(ctx, rollout.PullRequest{})
		Expect(err).To(MatchError(rollout.ErrClosed))
		store.Fault = nil
		Expect(open().Delete(ctx)).To(Succeed())
		for _, kind := range []string{objects.KindRun, objects.KindBatch, "step"} {
			Expect(store.Names(kind)).To(BeEmpty())
		}
	})
})
