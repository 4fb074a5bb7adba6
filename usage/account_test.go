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

	It("includes the usage added since the previous window", func() {
		first := Freeze(nil, "t", testStart, []Line{line("a", 5), line("b", 7)}, time.Hour)
		Expect(first.Figures["s"].OutputTokens).To(Equal(int64(12)))
		second := Freeze(first, "t", testStart.Add(testWindow), []Line{line("a", 5, 9), line("b", 7)}, time.Hour)
		Expect(second.Figures["s"]).To(Equal(Figure{OutputTokens: 4}))
	})

	It("counts usage of earlier windows as late", func() {
		first := Freeze(nil, "t", testStart, []Line{line("a", 5)}, time.Hour)
		second := Freeze(first, "t", testStart.Add(testWindow), []Line{line("a", 5, 9), line("b", 7, 8)}, time.Hour)
		Expect(second.Figures["s"]).To(Equal(Figure{OutputTokens: 12, LateTokens: 7}))
	})

	It("returns nil if there is no new usage", func() {
		first := Freeze(nil, "t", testStart, []Line{line("a", 5)}, time.Hour)
		Expect(Freeze(first, "t", testStart.Add(testWindow), []Line{line("a", 5)}, time.Hour)).To(BeNil())
	})
})

var _ = Describe("Billing under failures", func() {
	// Model: sources start and count, gathered lines lack a random source, the holder of
	// the billing role changes, and every write and report may fail or lose its response.
	// After a final Close without faults, the reports must add up to the counted tokens,
	// and no window may have been reported with two different figures.
	It("reports every counted token once, with one figure per window", func() {
		rapid.Check(GinkgoT(), checkBilling)
	})
})

func checkBilling(t *rapid.T) {
	platform := &faultyPlatform{t: t, objects: map[string]objects.Object{}, firstFigures: map[string]string{}}
	copies := NewCopies(0, 1000*time.Hour)
	var meters []*Meter
	biller := &Biller{Store: platform, Report: platform.report, Retention: 1000 * time.Hour}
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
			tokens := int64(rapid.IntRange(1, 9).Draw(t, "tokens"))
			m.Add("t", "s", now, 0, tokens)
			counted += tokens
			lines, _ := m.Lines(now, 3, 0)
			copies.Merge(lines, now)
		case "close":
			platform.failing = rapid.Bool().Draw(t, "failing")
			gathered := dropSource(t, copies.Orphans(now))
			_ = biller.Close(context.Background(), platform.grant(), gathered, now.Truncate(testWindow).Add(-testWindow))
		case "holder":
			biller = &Biller{Store: platform, Report: platform.report, Retention: 1000 * time.Hour}
		}
	}
	platform.failing = false
	end := now.Add(testWindow)
	for range 2 { // the first may fail, because it finds the results of writes whose response was lost
		if err := biller.Close(context.Background(), platform.grant(), copies.Orphans(end), end.Truncate(testWindow)); err != nil {
			t.Logf("close: %v", err)
		}
	}
	if platform.total() != counted {
		t.Fatalf("counted %d tokens, reported %d", counted, platform.total())
	}
}

// dropSource removes the lines of one source, as if it were unreachable.
func dropSource(t *rapid.T, lines []Line) []Line {
	dropped := Source(fmt.Sprint("m", rapid.IntRange(0, 5).Draw(t, "dropped source")))
	var kept []Line
	for _, l := range lines {
		if l.Source != dropped {
			kept = append(kept, l)
		}
	}
	return kept
}

// faultyPlatform is a platform whose calls fail at random while failing is set.
type faultyPlatform struct {
	t              *rapid.T
	failing        bool
	objects        map[string]objects.Object
	firstFigures   map[string]string // first figures reported for each team and window
	reportedTokens map[string]int64  // output tokens by team and window
}

var errNoResponse = errors.New("no response")

func (p *faultyPlatform) grant() Grant {
	return Grant{Holder: "h", Epoch: 1, Held: func() bool { return !p.failing || rapid.Bool().Draw(p.t, "held") }}
}

// drawFault draws the fault of a call: 0 for none, 1 for a request lost before it took
// effect, 2 for a lost response.
func (p *faultyPlatform) drawFault() int {
	if !p.failing {
		return 0
	}
	return rapid.IntRange(0, 2).Draw(p.t, "fault")
}

func (p *faultyPlatform) Get(_ context.Context, _, name string) (objects.Object, error) {
	if p.drawFault() != 0 {
		return objects.Object{}, errNoResponse
	}
	o, ok := p.objects[name]
	if !ok {
		return o, objects.ErrNotFound
	}
	return o, nil
}

func (p *faultyPlatform) Put(_ context.Context, _, name string, expect objects.Version, value any) (objects.Object, error) {
	fault := p.drawFault()
	if fault == 1 {
		return objects.Object{}, errNoResponse
	}
	if p.objects[name].Version != expect {
		return objects.Object{}, objects.ErrConflict
	}
	data, err := json.Marshal(value)
	if err != nil {
		return objects.Object{}, err
	}
	p.objects[name] = objects.Object{Name: name, Version: expect + 1, Value: data}
	if fault == 2 {
		return objects.Object{}, errNoResponse
	}
	return p.objects[name], nil
}

func (p *faultyPlatform) report(_ context.Context, r objects.UsageReport, _ func() bool) error {
	fault := p.drawFault()
	if fault == 1 {
		return errNoResponse
	}
	key := r.Team + r.Window.String()
	figure, _ := json.Marshal(r.Figures)
	if first, seen := p.firstFigures[key]; seen && first != string(figure) {
		p.t.Fatalf("window %s had figure %s and then %s", key, first, figure)
	}
	p.firstFigures[key] = string(figure)
	if p.reportedTokens == nil {
		p.reportedTokens = map[string]int64{}
	}
	p.reportedTokens[key] = r.Figures["s"].OutputTokens
	if fault == 2 {
		return errNoResponse
	}
	return nil
}

func (p *faultyPlatform) total() int64 {
	total := int64(0)
	for _, n := range p.reportedTokens {
		total += n
	}
	return total
}

func (p *faultyPlatform) Delete(context.Context, string, string, objects.Version) error { return nil }
func (p *faultyPlatform) List(context.Context, string) (objects.List, error) {
	return objects.List{}, nil
}
func (p *faultyPlatform) Watch(context.Context, string, objects.Version, time.Duration) (objects.List, error) {
	return objects.List{}, nil
}
