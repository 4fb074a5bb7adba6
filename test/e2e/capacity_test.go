//go:build capacity

package e2e

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/internal/standin/engine"
)

// Measures the control cost of an instance while idle and per configuration change, for
// different numbers of instances. Rows are appended to the file named by CAPACITY_CSV.
//
// Entry instances run on small machines; GOMAXPROCS simulates their number of processors.
//
//	GOMAXPROCS=2 CAPACITY_CSV=out.csv go test -tags capacity ./test/e2e -ginkgo.focus Capacity -ginkgo.seed 1
var _ = Describe("Capacity", func() {
	DescribeTable("at rest and under changes", measureControlCost,
		Entry(nil, 4, 1), Entry(nil, 9, 1), Entry(nil, 18, 1), Entry(nil, 27, 1),
		Entry(nil, 16, 4), Entry(nil, 32, 4), Entry(nil, 48, 4))
})

const (
	settleTime  = 12 * time.Second // longer than a lease term
	idleTime    = 15 * time.Second
	changeCount = 20
	// enginesPerInstance approximates the target of 640 engines for 330 instances.
	enginesPerInstance = 2
)

var capacityDomains = []string{"mty-a", "mty-b", "mty-c", "mty-d"}

func measureControlCost(instances, domains int) {
	d := newDeployment("botiquin")
	for n := range instances * enginesPerInstance {
		d.addEngine(fmt.Sprintf("lm-%d", n), "lm-pool", capacityDomains[n%domains], engine.Options{})
	}
	for n := range domains { // a domain without upstreams would use those of other domains
		d.addService(fmt.Sprintf("refill-%d", n), "refill-check", capacityDomains[n])
	}
	var daemons []*daemon
	for n := range instances {
		daemons = append(daemons, d.startDaemon(fmt.Sprintf("entry-%d", n), capacityDomains[n%domains],
			"--members-interval", "2s", "--load-interval", "500ms", "--lease-term", "10s"))
	}
	time.Sleep(settleTime)

	before, calls := readUsages(daemons), d.platformCalls()
	time.Sleep(idleTime)
	idle := readUsages(daemons).minus(before).per(idleTime.Seconds())
	reads, writes := d.platformCalls().minus(calls).per(idleTime.Seconds())

	latency := d.measureChangeLatency(daemons)

	before = readUsages(daemons)
	start := time.Now()
	for range changeCount {
		d.applyChange()
		time.Sleep(200 * time.Millisecond)
	}
	underChanges := readUsages(daemons).minus(before)
	baseline := idle.per(1 / time.Since(start).Seconds())
	change := underChanges.minus(baseline).per(changeCount)

	row := fmt.Sprintf("%d,%d,%d,%.3f,%.3f,%.0f,%.0f,%.1f,%.1f,%.2f,%.2f,%.0f,%.0f,%.3f,%.0f\n",
		instances, domains, instances*enginesPerInstance, idle.mean(cpu), idle.max(cpu), idle.mean(ioBytes), idle.max(ioBytes),
		before.mean(residentMemory)/(1<<20), before.max(residentMemory)/(1<<20), reads, writes,
		latency.mean, latency.max, change.mean(cpu), change.mean(ioBytes))
	GinkgoWriter.Print(row)
	file, err := os.OpenFile(os.Getenv("CAPACITY_CSV"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	Expect(err).NotTo(HaveOccurred())
	defer file.Close()
	_, err = file.WriteString(row)
	Expect(err).NotTo(HaveOccurred())
}

// applyChange applies a bundle that differs from the previous one in the weight of one
// team.
func (d *deployment) applyChange() contract.Accepted {
	next := *d.bundle
	next.Teams = append([]contract.Team(nil), next.Teams...)
	next.Teams[0].Weight = next.Teams[0].Weight%1000 + 1
	d.bundle = &next
	return d.apply(&next)
}

// latencyStats holds latencies in milliseconds.
type latencyStats struct{ mean, max float64 }

// measureChangeLatency measures the time from applying a change until the last instance
// has it in force.
func (d *deployment) measureChangeLatency(daemons []*daemon) latencyStats {
	var s latencyStats
	const runs = 5
	for range runs {
		start := time.Now()
		accepted := d.applyChange()
		for _, inst := range daemons {
			Eventually(func() contract.Revision { now, _ := inst.status(); return now.Revision }).
				WithPolling(time.Millisecond).Should(BeNumerically(">=", accepted.Revision))
		}
		elapsed := float64(time.Since(start).Milliseconds())
		s.mean += elapsed / runs
		s.max = math.Max(s.max, elapsed)
	}
	return s
}

// callCounts counts calls to the platform, GET requests as reads and others as writes.
type callCounts struct{ reads, writes float64 }

func (d *deployment) platformCalls() callCounts {
	var c callCounts
	for pattern, n := range d.platform.Record().Calls {
		if strings.HasPrefix(pattern, "GET") {
			c.reads += float64(n)
		} else {
			c.writes += float64(n)
		}
	}
	return c
}

func (c callCounts) minus(other callCounts) callCounts {
	return callCounts{c.reads - other.reads, c.writes - other.writes}
}

func (c callCounts) per(seconds float64) (reads, writes float64) {
	return c.reads / seconds, c.writes / seconds
}

// resourceUsage is the resource usage of a process: CPU time in milliseconds, bytes read
// and written, and resident memory in bytes.
type resourceUsage [3]float64

const (
	cpu = iota
	ioBytes
	residentMemory
)

type resourceUsages []resourceUsage

func readUsages(daemons []*daemon) resourceUsages {
	all := make(resourceUsages, len(daemons))
	for n, inst := range daemons {
		all[n] = readUsage(inst.command.Process.Pid)
	}
	return all
}

func readUsage(pid int) resourceUsage {
	stat := strings.Fields(readProc(pid, "stat"))
	pages, _ := strconv.ParseFloat(stat[23], 64)
	var total float64
	for line := range strings.Lines(readProc(pid, "io")) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name == "rchar" || name == "wchar" {
			n, _ := strconv.ParseFloat(value, 64)
			total += n
		}
	}
	return resourceUsage{cpuMillis(pid), total, pages * float64(os.Getpagesize())}
}

// cpuMillis returns the CPU time of the process's threads in milliseconds, as counted
// by the scheduler.
func cpuMillis(pid int) float64 {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	Expect(err).NotTo(HaveOccurred())
	total := 0.0
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has exited since the listing
		}
		ns, _ := strconv.ParseFloat(strings.Fields(string(data))[0], 64)
		total += ns / 1e6
	}
	return total
}

func readProc(pid int, name string) string {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, name))
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

// minus returns the differences of CPU time and bytes, and the resident memory of c.
func (c resourceUsages) minus(other resourceUsages) resourceUsages {
	result := make(resourceUsages, len(c))
	for n := range c {
		result[n] = resourceUsage{c[n][cpu] - other[n][cpu], c[n][ioBytes] - other[n][ioBytes], c[n][residentMemory]}
	}
	return result
}

// per divides CPU time and bytes by divisor.
func (c resourceUsages) per(divisor float64) resourceUsages {
	result := make(resourceUsages, len(c))
	for n := range c {
		result[n] = resourceUsage{c[n][cpu] / divisor, c[n][ioBytes] / divisor, c[n][residentMemory]}
	}
	return result
}

func (c resourceUsages) mean(field int) float64 {
	total := 0.0
	for _, usage := range c {
		total += usage[field]
	}
	return total / float64(len(c))
}

func (c resourceUsages) max(field int) float64 {
	largest := 0.0
	for _, usage := range c {
		largest = math.Max(largest, usage[field])
	}
	return largest
}
