package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/standin/engine"
	"github.com/pomelocross/pomelocross/internal/standin/hold"
	standin "github.com/pomelocross/pomelocross/internal/standin/platform"
	"github.com/pomelocross/pomelocross/objects"
)

var _ = Describe("Usage reports", func() {
	var (
		d       *deployment
		daemons []*daemon
	)

	BeforeEach(func() {
		d = newDeployment("botiquin")
		d.addEngine("lm-a", "lm-pool", "mty-a", engine.Options{TokenTime: time.Millisecond})
		d.addEngine("lm-b", "lm-pool", "mty-b", engine.Options{TokenTime: time.Millisecond})
		usageFlags := []string{"--usage-window", "1s", "--usage-grace", "300ms"}
		daemons = nil
		for n, domain := range []string{"mty-a", "mty-a", "mty-b"} {
			daemons = append(daemons, d.startDaemon(fmt.Sprintf("entry-%d", n), domain, usageFlags...))
		}
		for _, inst := range daemons {
			Eventually(func() int { return inst.complete(demoKey("desk"), "warm", 1, false).status }).Should(Equal(200))
			Eventually(inst.knownInstances).Should(Equal(3))
		}
	})

	// complete sends completions of team audits to an instance, four at a time, and
	// returns the number of output tokens of the complete responses.
	complete := func(inst *daemon, requests int) int64 {
		var total int64
		var mu sync.Mutex // guards total
		var callers sync.WaitGroup
		for range 4 {
			callers.Go(func() {
				defer GinkgoRecover()
				for range requests / 4 {
					if got := inst.complete(demoKey("audits"), "p", 5, true); got.err == nil && strings.HasSuffix(got.body, "data: [DONE]\n\n") {
						mu.Lock()
						total += 5
						mu.Unlock()
					}
				}
			})
		}
		callers.Wait()
		return total
	}

	It("include every complete response of an instance that is killed right after it", func() {
		total := complete(daemons[0], 20)
		daemons[0].kill()
		Expect(total).To(Equal(int64(100)))
		Eventually(func() int64 { return reportedTokens(d, "audits") }).Should(Equal(total))
		Consistently(func() int64 { return reportedTokens(d, "audits") }, 3*time.Second).Should(Equal(total))
		Expect(generatedTokens(d, "p")).To(Equal(total))
		expectSameFiguresPerWindow(d)
	})

	It("are caught up after the usage interface was down for several windows", func() {
		d.platform.SetFaults(standin.Faults{UsageDown: true})
		total := complete(daemons[0], 8)
		usageCalls := func() int64 { return d.platform.Record().Calls["POST /v1/usage"] }
		before := usageCalls()
		Eventually(usageCalls).Should(BeNumerically(">=", before+8)) // attempts of two windows
		total += complete(daemons[2], 8)
		Expect(firstReports(d, "audits")).To(BeEmpty())
		d.platform.SetFaults(standin.Faults{})
		Eventually(func() int64 { return reportedTokens(d, "audits") }).Should(Equal(total))
		Expect(len(firstReports(d, "audits"))).To(BeNumerically(">=", 2))
		expectSameFiguresPerWindow(d)
	})

	It("come from one holder at a time when the holder is suspended", func() {
		holder := waitForHolder(d, "billing")
		other := daemons[(slices.Index(daemons, holder)+1)%len(daemons)]
		holder.suspend()
		total := complete(other, 8)
		Eventually(func() int64 { return reportedTokens(d, "audits") }).Should(Equal(total))
		holder.resume()
		total += complete(other, 8)
		Eventually(func() int64 { return reportedTokens(d, "audits") }).Should(Equal(total))
		expectSameFiguresPerWindow(d)
		expectNonDecreasingEpochs(d)
	})

	It("are not completed by a holder that was suspended during the send", func() {
		holder := waitForHolder(d, "billing")
		other := daemons[(slices.Index(daemons, holder)+1)%len(daemons)]
		held := d.platform.Holds.Next(hold.Arrived, func(r *http.Request) bool { return r.URL.Path == "/v1/usage" })
		total := complete(other, 4)
		Eventually(held.Reached).Should(BeClosed())
		holder.suspend()
		held.Release()
		Eventually(func() int64 { return reportedTokens(d, "audits") }).Should(Equal(total))
		holder.resume()
		total += complete(other, 4)
		Eventually(func() int64 { return reportedTokens(d, "audits") }).Should(Equal(total))
		expectSameFiguresPerWindow(d)
		expectNonDecreasingEpochs(d)
	})

	It("mark usage counted by a cut-off instance as late", func() {
		isolated := daemons[2]
		if waitForHolder(d, "billing") == isolated {
			isolated = daemons[0]
		}
		isolated.peerRelay.setDisconnected(true)
		total := complete(isolated, 4)
		other := daemons[1]
		total += complete(other, 4)
		Eventually(func() int64 { return reportedTokens(d, "audits") }).Should(BeNumerically(">=", 20))
		isolated.peerRelay.setDisconnected(false)
		Eventually(func() int64 { return reportedTokens(d, "audits") }).Should(Equal(total))
		Expect(lateTokens(d, "audits")).To(Equal(int64(4 * (5 + 1)))) // output and prompt tokens of 4 responses
		expectSameFiguresPerWindow(d)
	})
})

