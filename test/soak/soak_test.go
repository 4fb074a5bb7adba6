// Package soak runs real gateway processes against stand-ins of the platform and of
// upstreams, injects a random series of overlapping faults from outside, and checks
// what callers and upstreams observe.
//
// Environment variables: SOAK_SEEDS is a comma-separated list of seeds (default: those
// of seeds.txt), SOAK_SECONDS the time during which faults are injected (default 8),
// SOAK_GATEWAYS the number of gateway processes (default 3), SOAK_KEEP a folder in which
// logs are kept.
package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/platform/standin"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Soak")
}

// seeds returns the seeds to run: those of SOAK_SEEDS, or else those of seeds.txt, whose
// lines each hold a seed and the reason for keeping it.
func seeds() []string {
	if list := os.Getenv("SOAK_SEEDS"); list != "" {
		return strings.Split(list, ",")
	}
	text, err := os.ReadFile("seeds.txt")
	if err != nil {
		panic(err)
	}
	var result []string
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 0 && fields[0] != "#" {
			result = append(result, fields[0])
		}
	}
	return result
}

// intFromEnv returns an environment variable as an integer, or fallback if it is unset
// or no integer.
func intFromEnv(variable string, fallback int) int {
	n, err := strconv.Atoi(os.Getenv(variable))
	if err != nil {
		return fallback
	}
	return n
}

// gatewayBinary builds the gateway once and returns its path.
var gatewayBinary = sync.OnceValue(func() string {
	folder, err := os.MkdirTemp("", "soak")
	Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(folder, "gateway")
	output, err := exec.Command("go", "build", "-o", path, "../../cmd/pomelocross-gateway").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
	return path
})

// recoveryTimeout is the time after the last fault within which every accepted batch
// that was not deleted must be complete.
const recoveryTimeout = 30 * time.Second

var _ = Describe("Under a series of faults", func() {
	for _, seed := range seeds() {
		It("keeps its guarantees, seed "+seed, func() {
			n, err := strconv.ParseUint(seed, 10, 64)
			Expect(err).NotTo(HaveOccurred())
			folder := os.Getenv("SOAK_KEEP")
			if folder == "" {
				folder = GinkgoT().TempDir()
			}
			folder = filepath.Join(folder, "seed-"+seed)
			Expect(os.MkdirAll(folder, 0o755)).To(Succeed())
			d := newDeployment(gatewayBinary(), folder, n, intFromEnv("SOAK_GATEWAYS", 3))
			obs := &observations{}
			runSeed(d, obs, n, time.Duration(intFromEnv("SOAK_SECONDS", 8))*time.Second)
			checkObservations(d, obs)
			Expect(obs.violations).To(BeEmpty(), "logs in "+folder)
		})
	}
})

// runSeed runs callers while faults are injected for faultDuration, then reads the
// remaining results.
func runSeed(d *deployment, obs *observations, seed uint64, faultDuration time.Duration) {
	stopFaults, stopCallers := make(chan struct{}), make(chan struct{})
	var callers sync.WaitGroup
	for caller := range 2 {
		r := rand.New(rand.NewPCG(seed, uint64(100+caller)))
		callers.Go(func() { sendRequests(d, obs, r, caller, stopCallers) })
	}
	for caller := range 2 {
		r := rand.New(rand.NewPCG(seed, uint64(200+caller)))
		callers.Go(func() { submitBatches(d, obs, r, caller, stopCallers) })
	}
	callers.Go(func() { sendAsGuest(d, rand.New(rand.NewPCG(seed, 400)), faultDuration/4, stopCallers) })
	callers.Go(func() { // at least one leaves, early and for most of the time
		time.Sleep(faultDuration / 8)
		leaveAndRestart(d, d.services[seed%uint64(len(d.services))], faultDuration/2)
	})
	time.AfterFunc(faultDuration, func() { close(stopFaults) })
	injectFaults(d, stopFaults)
	close(stopCallers)
	callers.Wait()
	d.logf("all faults are over")
	readRemaining(d, obs, rand.New(rand.NewPCG(seed, 300)))
}

