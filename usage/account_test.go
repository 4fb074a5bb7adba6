package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pomelocross/pomelocross/objects"
)

const testWindow = time.Minute

var testStart = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

var _ = Describe("Freezing windows", func() {
	line := func(source string, totals ...int64) Line {
		l := Line{Source: Source(source), Team: "t", Service: "s"}
		for n, total := range totals {
			l.Marks = append(l.Marks, Mark{Window: testStart.Add(time.Duration(n) * testWindow), Total: Figure{OutputTokens: total}})
		}
		return l
	}

	It("includes what is new since the window before", func() {
		first := Freeze(nil, "t", testStart, []Line{line("a", 5), line("b", 7)}, time.Hour)
		Expect(first.Figures["s"].OutputTokens).To(Equal(int64(12)))
		second := Freeze(first, "t", testStart.Add(testWindow), []Line{line("a", 5, 9), line("b", 7)}, time.Hour)
		Expect(second.Figures["s"]).To(Equal(Figure{OutputTokens: 4}))
	})

	It("marks what belongs to an earlier window as late", func() {
		first := Freeze(nil, "t", testStart, []Line{line("a", 5)}, time.Hour)
		second := Freeze(first, "t", testStart.Add(testWindow), []Line{line("a", 5, 9), line("b", 7, 8)}, time.Hour)
		Expect(second.Figures["s"]).To(Equal(Figure{OutputTokens: 12, LateTokens: 7}))
	})

	It("freezes nothing when nothing is new", func() {
		first := Freeze(nil, "t", testStart, []Line{line("a", 5)}, time.Hour)
		Expect(Freeze(first, "t", testStart.Add(testWindow), []Line{line("a", 5)}, time.Hour)).To(BeNil())
	})
})

var _ = Describe("Billing under failures", func() {
	// The model: sources count and die, their copies lag, holders change, every
	// write and report may fail or lose its answer. In the end, after one
	// undisturbed close, the reports must sum to what the copies know, and no
	// window may ever have had two figures.
	It("reports every counted token once, with one figure a window", func() {
		rapid.Check(GinkgoT(), checkBilling)
	})
})

func checkBilling(t *rapid.T) {
	world := &billingWorld{t: t, objects: map[string]objects.Object{}, figures: map[string]string{}}
	copies := NewCopies(0, 1000*time.Hour)
	var meters []*Meter
	holder := &Biller{Store: world, Report: world.report, Retention: 1000 * time.Hour}
	now := testStart
	var counted int64
	for range rapid.IntRange(20, 120).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "seconds")) * time.Second)
		switch rapid.SampledFrom([]string{"count", "count", "start", "close", "close", "holder"}).Draw(t, "step") {
		case "start":
			meters = append(meters, NewMeter(Source(fmt.Sprint("m", len(meters))), testWindow))
		case "count":
			if len(meters) == 0 {
				continue
			}
			m := meters[rapid.IntRange(0, len(meters)-1).Draw(t, "meter")]
			n := int64(rapid.IntRange(1, 9).Draw(t, "tokens"))
			m.Add("t", "s", now, 0, n)
			counted += n
			lines, _ := m.Lines(now, 3, 0)
			copies.Merge(lines, now)
		case "close":
			world.failing = rapid.Bool().Draw(t, "failing")
			seen := heard(t, copies.Orphans(now))
			_ = holder.Close(context.Background(), world.tenure(), seen, now.Truncate(testWindow).Add(-testWindow))
		case "holder":
			holder = &Biller{Store: world, Report: world.report, Retention: 1000 * time.Hour}
		}
	}
	world.failing = false
	end := now.Add(testWindow)
	for range 2 { // the first finds out what failed writes have left behind
		if err := holder.Close(context.Background(), world.tenure(), copies.Orphans(end), end.Truncate(testWindow)); err != nil {
			t.Logf("close: %v", err)
		}
	}
	if world.total() != counted {
		t.Fatalf("counted %d tokens, reported %d", counted, world.total())
	}
}

// heard leaves out some sources, as if they were cut off.
func heard(t *rapid.T, lines []Line) []Line {
	cut := Source(fmt.Sprint("m", rapid.IntRange(0, 5).Draw(t, "cut")))
	var kept []Line
	for _, l := range lines {
		if l.Source != cut {
			kept = append(kept, l)
		}
	}
	return kept
}

// billingWorld is a platform that fails when told to.
type billingWorld struct {
	t       *rapid.T
	failing bool
	objects map[string]objects.Object
	figures map[string]string // first figure reported of each team and window
	reports map[string]int64  // output tokens by team and window
}

var errTest = errors.New("no answer")

func (w *billingWorld) tenure() Grant {
	return Grant{Holder: "h", Epoch: 1, Held: func() bool { return !w.failing || rapid.Bool().Draw(w.t, "held") }}
}

// trouble draws what happens to a call: 0 nothing, 1 lost before, 2 lost after.
func (w *billingWorld) trouble() int {
	if !w.failing {
		return 0
	}
	return rapid.IntRange(0, 2).Draw(w.t, "trouble")
}

func (w *billingWorld) Get(_ context.Context, _, name string) (objects.Object, error) {
	if w.trouble() != 0 {
		return objects.Object{}, errTest
	}
	o, ok := w.objects[name]
	if !ok {
		return o, objects.ErrNotFound
	}
	return o, nil
}

func (w *billingWorld) Put(_ context.Context, _, name string, expect objects.Version, value any) (objects.Object, error) {
	trouble := w.trouble()
	if trouble == 1 {
		return objects.Object{}, errTest
	}
	if w.objects[name].Version != expect {
		return objects.Object{}, objects.ErrConflict
	}
	data, err := json.Marshal(value)
	if err != nil {
		return objects.Object{}, err
	}
	w.objects[name] = objects.Object{Name: name, Version: expect + 1, Value: data}
	if trouble == 2 {
		return objects.Object{}, errTest
	}
	return w.objects[name], nil
}

func (w *billingWorld) report(_ context.Context, r objects.UsageReport, _ func() bool) error {
	trouble := w.trouble()
	if trouble == 1 {
		return errTest
	}
	key := r.Team + r.Window.String()
	figure, _ := json.Marshal(r.Figures)
	if first, seen := w.figures[key]; seen && first != string(figure) {
		w.t.Fatalf("window %s had figure %s and then %s", key, first, figure)
	}
	w.figures[key] = string(figure)
	if w.reports == nil {
		w.reports = map[string]int64{}
	}
	w.reports[key] = r.Figures["s"].OutputTokens
	if trouble == 2 {
		return errTest
	}
	return nil
}

func (w *billingWorld) total() int64 {
	total := int64(0)
	for _, n := range w.reports {
		total += n
	}
	return total
}

func (w *billingWorld) Delete(context.Context, string, string, objects.Version) error { return nil }
func (w *billingWorld) List(context.Context, string) (objects.List, error) {
	return objects.List{}, nil
}
func (w *billingWorld) Watch(context.Context, string, objects.Version, time.Duration) (objects.List, error) {
	return objects.List{}, nil
}