// knownInstances returns the number of instances that the daemon knows.
func (inst *daemon) knownInstances() int {
	s, err := inst.status()
	if err != nil {
		return 0
	}
	return s.Entries
}

// waitForHolder waits until an instance holds a role and returns it.
func waitForHolder(d *deployment, role string) *daemon {
	GinkgoHelper()
	var holder *daemon
	Eventually(func() *daemon {
		holder = d.holder(role)
		return holder
	}).ShouldNot(BeNil())
	return holder
}

// firstReports returns the first usage report of a team for each window.
func firstReports(d *deployment, team string) map[time.Time]objects.UsageReport {
	windows := map[time.Time]objects.UsageReport{}
	for _, r := range d.platform.Record().Usage {
		if _, seen := windows[r.Window]; r.Team == team && !seen {
			windows[r.Window] = r
		}
	}
	return windows
}

// sumReports sums a value of the figures of a team, counting each window once.
func sumReports(d *deployment, team string, value func(objects.UsageFigure) int64) int64 {
	total := int64(0)
	for _, r := range firstReports(d, team) {
		for _, f := range r.Figures {
			total += value(f)
		}
	}
	return total
}

// reportedTokens returns the output tokens reported for a team.
func reportedTokens(d *deployment, team string) int64 {
	return sumReports(d, team, func(f objects.UsageFigure) int64 { return f.OutputTokens })
}

// lateTokens returns the tokens marked as late in the reports of a team.
func lateTokens(d *deployment, team string) int64 {
	return sumReports(d, team, func(f objects.UsageFigure) int64 { return f.LateTokens })
}

// generatedTokens returns the tokens that engines generated for a prompt.
func generatedTokens(d *deployment, prompt string) int64 {
	total := int64(0)
	for _, e := range d.engines {
		for _, r := range e.Record().Requests {
			if r.Prompt == prompt {
				total += int64(r.Tokens)
			}
		}
	}
	return total
}

// expectSameFiguresPerWindow checks that repeated reports of a window have the same
// figures as the first.
func expectSameFiguresPerWindow(d *deployment) {
	GinkgoHelper()
	for _, r := range d.platform.Record().Usage {
		Expect(r.Figures).To(Equal(firstReports(d, r.Team)[r.Window].Figures), "window %s of %s", r.Window, r.Team)
	}
}

// expectNonDecreasingEpochs checks that the epochs of usage reports never decrease.
func expectNonDecreasingEpochs(d *deployment) {
	GinkgoHelper()
	epoch := int64(0)
	for _, r := range d.platform.Record().Usage {
		Expect(r.Epoch).To(BeNumerically(">=", epoch))
		epoch = r.Epoch
	}
}
