package gateway

import (
	"net/http"
	"strings"
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

	DescribeTable("admits a request", func(elapsed, limit time.Duration, repeatable, admitted bool) {
		plan := newStopPlan(began, 8*time.Second) // cut after 7.2 s
		Expect(plan.admits(began.Add(elapsed), limit, repeatable)).To(Equal(admitted))
	},
		Entry("that ends before the instance", 2*time.Second, 5*time.Second, false, true),
		Entry("late, that ends before the instance", 6*time.Second, time.Second, false, true),
		Entry("only if it cannot outlast the instance, when it must not be repeated", 2*time.Second, 6*time.Second, false, false),
		Entry("only with a limit, when it must not be repeated", time.Second, time.Duration(0), false, false),
		Entry("that may be repeated, while it may be cut", 2*time.Second, 10*time.Second, true, true),
		Entry("that may be repeated and has no limit, while it may be cut", 2*time.Second, time.Duration(0), true, true),
		Entry("only if it cannot outlast the instance, once it may not be cut any more", 3100*time.Millisecond, 10*time.Second, true, false),
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

	// Requests that still ran at the end got no response: their connections were closed.
	DescribeTable("answers a request that still runs at the end", func(kind, path string) {
		d := newDeployment(0, 0)
		d.setRoute("desk", "Type", kind)
		d.setRoute("desk", "TimeoutMs", 20000)
		d.desk.SetFault(func(string) standin.Fault { return standin.NoReply })
		gw := d.start("entry-1", stoppable)
		d.configure(func(c map[string]any) {
			route := c["Routes"].([]map[string]any)[0]
			route["Type"], route["TimeoutMs"] = kind, 20000
		})
		Eventually(gw.configVersion).WithTimeout(5 * time.Second).Should(Equal(d.version))
		got := make(chan int, 1)
		go func() { got <- status("POST", gw.address, path, northKey, nil, "X-Pomelocross-Deadline-Ms", "20000") }()
		Eventually(func() int { return len(d.desk.Runs()) }).WithTimeout(5 * time.Second).Should(BeNumerically(">", 0))
		began := time.Now()
		ended := stop(gw)
		Expect(<-got).To(Equal(http.StatusGatewayTimeout))
		Expect(time.Since(began)).To(BeNumerically(">", grace*5/6), "an engine's silence is no reason to answer sooner")
		ended()
		Expect(time.Since(began)).To(BeNumerically("<", grace))
	},
		Entry("that may be repeated", "safe", "/kits/4"),
		Entry("that must not be repeated", "unsafe", "/kits/4"),
		Entry("for a stream that has not begun", "stream", "/kits/4"),
	)

	// Requests that came late were passed on and cut, among them such as must not be repeated.
	It("rejects at once what could outlast it, and serves the rest", func() {
		d := newDeployment(0, 0)
		d.setRoute("desk", "Type", "unsafe")
		gw := d.start("entry-1", func(s *Settings) { s.Grace, s.DrainGrace = grace, 3500*time.Millisecond })
		send := func(budget string) int {
			return status("POST", gw.address, "/kits/4", northKey, []byte("body"), "X-Pomelocross-Deadline-Ms", budget)
		}
		Expect(send("2000")).To(Equal(http.StatusOK))
		ended := stop(gw)
		Eventually(gw.draining.Load).Should(BeTrue())
		Expect(send("1500")).To(Equal(http.StatusOK))
		time.Sleep(2500 * time.Millisecond)
		runs := len(d.desk.Runs())
		begin := time.Now()
		Expect(send("1500")).To(Equal(http.StatusServiceUnavailable))
		Expect(time.Since(begin)).To(BeNumerically("<", 500*time.Millisecond))
		Expect(d.desk.Runs()).To(HaveLen(runs))
		Expect(send("300")).To(Equal(http.StatusOK))
		ended()
		Expect(strings.Join(describeLeft(d.desk.Runs()), " ")).To(BeEmpty())
	})
})

// describeLeft returns the IDs of the requests whose response was not sent completely.
func describeLeft(runs []standin.Run) (left []string) {
	for _, run := range runs {
		if !run.Ended {
			left = append(left, run.ID)
		}
	}
	return left
}
