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

// Kinds of object that usage is kept in.
const (
	kindTally  = "usage-tallies" // counts of each instance
	kindReport = "usage-reports" // frozen figures of each window
)

// keptWindows is how many windows an instance keeps its counts of.
const keptWindows = 8

// tally is the stored form of an instance's counts: by window and team.
type tally struct {
	Windows map[int64]map[string]int64 `json:"windows"`
}

// meter counts the requests of teams that began to run here.
type meter struct {
	length time.Duration

	mu      sync.Mutex // guards all below
	windows map[int64]map[string]int64
	changed bool
	known   objects.Version // of the stored counts; 0 when there are none as far as known
}

// version returns the version of the stored counts.
func (m *meter) version() objects.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.known
}

// stored notes the version of the stored counts, unless the write failed.
func (m *meter) stored(v objects.Version, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		m.known = v
	}
}

func newMeter(length time.Duration) *meter {
	return &meter{length: length, windows: map[int64]map[string]int64{}}
}

// window returns the number of the window of a time of day.
func (m *meter) window(t time.Time) int64 { return t.UnixMilli() / m.length.Milliseconds() }

// begins returns the start of a window.
func (m *meter) begins(window int64) time.Time {
	return time.UnixMilli(window * m.length.Milliseconds())
}

func (m *meter) count(team string, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.window(at)
	if m.windows[n] == nil {
		m.windows[n] = map[string]int64{}
		delete(m.windows, n-keptWindows)
	}
	m.windows[n][team]++
	m.changed = true
}

// restore adds the counts that an earlier incarnation stored.
func (m *meter) restore(t tally, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for n, counts := range t.Windows {
		if n <= m.window(now)-keptWindows {
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

// take returns the counts to store, and false when nothing has changed.
func (m *meter) take() (tally, bool) {
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

func (m *meter) again() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changed = true
}

// tallyDelay is how long after a window's end its counts are stored: requests
// that began before it are counted when their answer is known.
const tallyDelay = 2200 * time.Millisecond

// publishTallies stores this instance's counts once a window.
func (g *Gateway) publishTallies(ctx context.Context) {
	g.restoreTally(ctx)
	for ctx.Err() == nil {
		now := g.wall.Now()
		next := g.meter.begins(g.meter.window(now.Add(-tallyDelay)) + 1).Add(tallyDelay)
		select {
		case <-ctx.Done():
		case <-g.clock.After(next.Sub(now)):
			g.publishNow(ctx)
		}
	}
}

func (g *Gateway) restoreTally(ctx context.Context) {
	for ctx.Err() == nil {
		o, err := g.store.Get(ctx, kindTally, g.settings.Name)
		if errors.Is(err, objects.ErrNotFound) {
			return
		}
		var t tally
		if err == nil {
			if err = json.Unmarshal(o.Value, &t); err != nil {
				g.warn("decode stored counts", err)
				return
			}
			g.meter.restore(t, g.wall.Now())
			g.meter.stored(o.Version, nil)
			return
		}
		g.clock.Sleep(maxFollowPause)
	}
}

// publishNow stores the counts, if there are new ones.
func (g *Gateway) publishNow(ctx context.Context) {
	t, changed := g.meter.take()
	if !changed {
		return
	}
	if err := g.storeTally(ctx, t); err != nil {
		g.meter.again()
		g.warn("store counts of usage", err)
	}
}

// storeTally writes the counts; the version of the last write is known mostly.
func (g *Gateway) storeTally(ctx context.Context, t tally) error {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	for {
		o, err := g.store.Put(ctx, kindTally, g.settings.Name, g.meter.version(), t)
		if !errors.Is(err, objects.ErrConflict) {
			g.meter.stored(o.Version, err)
			return err
		}
		o, err = g.store.Get(ctx, kindTally, g.settings.Name)
		if err != nil && !errors.Is(err, objects.ErrNotFound) {
			return err
		}
		g.meter.stored(o.Version, nil)
	}
}

// sumOf adds the counts of a window over all instances.
func sumOf(tallies []tally, window int64) map[string]int64 {
	sum := map[string]int64{}
	for _, t := range tallies {
		for team, count := range t.Windows[window] {
			sum[team] += count
		}
	}
	return sum
}

// frozen is the stored form of a window's figures, which never change once they
// are stored.
type frozen struct {
	Counts map[string]int64 `json:"counts"`
	By     string           `json:"by"` // instance that froze them
}

// reportUsage freezes the figures of windows that are over and reports them.
func (g *Gateway) reportUsage(ctx context.Context, r *reporter, check func() error) {
	now := g.wall.Now()
	last := g.meter.window(now.Add(-tallyDelay-reportDelay)) - 1
	if r.next == 0 {
		r.next = last - lookBack
	}
	for ; r.next <= last; r.next++ {
		if err := g.reportWindow(ctx, r.next, check); err != nil {
			g.warn("report usage", err)
			if now.Sub(g.meter.begins(r.next+1)) < g.live.Load().UsageLate+r.patience {
				return // again soon
			}
		}
	}
}

// reporter is the progress of the holder of the control role.
type reporter struct {
	next     int64         // window to report
	patience time.Duration // how much later than due a report is still tried
}

const (
	// reportDelay is how long the holder waits for the counts of all instances.
	reportDelay = 1200 * time.Millisecond
	// lookBack is how many windows before its time a new holder reports.
	lookBack = 2
)

func (g *Gateway) reportWindow(ctx context.Context, window int64, check func() error) error {
	name := strconv.FormatInt(window, 10)
	f, err := g.freeze(ctx, name, window)
	if err != nil || len(f.Counts) == 0 {
		return err
	}
	if err := check(); err != nil {
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

// freeze returns the figures of a window. The first ones stored are final.
func (g *Gateway) freeze(ctx context.Context, name string, window int64) (frozen, error) {
	var f frozen
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
	f = frozen{Counts: sumOf(tallies, window), By: g.settings.Name}
	w := objects.PutUntilDefinitive(ctx, g.store, kindReport, name, 0, f)
	if w.Outcome == objects.Done {
		return f, nil
	}
	o, err := g.store.Get(ctx, kindReport, name)
	if err != nil {
		return frozen{}, err
	}
	// Not into f: decoding into a map that has entries keeps them.
	var stored frozen
	if err := json.Unmarshal(o.Value, &stored); err != nil {
		return frozen{}, oops.In("gateway").With("step", "decode figures", "window", window).Wrap(err)
	}
	return stored, nil
}
