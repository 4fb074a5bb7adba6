// Package soak runs real gateways as processes on stand-ins, harms them from outside
// in a drawn series of overlapping faults, and checks what callers and upstreams see.
//
// SOAK_SEEDS lists seeds (default: those of seeds.txt), SOAK_SECONDS is the length of
// the trouble, SOAK_GATEWAYS the number of processes, SOAK_KEEP a folder for logs.
package soak

import (
	"fmt"
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

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Soak")
}

// seeds returns the seeds to play: those given, or the kept ones of seeds.txt, whose
// lines are a seed and why it is kept.
func seeds() []string {
	if given := os.Getenv("SOAK_SEEDS"); given != "" {
		return strings.Split(given, ",")
	}
	text, err := os.ReadFile("seeds.txt")
	if err != nil {
		panic(err)
	}
	var kept []string
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 0 && fields[0] != "#" {
			kept = append(kept, fields[0])
		}
	}
	return kept
}

func number(variable string, otherwise int) int {
	n, err := strconv.Atoi(os.Getenv(variable))
	if err != nil {
		return otherwise
	}
	return n
}

var binary = sync.OnceValue(func() string {
	folder, err := os.MkdirTemp("", "soak")
	Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(folder, "gateway")
	output, err := exec.Command("go", "build", "-o", path, "../../cmd/pomelocross-gateway").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
	return path
})

// healed is how long after the last fault every accepted batch must be whole.
const healed = 30 * time.Second

var _ = Describe("Under a series of faults", func() {
	for _, seed := range seeds() {
		It("keeps its promises, seed "+seed, func() {
			n, err := strconv.ParseUint(seed, 10, 64)
			Expect(err).NotTo(HaveOccurred())
			folder := os.Getenv("SOAK_KEEP")
			if folder == "" {
				folder = GinkgoT().TempDir()
			}
			folder = filepath.Join(folder, "seed-"+seed)
			Expect(os.MkdirAll(folder, 0o755)).To(Succeed())
			w := newWorld(binary(), folder, n, number("SOAK_GATEWAYS", 3))
			seen := &record{}
			play(w, seen, n, time.Duration(number("SOAK_SECONDS", 8))*time.Second)
			check(w, seen)
			Expect(seen.faults).To(BeEmpty(), "logs in "+folder)
		})
	}
})

// play runs callers through the trouble, and then until all is whole.
func play(w *world, seen *record, seed uint64, span time.Duration) {
	stopTrouble, stopCallers := make(chan struct{}), make(chan struct{})
	var callers sync.WaitGroup
	for who := range 2 {
		r := rand.New(rand.NewPCG(seed, uint64(100+who)))
		callers.Go(func() { order(w, seen, r, who, stopCallers) })
	}
	for who := range 2 {
		r := rand.New(rand.NewPCG(seed, uint64(200+who)))
		callers.Go(func() { train(w, seen, r, who, stopCallers) })
	}
	time.AfterFunc(span, func() { close(stopTrouble) })
	trouble(w, stopTrouble)
	close(stopCallers)
	callers.Wait()
	w.note("all is healed")
	finish(w, seen, rand.New(rand.NewPCG(seed, 300)))
}

// finish reads the accepted batches until each that was not ended is whole.
func finish(w *world, seen *record, r *rand.Rand) {
	deadline := time.Now().Add(healed)
	for _, b := range seen.batches {
		for b.accepted && !b.ended && len(b.results) < b.items {
			if time.Now().After(deadline) {
				seen.broken("batch %s has %d of %d results %v after the last fault", b.id, len(b.results), b.items, healed)
				return
			}
			read(w, seen, r, b, 2*time.Second)
		}
		for range 2 { // once more, at any gateways
			if b.accepted {
				read(w, seen, r, b, 2*time.Second)
			}
		}
	}
}

// check compares what callers saw with what upstreams saw.
func check(w *world, seen *record) {
	runs := map[string][]standin.Run{}
	for _, e := range slices.Concat(w.engines, w.desks) {
		for _, run := range e.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
			if run.Key != "" {
				seen.broken("a key reached %s with %s", e.ID, run.ID)
			}
		}
		fences := e.Fences()
		if !slices.IsSorted(fences) {
			seen.broken("%s took orders under fences %v", e.ID, fences)
		}
	}
	for _, b := range seen.batches {
		checkBatch(seen, b, runs)
	}
	for _, d := range seen.desks {
		checkDesk(seen, d, runs[d.id])
	}
	for window, reports := range w.cloud.Usage() {
		for _, report := range reports[1:] {
			if fmt.Sprint(report) != fmt.Sprint(reports[0]) {
				seen.broken("window %d was reported as %v and as %v", window, reports[0], report)
			}
		}
	}
}

func checkBatch(seen *record, b *batch, runs map[string][]standin.Run) {
	stands := map[string]bool{}
	for at, r := range b.results {
		if stands[r.Id] {
			seen.broken("batch %s: item %s stands twice", b.id, r.Id)
		}
		stands[r.Id] = true
		if r.State != "complete" || r.Output != standin.ItemText(r.Id, events) {
			seen.broken("batch %s: position %d (%s) is %s and its text is not whole", b.id, at, r.Id, r.State)
		}
		if len(r.Versions) == 0 || slices.Min(r.Versions) < b.least {
			seen.broken("batch %s: %s was made under %v, least is %d", b.id, r.Id, r.Versions, b.least)
		}
	}
	for n := range b.items {
		id := fmt.Sprintf("%s-%d", b.id, n)
		for _, run := range runs[id] {
			if run.Team != "south" {
				seen.broken("item %s ran for %q", id, run.Team)
			}
		}
		if b.tried > 0 && b.denied && len(runs[id]) > 0 {
			seen.broken("batch %s was refused each time and %s ran", b.id, id)
		}
	}
}

func checkDesk(seen *record, d desk, runs []standin.Run) {
	if d.unsafe && len(runs) > 1 {
		seen.broken("unsafe request %s ran %d times", d.id, len(runs))
	}
	if d.unsafe && d.status == http.StatusServiceUnavailable && len(runs) > 0 {
		seen.broken("unsafe request %s ran and was refused", d.id)
	}
	if d.status == http.StatusOK && !strings.HasPrefix(d.body, "desk answers") {
		seen.broken("request %s got %q", d.id, d.body)
	}
	if d.status == http.StatusNotFound || d.status == http.StatusUnauthorized {
		seen.broken("request %s was denied with %d", d.id, d.status)
	}
}
