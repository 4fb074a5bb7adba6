package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/internal/standin/engine"
	"github.com/pomelocross/pomelocross/operator"
)

// Limits of the target for one instance's control work.
const (
	controlBytesPerSecond = 10 << 10
	controlBytesOfMemory  = 64 << 20
)

var linkBytes = regexp.MustCompile(`(?m)^pomelocross_link_bytes\{.*\} (\S+)$`)

// cost is what an instance has used.
type cost struct {
	bytes  float64
	cpu    time.Duration
	memory int64
}

func (one *daemon) cost() cost {
	answer, err := http.Get("http://" + one.admin + "/metrics")
	Expect(err).NotTo(HaveOccurred())
	defer answer.Body.Close()
	page, err := io.ReadAll(answer.Body)
	Expect(err).NotTo(HaveOccurred())
	var c cost
	for _, m := range linkBytes.FindAllStringSubmatch(string(page), -1) {
		n, err := strconv.ParseFloat(m[1], 64)
		Expect(err).NotTo(HaveOccurred())
		c.bytes += n
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", one.command.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	c.cpu, c.memory = time.Duration(user+system)*10*time.Millisecond, pages*int64(os.Getpagesize())
	return c
}

var _ = Describe("Seven instances", func() {
	var (
		d   *deployment
		all []*daemon
	)

	BeforeEach(func() {
		d = newDeployment("botiquin")
		all = nil
		for n := range 7 {
			all = append(all, d.startDaemon(fmt.Sprintf("entry-%d", n), fmt.Sprintf("mty-%c", 'a'+n%4), "--members-interval", "2s", "--load-interval", "500ms"))
		}
		for _, one := range all {
			Eventually(one.knownPeers).Should(ConsistOf(addresses(all)))
		}
	})

	suspected := func(one *daemon) func() []string {
		return func() []string { s, _ := one.status(); return s.Suspected }
	}

	It("stay within the limits of control, and have a change in force within 4 s", func() {
		const rest = 10 * time.Second
		time.Sleep(2 * time.Second) // start-up is not at rest
		before := make([]cost, len(all))
		for n, one := range all {
			before[n] = one.cost()
		}
		calls := d.platform.Record().Calls
		time.Sleep(rest)
		var watches int64
		for pattern, count := range d.platform.Record().Calls {
			watches += count - calls[pattern]
		}
		AddReportEntry("platform calls a second", float64(watches)/rest.Seconds())
		for n, one := range all {
			now := one.cost()
			AddReportEntry(one.name, fmt.Sprintf("%.0f B/s between instances, %.2f%% of a core, %d MB", (now.bytes-before[n].bytes)/rest.Seconds(),
				100*(now.cpu-before[n].cpu).Seconds()/rest.Seconds(), now.memory>>20))
			Expect((now.bytes - before[n].bytes) / rest.Seconds()).To(BeNumerically("<", controlBytesPerSecond))
			Expect(now.memory).To(BeNumerically("<", controlBytesOfMemory))
		}
		for n := range 5 {
			changed := *d.bundle
			changed.Teams = slices.Clone(changed.Teams)
			changed.Teams[0].Weight = 50 + n
			started := time.Now()
			accepted := d.apply(&changed)
			for _, one := range all {
				Eventually(func() contract.Revision { s, _ := one.status(); return s.Revision }, inForceWithin, time.Millisecond).Should(Equal(accepted.Revision))
			}
			AddReportEntry("last instance after", time.Since(started).String())
		}
	})

	It("miss one that dies, take it back under a new address, and hear of one that leaves", func() {
		gone := all[4] // with entry-0 in mty-a
		gone.kill()
		Eventually(suspected(all[0])).Should(ConsistOf(gone.name))
		Eventually(suspected(all[1])).Should(ConsistOf(gone.name), "told by instances of its domain")
		d.unlist(gone.name)
		again := d.startDaemon(gone.name, gone.domain)
		for _, one := range []*daemon{all[0], all[1], again} {
			Eventually(suspected(one)).Should(BeEmpty())
		}
		again.terminate()
		Eventually(func() string {
			list, _ := (&operator.Operator{Admin: all[2].admin}).AllStatus(context.Background())
			for _, m := range list {
				if m.Instance == again.name && m.Leaving {
					return "leaving"
				}
			}
			return ""
		}).Should(Equal("leaving"))
	})

	It("do not take a domain that is cut off for dead", func() {
		cut := []*daemon{all[1], all[5]} // mty-b
		for _, one := range cut {
			one.inbound.setCut(true)
			one.platform.setCut(true)
		}
		Consistently(suspected(all[0]), 10*time.Second, time.Second).Should(BeEmpty())
		for _, one := range cut {
			one.inbound.setCut(false)
			one.platform.setCut(false)
		}
		for _, one := range all {
			Eventually(suspected(one)).Should(BeEmpty())
		}
	})
})

var _ = Describe("Starting and stopping", func() {
	It("names the flag of a port in use", func() {
		d := newDeployment("botiquin")
		a := d.startDaemon("entry-a", "mty-a")
		command := exec.Command(daemonPath, "--name", "entry-b", "--deployment", "botiquin", "--domain", "mty-a", "--region", "test",
			"--platform", d.platformAddress, "--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--admin-listen", a.admin)
		command.Env = append(os.Environ(), "POMELOCROSS_SECRET="+testSecret)
		output, err := command.CombinedOutput()
		Expect(err).To(HaveOccurred())
		Expect(string(output)).To(MatchRegexp(`pomelocrossd: .*--admin-listen.*address already in use`))
	})

	It("ends at a second signal and says what it cuts off", func() {
		d := newDeployment("botiquin")
		d.addEngine("lm-1", "lm-pool", "mty-a", engine.Options{TokenTime: time.Millisecond})
		a := d.startDaemon("entry-a", "mty-a")
		Eventually(func() int { return a.complete(demoKey("fabricas"), "warm", 1, false).status }).Should(Equal(200))
		go a.complete(demoKey("fabricas"), "long", 100000, true)
		Eventually(func() int { return len(d.engines["lm-1"].Record().Requests) }).Should(BeNumerically(">", 1))
		a.terminate()
		Eventually(a.log.String).Should(ContainSubstring("draining"))
		Consistently(a.exited, "500ms").ShouldNot(BeClosed())
		a.terminate()
		Eventually(a.exited, "2s").Should(BeClosed())
		Expect(a.exit).To(MatchError("exit status 1"))
		Expect(a.log.String()).To(ContainSubstring("second signal: 1 requests were cut off"))
	})
})

func addresses(all []*daemon) []string {
	var list []string
	for _, one := range all {
		list = append(list, one.inbound.address)
	}
	return list
}
