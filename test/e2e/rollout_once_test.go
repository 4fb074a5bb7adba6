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
	stepCount       = 3
	groupsPerStep   = 4
	samplesPerGroup = 4
)

// rolloutDeployment is a deployment with two failure domains, an engine in each, and a
// trainer.
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
	Expect(d.trainer.Create(timeoutContext(20*time.Second), rollout.RunSpec{Run: "plans", Model: "restock", MaxStaleness: 1, BatchSamples: 4})).To(Succeed())
	return d
}

// home returns the instance that currently serves the run, or nil.
func (d *rolloutDeployment) home() *daemon { return d.homeIn([]*daemon{d.a, d.b, d.c}) }

// others returns all instances but inst.
func (d *rolloutDeployment) others(inst *daemon) []*daemon {
	return slices.DeleteFunc([]*daemon{d.a, d.b, d.c}, func(other *daemon) bool { return other == inst })
}

// train runs all steps and calls during after the first batch of the second step has
// arrived.
func (d *rolloutDeployment) train(during func()) {
	GinkgoHelper()
	ctx := timeoutContext(100 * time.Second)
	for step := int64(1); step <= stepCount; step++ {
		spec := newStep(step, groupsPerStep, samplesPerGroup)
		Expect(d.trainer.Step(ctx, spec)).To(Succeed())
		if step == 2 {
			Eventually(func() *rollout.Batch { batch, _ := d.trainer.Pull(ctx); return batch }).ShouldNot(BeNil())
			during()
		}
		Expect(d.trainer.Collect(ctx, step)).To(Succeed())
	}
	Eventually(func() error { return d.trainer.Acknowledge(ctx) }).Should(Succeed())
}

// expectEachSampleOnce checks that the trainer got every sample once although responses
// were lost.
func (d *rolloutDeployment) expectEachSampleOnce() {
	GinkgoHelper()
	Expect(d.trainer.Samples).To(HaveLen(stepCount * groupsPerStep * samplesPerGroup))
	Expect(d.trainer.Record()).To(Equal(trainer.Record{}))
	Expect(d.trainer.Lost).To(BeNumerically(">", 0))
}

var _ = Describe("Each sample reaches the trainer once", func() {
	var d *rolloutDeployment

	BeforeEach(func() { d = newRolloutDeployment() })

	It("when the home is killed with samples running and an unacknowledged batch", func() {
		d.train(func() { d.home().kill() })
		d.expectEachSampleOnce()
	})

	It("when the home is suspended, replaced by another, and resumed later", func() {
		var first *daemon
		d.train(func() {
			first = d.home()
			first.suspend()
			Eventually(func() *daemon {
				_, _ = d.trainer.Pull(timeoutContext(4 * time.Second))
				return d.homeIn(d.others(first))
			}, 40*time.Second).ShouldNot(BeNil())
			first.resume()
		})
		d.expectEachSampleOnce()
		Eventually(func() []string { s, _ := first.status(); return s.Runs }).Should(BeEmpty())
	})

	It("when responses of the platform are lost after taking effect", func() {
		d.train(func() { d.platform.SetFaults(standin.Faults{LoseAnswers: 12}) })
		d.expectEachSampleOnce()
	})

	It("when the platform is down while samples finish, without generating them again", func() {
		before := 0
		d.train(func() {
			d.platform.SetFaults(standin.Faults{Down: true})
			Eventually(d.unfinishedSamples).Should(BeZero())
			before = d.requestedSamples()
			Consistently(d.requestedSamples, time.Second).Should(Equal(before))
			_, err := d.trainer.Pull(timeoutContext(4 * time.Second))
			Expect(err).To(MatchError(ContainSubstring("retryAfterSeconds")))
			d.platform.SetFaults(standin.Faults{})
		})
		d.expectEachSampleOnce()
		Expect(d.requestedSamples()).To(Equal(before + groupsPerStep*samplesPerGroup))
	})

	It("when the home is cut off from the other instances but not from the platform, and keeps the run", func() {
		var first *daemon
		d.train(func() {
			first = d.home()
			first.peerRelay.setDisconnected(true)
		})
		d.expectEachSampleOnce()
		Expect(d.home()).To(Equal(first))
	})

	It("when the home is cut off from the platform but not from the other instances, and another takes over", func() {
		var first *daemon
		d.train(func() {
			first = d.home()
			first.platformRelay.setDisconnected(true)
		})
		d.expectEachSampleOnce()
		Expect(d.homeIn(d.others(first))).NotTo(BeNil())
	})
})

var _ = Describe("Each sample reaches the trainer once at a graceful stop", func() {
	const leaseTerm = time.Minute

	It("when the home is stopped gracefully, without waiting for its lease to expire", func() {
		d := newRolloutDeployment("--lease-term", leaseTerm.String(), "--drain-grace", "0s")
		var stopped time.Time
		d.train(func() {
			home := d.home()
			home.terminate()
			Eventually(home.exited).Should(BeClosed())
			stopped = time.Now()
		})
		Expect(time.Since(stopped)).To(BeNumerically("<", leaseTerm))
		d.expectEachSampleOnce()
	})
})

// homeIn returns the instance among the given ones that reports to serve the run, or nil.
func (d *rolloutDeployment) homeIn(instances []*daemon) *daemon {
	for _, inst := range instances {
		s, err := inst.status()
		if err == nil && slices.Contains(s.Runs, d.trainer.Run) {
			return inst
		}
	}
	return nil
}

// requestedSamples returns the number of samples that were requested from engines.
func (d *rolloutDeployment) requestedSamples() int {
	count := 0
	for _, e := range d.engines {
		count += len(e.Record().Requests)
	}
	return count
}

// unfinishedSamples returns the number of samples that engines have not finished.
func (d *rolloutDeployment) unfinishedSamples() int {
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
