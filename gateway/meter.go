package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/objects"
)

// Kinds of the objects in which usage is stored.
const (
	kindTally  = "usage-tallies" // counts of one instance, by window
	kindReport = "usage-reports" // final counts of one window
)

// retainedWindows is the number of windows whose counts an instance retains.
const retainedWindows = 8

// tally is the stored form of an instance's counts, by window and team.
type tally struct {
	Incarnation string                     `json:"incarnation,omitempty"` // of the writer
	Windows     map[int64]map[string]int64 `json:"windows"`
}

// meter counts, by window and team, the requests that this instance started.
type meter struct {
	windowLength time.Duration
	publishing   chan struct{} // holds a value while the counts are stored, so that older ones never replace newer ones

	mu            sync.Mutex // guards all below
	windows       map[int64]map[string]int64
	changed       bool
	storedVersion objects.Version // of the stored counts; 0 if none are known to exist
}

// version returns the version of the stored counts.
func (m *meter) version() objects.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storedVersion
}

// setVersion records the version of the stored counts unless the write failed.
func (m *meter) setVersion(v objects.Version, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		m.storedVersion = v
	}
}

// newMeter returns a meter with windows of the given length.
func newMeter(length time.Duration) *meter {
	return &meter{windowLength: length, publishing: make(chan struct{}, 1), windows: map[int64]map[string]int64{}}
}

// window returns the number of the window that contains the wall-clock time t.
func (m *meter) window(t time.Time) int64 { return t.UnixMilli() / m.windowLength.Milliseconds() }

// windowStart returns the start of a window.
func (m *meter) windowStart(window int64) time.Time {
	return time.UnixMilli(window * m.windowLength.Milliseconds())
}

// count counts a request of a team that started at a wall-clock time.
func (m *meter) count(team string, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.window(at)
	if m.windows[n] == nil {
		m.windows[n] = map[string]int64{}
		delete(m.windows, n-retainedWindows)
	}
	m.windows[n][team]++
	m.changed = true
}

// restore adds the counts that an earlier incarnation of this instance stored, except
// those of windows that are no longer retained.
func (m *meter) restore(t tally, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for n, counts := range t.Windows {
		if n <= m.window(now)-retainedWindows {
			continue
		}
		if m.windows[n] == nil {
			m.windows[n] = map[string]int64{}
		}
		for team, count := range counts {
			m.windows[n][team] += count
		}
	}
}

// snapshot returns the counts to store and whether they have changed since the last
// call.
func (m *meter) snapshot() (tally, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := m.changed
	m.changed = false
	t := tally{Windows: map[int64]map[string]int64{}}
	for n, counts := range m.windows {
		t.Windows[n] = maps.Clone(counts)
	}
	return t, changed
}

// markChanged makes the next snapshot report a change, after a failed write.
func (m *meter) markChanged() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changed = true
}

// publishDelay is how long after the end of a window its counts are stored. A request
// is counted only when its response is known, in the window in which it started.
const publishDelay = 2200 * time.Millisecond

// runTallyPublisher stores this instance's counts once per window until ctx ends.
func (g *Gateway) runTallyPublisher(ctx context.Context) {
	for ctx.Err() == nil {
		now := g.wall.Now()
		next := g.meter.windowStart(g.meter.window(now.Add(-publishDelay)) + 1).Add(publishDelay)
		select {
		case <-ctx.Done():
		case <-g.clock.After(next.Sub(now)):
			g.publishTally(ctx)
		}
	}
}

const (
	// tallyRetryDelay is the delay before a failed write of the counts is repeated.
	tallyRetryDelay = 250 * time.Millisecond
	// tallyRetryTime limits the repetitions. The figures of the window are final soon
	// after, and the next window's write has these counts too.
	tallyRetryTime = 5 * time.Second
)

// publishTally stores the counts if they have changed. It retries for tallyRetryTime or
// until ctx ends.
//
// Load pattern: at the end of a window all instances write at once, and a busy store
// rejects some of the writes for a few seconds.
func (g *Gateway) publishTally(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tallyRetryTime)
	defer cancel()
	select {
	case g.meter.publishing <- struct{}{}:
		defer func() { <-g.meter.publishing }()
	case <-ctx.Done():
		return
	}
	for {
		t, changed := g.meter.snapshot()
		if !changed {
			return
		}
		err := g.storeTally(ctx, t)
		if err == nil {
			return
		}
		g.meter.markChanged()
		g.usageOutage.record(g.clock.Now(), err)
		g.warn("store usage counts", err)
		select {
		case <-ctx.Done():
			return
		case <-g.clock.After(tallyRetryDelay):
		}
	}
}

// storeTally writes the counts. It uses the version of the last write and reads the
// current one only after a conflict. A conflict of the first write means that an earlier
// incarnation of this instance stored counts, which it adds.
func (g *Gateway) storeTally(ctx context.Context, t tally) error {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	for {
		t.Incarnation = g.membership.self.Incarnation
		first := g.meter.version() == 0
		o, err := g.store.Put(ctx, kindTally, g.settings.Name, g.meter.version(), t)
		if !errors.Is(err, objects.ErrConflict) {
			g.meter.setVersion(o.Version, err)
			return err
		}
		o, err = g.store.Get(ctx, kindTally, g.settings.Name)
		if err != nil && !errors.Is(err, objects.ErrNotFound) {
			return err
		}
		if first && err == nil {
			g.restoreTally(o)
			t, _ = g.meter.snapshot()
		}
		g.meter.setVersion(o.Version, nil)
	}
}

