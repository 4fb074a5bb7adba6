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

// Target limits of the control traffic and the memory of an instance.
const (
	maxControlBytesPerSecond = 10 << 10
	maxControlMemoryBytes    = 64 << 20
)

var linkBytes = regexp.MustCompile(`(?m)^pomelocross_link_bytes\{.*\} (\S+)$`)

// resources is the resource usage of an instance: bytes of control traffic since its
// start, CPU time and resident memory in bytes.
type resources struct {
	bytes  float64
	cpu    time.Duration
	memory int64
}

func (inst *daemon) readResources() resources {
	resp, err := http.Get("http://" + inst.admin + "/metrics")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	page, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	var r resources
	for _, m := range linkBytes.FindAllStringSubmatch(string(page), -1) {
		n, err := strconv.ParseFloat(m[1], 64)
		Expect(err).NotTo(HaveOccurred())
		r.bytes += n
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", inst.command.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	r.cpu, r.memory = time.Duration(user+system)*10*time.Millisecond, pages*int64(os.Getpagesize())
	return r
}

var _ = Describe("Seven instances", func() {
	var (
		d         *deployment
		instances []*daemon
	)

	BeforeEach(func() {
		d = newDeployment("botiquin")
		instances = nil
		for n := range 7 {
			instances = append(instances, d.startDaemon(fmt.Sprintf("entry-%d", n), fmt.Sprintf("mty-%c", 'a'+n%4), "--members-interval", "2s", "--load-interval", "500ms"))
		}
		for _, inst := range instances {
			Eventually(inst.knownPeers).Should(ConsistOf(addresses(instances)))
		}
	})

	suspected := func(inst *daemon) func() []string {
		return func() []string { s, _ := inst.status(); return s.Suspected }
	}

	It("stay within the resource limits when idle, and have a change in force within 4 s", func() {
		const idleTime = 10 * time.Second
		time.Sleep(2 * time.Second) // start-up is not part of the measurement
		before := make([]resources, len(instances))
		for n, inst := range instances {
			before[n] = inst.readResources()
		}
		calls := d.platform.Record().Calls
		time.Sleep(idleTime)
		var platformCalls int64
		for pattern, count := range d.platform.Record().Calls {
			platformCalls += count - calls[pattern]
		}
		AddReportEntry("platform calls per second", float64(platformCalls)/idleTime.Seconds())
		for n, inst := range instances {
			now := inst.readResources()
			AddReportEntry(inst.name, fmt.Sprintf("%.0f B/s between instances, %.2f%% of a core, %d MB", (now.bytes-before[n].bytes)/idleTime.Seconds(),
				100*(now.cpu-before[n].cpu).Seconds()/idleTime.Seconds(), now.memory>>20))
			Expect((now.bytes - before[n].bytes) / idleTime.Seconds()).To(BeNumerically("<", maxControlBytesPerSecond))
			Expect(now.memory).To(BeNumerically("<", maxControlMemoryBytes))
		}
		for n := range 5 {
			changed := *d.bundle
			changed.Teams = slices.Clone(changed.Teams)
			changed.Teams[0].Weight = 50 + n
			started := time.Now()
			accepted := d.apply(&changed)
			for _, inst := range instances {
				Eventually(func() contract.Revision { s, _ := inst.status(); return s.Revision }, inForceTimeout, time.Millisecond).Should(Equal(accepted.Revision))
			}
			AddReportEntry("time until the change is in force at all instances", time.Since(started).String())
		}
	})

	It("suspect one that is killed, accept it at a new address, and learn of one that leaves", func() {
		killed := instances[4] // in mty-a, as entry-0
		killed.kill()
		Eventually(suspected(instances[0])).Should(ConsistOf(killed.name))
		Eventually(suspected(instances[1])).Should(ConsistOf(killed.name), "reported by instances of its domain")
		d.removeMember(killed.name)
		restarted := d.startDaemon(killed.name, killed.domain)
		for _, inst := range []*daemon{instances[0], instances[1], restarted} {
			Eventually(suspected(inst)).Should(BeEmpty())
		}
		restarted.terminate()
		Eventually(func() string {
			list, _ := (&operator.Operator{Admin: instances[2].admin}).AllStatus(context.Background())
			for _, m := range list {
				if m.Instance == restarted.name && m.Leaving {
					return "leaving"
				}
			}
			return ""
		}).Should(Equal("leaving"))
	})

	It("do not suspect the instances of a domain that is cut off", func() {
		isolated := []*daemon{instances[1], instances[5]} // mty-b
		for _, inst := range isolated {
			inst.peerRelay.setDisconnected(true)
			inst.platformRelay.setDisconnected(true)
		}
		Consistently(suspected(instances[0]), 10*time.Second, time.Second).Should(BeEmpty())
		for _, inst := range isolated {
			inst.peerRelay.setDisconnected(false)
			inst.platformRelay.setDisconnected(false)
		}
		for _, inst := range instances {
			Eventually(suspected(inst)).Should(BeEmpty())
		}
	})
})

var _ = Describe("Starting and stopping", func() {
	It("reports the flag of an address in use", func() {
		d := newDeployment("botiquin")
		a := d.startDaemon("entry-a", "mty-a")
		command := exec.Command(daemonPath, "--name", "entry-b", "--deployment", "botiquin", "--domain", "mty-a", "--region", "test",
			"--platform", d.platformAddress, "--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--admin-listen", a.admin)
		command.Env = append(os.Environ(), "POMELOCROSS_SECRET="+testSecret)
		output, err := command.CombinedOutput()
		Expect(err).To(HaveOccurred())
		Expect(string(output)).To(MatchRegexp(`pomelocrossd: .*--admin-listen.*address already in use`))
	})

	It("exits at a second signal and logs what it cuts off", func() {
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

func addresses(instances []*daemon) []string {
	var list []string
	for _, inst := range instances {
		list = append(list, inst.peerRelay.address)
	}
	return list
}