// readRemaining reads the accepted batches until each that was not deleted is complete.
func readRemaining(d *deployment, obs *observations, r *rand.Rand) {
	deadline := time.Now().Add(recoveryTimeout)
	for _, b := range obs.batches {
		for b.accepted && !b.deleted && len(b.results) < b.items {
			if time.Now().After(deadline) {
				obs.violationf("batch %s has %d of %d results %v after the last fault ended", b.id, len(b.results), b.items, recoveryTimeout)
				return
			}
			readPage(d, obs, r, b, 2*time.Second)
		}
		for range 2 { // two more reads, through random gateways
			if b.accepted {
				readPage(d, obs, r, b, 2*time.Second)
			}
		}
	}
}

// checkObservations compares what callers observed with what upstreams recorded.
func checkObservations(d *deployment, obs *observations) {
	runs := map[string][]standin.Run{}
	for _, e := range slices.Concat(d.engines, d.services) {
		for _, run := range e.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
			if run.Key != "" {
				obs.violationf("upstream %s received an API key with request %s", e.ID, run.ID)
			}
		}
		fences := e.Fences()
		if !slices.IsSorted(fences) {
			obs.violationf("%s accepted orders with fencing tokens out of order: %v", e.ID, fences)
		}
	}
	afterLeave, afterWithdrawal := checkBeliefs(d, obs)
	GinkgoWriter.Printf("judged %d requests after an upstream's leaving and %d after the withdrawal of their key\n", afterLeave, afterWithdrawal)
	d.logf("judged %d requests after an upstream's leaving and %d after the withdrawal of their key", afterLeave, afterWithdrawal)
	checkLimits(d, obs)
	for _, b := range obs.batches {
		checkBatch(obs, b, runs)
	}
	for _, request := range obs.requests {
		checkRequest(obs, request, runs[request.id])
	}
	for window, reports := range d.cloud.Usage() {
		for _, report := range reports[1:] {
			if !maps.Equal(report.Counts, reports[0].Counts) {
				obs.violationf("usage window %d was reported with different figures: %v and %v", window, reports[0], report)
			}
		}
	}
}

func checkBatch(obs *observations, b *batchRecord, runs map[string][]standin.Run) {
	listed := map[string]bool{}
	for position, r := range b.results {
		if listed[r.Id] {
			obs.violationf("batch %s: item %s is listed twice", b.id, r.Id)
		}
		listed[r.Id] = true
		if r.State != "complete" || r.Output != standin.ItemText(r.Id, events) {
			obs.violationf("batch %s: position %d (%s) is in state %s or its text is incomplete", b.id, position, r.Id, r.State)
		}
		if len(r.Versions) == 0 || slices.Min(r.Versions) < b.minVersion {
			obs.violationf("batch %s: item %s was generated with weight versions %v, the minimum is %d", b.id, r.Id, r.Versions, b.minVersion)
		}
	}
	for n := range b.items {
		id := fmt.Sprintf("%s-%d", b.id, n)
		for _, run := range runs[id] {
			if run.Team != "south" {
				obs.violationf("item %s of team south ran for team %q", id, run.Team)
			}
		}
		if b.attempts > 0 && b.allRefused && len(runs[id]) > 0 {
			obs.violationf("batch %s was refused at every submission, but item %s ran", b.id, id)
		}
	}
}

func checkRequest(obs *observations, request requestRecord, runs []standin.Run) {
	if request.unsafe && len(runs) > 1 {
		obs.violationf("unsafe request %s ran %d times", request.id, len(runs))
	}
	if request.unsafe && request.status == http.StatusServiceUnavailable && len(runs) > 0 {
		obs.violationf("unsafe request %s ran, but was answered with 503", request.id)
	}
	if request.status == http.StatusOK && !strings.HasPrefix(request.body, "desk answers") {
		obs.violationf("request %s got an unexpected body: %q", request.id, request.body)
	}
	if request.status == http.StatusNotFound || request.status == http.StatusUnauthorized {
		obs.violationf("request %s was rejected with status %d", request.id, request.status)
	}
}
