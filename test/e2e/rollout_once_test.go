package e2e

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/standin/engine"
	standin "github.com/pomelocross/pomelocross/internal/standin/platform"
	"github.com/pomelocross/pomelocross/internal/standin/trainer"
	"github.com/pomelocross/pomelocross/rollout"
)

const (
	onceSteps   = 3
	onceGroups  = 4
	onceSamples = 4
)

// rolloutDeployment is two failure domains with an engine each and a trainer.
type rolloutDeployment struct {
	*deployment
	a, b, c *daemon
	trainer *trainer.Trainer
}

func newRolloutDeployment(args ...string) *rolloutDeployment {
	d := &rolloutDeployment{deployment: newDeployment("botiquin")}
	for _, domain := range []string{"mty-a", "mty-b"} {
		d.addEngine("lm-"+domain, "lm-pool", domain, engine.Options{TokenTime: 5 * time.Millisecond, LoadTime: 50 * time.Millisecond, Fences: true})
	}
	d.a = d.startDaemon("entry-a", "mty-a", args...)
	d.b = d.startDaemon("entry-b", "mty-b", args...)
	d.c = d.startDaemon("entry-c", "mty-b", args...)
	d.trainer = &trainer.Trainer{
		Addresses: []string{d.a.listen, d.b.listen, d.c.listen}, Key: demoKey("restockplans"), Run: "plans", LoseEvery: 3, Timeout: 4 * time.Second,
	}
	Expect(d.trainer.Create(within(20*time.Second), rollout.RunSpec{Run: "plans", Model: "restock", MaxStaleness: 1, BatchSamples: 4})).To(Succeed())
	return d
}

// home returns the instance that serves the run now.
func (d *rolloutDeployment) home() *daemon { return d.homeAmong([]*daemon{d.a, d.b, d.c}) }

// others returns the instances that are not one.
func (d *rolloutDeployment) others(one *daemon) []*daemon {
	return slices.DeleteFunc([]*daemon{d.a, d.b, d.c}, func(other *daemon) bool { return other == one })
}

// train runs all steps and calls during once the first batch of the second is in.
func (d *rolloutDeployment) train(during func()) {
	GinkgoHelper()
	ctx := within(100 * time.Second)
	for step := int64(1); step <= onceSteps; step++ {
		spec := stepOf(step, onceGroups, onceSamples)
		Expect(d.trainer.Step(ctx, spec)).To(Succeed())
		if step == 2 {
			Eventually(func() *rollout.Batch { batch, _ := d.trainer.Pull(ctx); return batch }).ShouldNot(BeNil())
			during()
		}
		Expect(d.trainer.Collect(ctx, step)).To(Succeed())
	}
	Eventually(func() error { return d.trainer.Acknowledge(ctx) }).Should(Succeed())
}

// expectOnce checks what the trainer holds.
func (d *rolloutDeployment) expectOnce() {
	GinkgoHelper()
	Expect(d.trainer.Samples).To(HaveLen(onceSteps * onceGroups * onceSamples))
	Expect(d.trainer.Record()).To(Equal(trainer.Record{}))
	Expect(d.trainer.Lost).To(BeNumerically(">", 0))
}

var _ = Describe("Each sample reaches the trainer once", func() {
	var d *rolloutDeployment

	BeforeEach(func() { d = newRolloutDeployment() })

	It("when the home dies with samples running and a batch not settled", func() {
		d.train(func() { d.home().kill() })
		d.expectOnce()
	})

	It("when the home is stopped, followed by another, and goes on later", func() {
		var first *daemon
		d.train(func() {
			first = d.home()
			first.freeze()
			Eventually(func() *daemon {
				_, _ = d.trainer.Pull(within(4 * time.Second))
				return d.homeAmong(d.others(first))
			}, 40*time.Second).ShouldNot(BeNil())
			first.thaw()
		})
		d.expectOnce()
		Eventually(func() []string { s, _ := first.status(); return s.Runs }).Should(BeEmpty())
	})

	It("when answers of the platform are lost after taking effect", func() {
		d.train(func() { d.platform.SetFaults(standin.Faults{LoseAnswers: 12}) })
		d.expectOnce()
	})

	It("when the platform is down while samples finish, which are not generated again", func() {
		before := 0
		d.train(func() {
			d.platform.SetFaults(standin.Faults{Down: true})
			Eventually(d.generating).Should(BeZero())
			before = d.generated()
			Consistently(d.generated, time.Second).Should(Equal(before))
			_, err := d.trainer.Pull(within(4 * time.Second))
			Expect(err).To(MatchError(ContainSubstring("retryAfterSeconds")))
			d.platform.SetFaults(standin.Faults{})
		})
		d.expectOnce()
		Expect(d.generated()).To(Equal(before + onceGroups*onceSamples))
	})

	It("when the home is cut off from the other instances but not from the platform, and keeps the run", func() {
		var first *daemon
		d.train(func() {
			first = d.home()
			first.inbound.setCut(true)
		})
		d.expectOnce()
		Expect(d.home()).To(Equal(first))
	})

	It("when the home is cut off from the platform but not from the other instances, and another follows", func() {
		var first *daemon
		d.train(func() {
			first = d.home()
			first.platform.setCut(true)
		})
		d.expectOnce()
		Expect(d.homeAmong(d.others(first))).NotTo(BeNil())
	})
})

var _ = Describe("Each sample reaches the trainer once at a planned stop", func() {
	const term = time.Minute

	It("when the home is stopped gracefully, without waiting for its term to pass", func() {
		d := newRolloutDeployment("--lease-term", term.String(), "--drain-grace", "0s")
		var stopped time.Time
		d.train(func() {
			home := d.home()
			home.terminate()
			Eventually(home.exited).Should(BeClosed())
			stopped = time.Now()
		})
		Expect(time.Since(stopped)).To(BeNumerically("<", term))
		d.expectOnce()
	})
})

func (d *rolloutDeployment) homeAmong(some []*daemon) *daemon {
	for _, one := range some {
		s, err := one.status()
		if err == nil && slices.Contains(s.Runs, d.trainer.Run) {
			return one
		}
	}
	return nil
}

// generated counts the samples that engines were asked for.
func (d *rolloutDeployment) generated() int {
	count := 0
	for _, e := range d.engines {
		count += len(e.Record().Requests)
	}
	return count
}

// generating counts the samples that engines have not finished.
func (d *rolloutDeployment) generating() int {
	count := 0
	for _, e := range d.engines {
		for _, r := range e.Record().Requests {
			if !r.Whole {
				count++
			}
		}
	}
	return count
}