// restoreTally adds stored counts unless this process wrote them, in a write whose
// response was lost.
func (g *Gateway) restoreTally(o objects.Object) {
	var earlier tally
	if err := json.Unmarshal(o.Value, &earlier); err != nil {
		g.warn("decode stored usage counts", err)
		return
	}
	if earlier.Incarnation != g.membership.self.Incarnation {
		g.meter.restore(earlier, g.wall.Now())
	}
}

// sumWindow adds up the counts of a window by team over all instances.
func sumWindow(tallies []tally, window int64) map[string]int64 {
	sum := map[string]int64{}
	for _, t := range tallies {
		for team, count := range t.Windows[window] {
			sum[team] += count
		}
	}
	return sum
}

// finalFigures is the stored form of a window's final counts, by team. They never change
// once they are stored.
type finalFigures struct {
	Counts map[string]int64 `json:"counts"`
	By     string           `json:"by"` // name of the instance that stored them
}

// reportUsage finalizes the figures of ended windows and reports them to the platform.
// checkLease returns an error if the control role is no longer held.
func (g *Gateway) reportUsage(ctx context.Context, r *usageReporter, checkLease func() error) {
	r.mu.Lock() // an ended term of the same epoch may still be in a call
	defer r.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	now := g.wall.Now()
	late, at := g.currentSettings.Load().UsageLate, g.clock.Now()
	failing := g.usageOutage.recent(at, tallyRetryTime) || g.outage.recent(at, tallyRetryTime)
	last := g.meter.window(now.Add(-reportWait(late, failing))) - 1
	if r.next == 0 {
		r.next = last - lookbackWindows
	}
	for ; r.next <= last; r.next++ {
		if err := g.reportWindow(ctx, r.next, checkLease); err != nil {
			g.warn("report usage", err)
			if now.Sub(g.meter.windowStart(r.next+1)) < late+r.retryGrace {
				return // the window is retried on the next call
			}
		}
	}
}

// usageRetryGrace is how long after its due time a report is still retried.
const usageRetryGrace = 20 * time.Second

// usageReports holds the progress of usage reports in the last epoch of the control role that
// this instance held.
//
// Load pattern: a late renewal ends a term, and the next one has the same epoch, since no other
// instance has held the role meanwhile.
type usageReports struct {
	mu       sync.Mutex // guards all below
	epoch    int64
	reporter *usageReporter
}

// of returns the progress in an epoch.
func (u *usageReports) of(epoch int64) *usageReporter {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.reporter == nil || u.epoch != epoch {
		u.epoch, u.reporter = epoch, &usageReporter{retryGrace: usageRetryGrace}
	}
	return u.reporter
}

// usageReporter is the progress of usage reports in one epoch of the control role.
type usageReporter struct {
	mu         sync.Mutex    // held by the term that reports; guards all below
	next       int64         // next window to report; 0 before the first
	retryGrace time.Duration // how long after its due time a report is still retried
}

const (
	// reportDelay is how long the holder of the control role waits for the counts of
	// all instances after publishDelay.
	reportDelay = 1200 * time.Millisecond
	// reportReserve is how long before its due time a window is reported at the latest. It
	// covers two calls of the platform.
	reportReserve = 3 * time.Second
	// lookbackWindows is how many earlier windows a new holder reports.
	lookbackWindows = 2
)

// reportWait returns how long after its end a window is reported that is due late after
// its end. failing means that calls of the store have failed a short time ago.
//
// Load pattern: a store that is busy at the end of a window rejects the counts of some
// instances for a few seconds. The figures of a window never change, so that counts that
// arrive later would be lost.
func reportWait(late time.Duration, failing bool) time.Duration {
	const usual = publishDelay + reportDelay
	if !failing {
		return usual
	}
	return max(usual, late-reportReserve)
}

// reportWindow finalizes and reports one window. A window without usage is not
// reported.
func (g *Gateway) reportWindow(ctx context.Context, window int64, checkLease func() error) error {
	name := strconv.FormatInt(window, 10)
	f, err := g.finalize(ctx, name, window)
	if err != nil || len(f.Counts) == 0 {
		return err
	}
	if err := checkLease(); err != nil {
		return err
	}
	holder, err := g.holder()
	if err != nil {
		return err
	}
	if err := g.cloud.ReportUsage(ctx, holder, window, f.Counts); err != nil {
		return err
	}
	g.log.Info("usage reported", zap.Int64("window", window), zap.Any("counts", f.Counts), zap.Int64("epoch", holder.Epoch))
	return nil
}

// finalize returns the figures of a window and stores them under name. The figures
// stored first are final; if there are any, it returns those.
func (g *Gateway) finalize(ctx context.Context, name string, window int64) (finalFigures, error) {
	var f finalFigures
	all, err := g.store.List(ctx, kindTally)
	if err != nil {
		return f, err
	}
	var tallies []tally
	for _, o := range all.Objects {
		var t tally
		if err := json.Unmarshal(o.Value, &t); err != nil {
			return f, oops.In("gateway").With("step", "decode counts", "name", o.Name).Wrap(err)
		}
		tallies = append(tallies, t)
	}
	f = finalFigures{Counts: sumWindow(tallies, window), By: g.settings.Name}
	w := objects.PutUntilDefinitive(ctx, g.store, kindReport, name, 0, f)
	if w.Outcome == objects.Done {
		return f, nil
	}
	o, err := g.store.Get(ctx, kindReport, name)
	if err != nil {
		return finalFigures{}, err
	}
	// Decode into a new value: json.Unmarshal keeps the existing entries of a map.
	var stored finalFigures
	if err := json.Unmarshal(o.Value, &stored); err != nil {
		return finalFigures{}, oops.In("gateway").With("step", "decode figures", "window", window).Wrap(err)
	}
	return stored, nil
}
