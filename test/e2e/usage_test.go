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
		window := []string{"--usage-window", "1s", "--usage-grace", "300ms"}
		daemons = nil
		for n, domain := range []string{"mty-a", "mty-a", "mty-b"} {
			daemons = append(daemons, d.startDaemon(fmt.Sprintf("entry-%d", n), domain, window...))
		}
		for _, one := range daemons {
			Eventually(func() int { return one.complete(demoKey("desk"), "warm", 1, false).status }).Should(Equal(200))
			Eventually(one.entries).Should(Equal(3))
		}
	})

	// spend completes requests of a team at an instance, four at a time, and
	// returns the tokens of the whole answers.
	spend := func(one *daemon, requests int) int64 {
		var total int64
		var mu sync.Mutex // guards total
		var callers sync.WaitGroup
		for range 4 {
			callers.Go(func() {
				defer GinkgoRecover()
				for range requests / 4 {
					if got := one.complete(demoKey("audits"), "p", 5, true); got.err == nil && strings.HasSuffix(got.body, "data: [DONE]\n\n") {
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

	It("bill every whole answer of an instance that is killed right after it", func() {
		total := spend(daemons[0], 20)
		daemons[0].kill()
		Expect(total).To(Equal(int64(100)))
		Eventually(func() int64 { return reportedTokens(d, "audits") }).Should(Equal(total))
		Consistently(func() int64 { return reportedTokens(d, "audits") }, 3*time.Second).Should(Equal(total))
		Expect(generatedTokens(d, "p")).To(Equal(total))
		expectOneFigureEach(d)
	})

	It("catch up after the usage interface was down across windows", func() {
		d.platform.SetFaults(standin.Faults{UsageDown: true})
		total := spend(daemons[0], 8)
		refused := func() int64 { return d.platform.Record().Calls["POST /v1/usage"] }
		before := refused()
		Eventually(refused).Should(BeNumerically(">=", before+8)) // two windows of tries
		total += spend(daemons[2], 8)
		Expect(windowsOf(d, "audits")).To(BeEmpty())
		d.platform.SetFaults(standin.Faults{})
		Eventually(func() int64 { return reportedTokens(d, "audits") }).Should(Equal(total))
		Expect(len(windowsOf(d, "audits"))).To(BeNumerically(">=", 2))
		expectOneFigureEach(d)
	})

	It("come from one holder at a time when the holder freezes", func() {
		holder := holderOf(d, "billing")
		other := daemons[(slices.Index(daemons, holder)+1)%len(daemons)]
		holder.freeze()
		total := spend(other, 8)
		Eventually(func() int64 { return reportedTokens(d, "audits") }).Should(Equal(total))
		holder.thaw()
		total += spend(other, 8)
		Eventually(func() int64 { return reportedTokens(d, "audits") }).Should(Equal(total))
		expectOneFigureEach(d)
		expectRisingEpochs(d)
	})

	It("are not completed by a holder that froze inside the send", func() {
		holder := holderOf(d, "billing")
		other := daemons[(slices.Index(daemons, holder)+1)%len(daemons)]
		held := d.platform.Holds.Next(hold.Arrived, func(r *http.Request) bool { return r.URL.Path == "/v1/usage" })
		total := spend(other, 4)
		Eventually(held.Reached).Should(BeClosed())
		holder.freeze()
		held.Release()
		Eventually(func() int64 { return reportedTokens(d, "audits") }).Should(Equal(total))
		holder.thaw()
		total += spend(other, 4)
		Eventually(func() int64 { return reportedTokens(d, "audits") }).Should(Equal(total))
		expectOneFigureEach(d)
		expectRisingEpochs(d)
	})

	It("mark what a cut-off instance counted as late", func() {
		cut := daemons[2]
		if holderOf(d, "billing") == cut {
			cut = daemons[0]
		}
		cut.inbound.setCut(true)
		total := spend(cut, 4)
		other := daemons[1]
		total += spend(other, 4)
		Eventually(func() int64 { return reportedTokens(d, "audits") }).Should(BeNumerically(">=", 20))
		cut.inbound.setCut(false)
		Eventually(func() int64 { return reportedTokens(d, "audits") }).Should(Equal(total))
		Expect(lateTokens(d, "audits")).To(Equal(int64(4 * (5 + 1)))) // output and prompt of 4 answers
		expectOneFigureEach(d)
	})
})

// entries returns how many instances the daemon knows of.
func (one *daemon) entries() int {
	s, err := one.status()
	if err != nil {
		return 0
	}
	return s.Entries
}

// holderOf waits for an instance that holds a role.
func holderOf(d *deployment, role string) *daemon {
	GinkgoHelper()
	var holder *daemon
	Eventually(func() *daemon {
		holder = d.holder(role)
		return holder
	}).ShouldNot(BeNil())
	return holder
}

// windowsOf returns the first report of each window of a team.
func windowsOf(d *deployment, team string) map[time.Time]objects.UsageReport {
	windows := map[time.Time]objects.UsageReport{}
	for _, r := range d.platform.Record().Usage {
		if _, seen := windows[r.Window]; r.Team == team && !seen {
			windows[r.Window] = r
		}
	}
	return windows
}

// sumReports sums a part of the figures of a team, each window once.
func sumReports(d *deployment, team string, part func(objects.UsageFigure) int64) int64 {
	total := int64(0)
	for _, r := range windowsOf(d, team) {
		for _, f := range r.Figures {
			total += part(f)
		}
	}
	return total
}

// reportedTokens sums the output tokens reported for a team.
func reportedTokens(d *deployment, team string) int64 {
	return sumReports(d, team, func(f objects.UsageFigure) int64 { return f.OutputTokens })
}

// lateTokens sums the tokens marked as late in a team's reports.
func lateTokens(d *deployment, team string) int64 {
	return sumReports(d, team, func(f objects.UsageFigure) int64 { return f.LateTokens })
}

// generatedTokens sums what engines say they generated for a prompt.
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

func expectOneFigureEach(d *deployment) {
	GinkgoHelper()
	for _, r := range d.platform.Record().Usage {
		Expect(r.Figures).To(Equal(windowsOf(d, r.Team)[r.Window].Figures), "window %s of %s", r.Window, r.Team)
	}
}

func expectRisingEpochs(d *deployment) {
	GinkgoHelper()
	epoch := int64(0)
	for _, r := range d.platform.Record().Usage {
		Expect(r.Epoch).To(BeNumerically(">=", epoch))
		epoch = r.Epoch
	}
}
