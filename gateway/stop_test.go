package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/platform/standin"
)

var _ = Describe("The plan of a stop", func() {
	began := time.Unix(1000, 0)

	DescribeTable("lets requests run until the last sixth of the grace period and ends within it", func(grace time.Duration) {
		plan := newStopPlan(began, grace)
		Expect(plan.cut).To(BeNumerically(">", grace*5/6))
		Expect(plan.cut + plan.reserve).To(BeNumerically("<=", grace))
	},
		Entry("1 s", time.Second),
		Entry("4 s", 4*time.Second),
		Entry("8 s", 8*time.Second),
		Entry("30 s", 30*time.Second),
		Entry("5 min", 5*time.Minute),
	)
})

var _ = Describe("A planned stop", func() {
	const grace = 4 * time.Second

	// stop stops the gateway and returns a function that waits for its end.
	stop := func(gw *testInstance) (ended func()) {
		gw.stop()
		return func() {
			Eventually(gw.done).WithTimeout(2 * grace).Should(Receive(BeNil()))
			gw.done <- nil // for the cleanup of start
		}
	}
	stoppable := func(s *Settings) { s.Grace, s.DrainGrace = grace, 300*time.Millisecond }

	// Streams were cut 1.5 s before the end of the grace period, whose last sixth begins later.
	It("lets a stream end that ends before the last sixth of the grace period", func() {
		d := newDeployment(1, 62)
		d.engines[0].EventInterval = 50 * time.Millisecond // 3.1 s in all; five sixths are 3.33 s
		gw := d.start("entry-1", stoppable)
		type result struct {
			response
			err error
		}
		got := make(chan result, 1)
		go func() {
			a, err := call("POST", gw.address, "/chat/1", northKey, nil, "X-Pomelocross-Request-Id", "s1", "X-Pomelocross-Model", model, "X-Pomelocross-Deadline-Ms", "9000")
			got <- result{a, err}
		}()
		Eventually(func() int { return len(d.engines[0].Runs()) }).WithTimeout(5 * time.Second).Should(Equal(1))
		ended := stop(gw)
		r := <-got
		Expect(gw.done).NotTo(Receive(), "the end of the process closes all connections")
		Expect(r.err).NotTo(HaveOccurred())
		Expect(string(r.Body)).To(ContainSubstring("data: " + standin.EventData("s1", 61) + "\n"))
		ended()
	})
})
