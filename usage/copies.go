package usage

import (
	"sync"
	"time"
)

// Copies holds replicas of the lines of other sources. It is safe for concurrent use.
type Copies struct {
	// orphanAfter is the time without a push after which a source is orphaned.
	orphanAfter time.Duration
	// retention is how long lines are kept after the last push of their source.
	retention time.Duration

	mu      sync.Mutex // guards sources
	sources map[Source]*sourceCopy
}

// sourceCopy is the replica of one source.
type sourceCopy struct {
	lastPush time.Time
	lines    map[usageKey]Line
}

// NewCopies returns an empty Copies. A source is orphaned orphanAfter its last push, and
// its lines are dropped retention after it.
func NewCopies(orphanAfter, retention time.Duration) *Copies {
	return &Copies{orphanAfter: orphanAfter, retention: retention, sources: map[Source]*sourceCopy{}}
}

// Merge adds pushed lines. Pushes may be repeated and arrive in any order.
func (c *Copies) Merge(lines []Line, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, line := range lines {
		copied := c.sources[line.Source]
		if copied == nil {
			copied = &sourceCopy{lines: map[usageKey]Line{}}
			c.sources[line.Source] = copied
		}
		copied.lastPush = now
		key := usageKey{line.Team, line.Service}
		copied.lines[key] = mergeLines(copied.lines[key], line)
	}
}

// Orphans returns the lines of orphaned sources, and drops sources whose last push is
// older than the retention time.
func (c *Copies) Orphans(now time.Time) []Line {
	c.mu.Lock()
	defer c.mu.Unlock()
	var lines []Line
	for source, copied := range c.sources {
		sinceLastPush := now.Sub(copied.lastPush)
		if sinceLastPush > c.retention {
			delete(c.sources, source)
			continue
		}
		if sinceLastPush < c.orphanAfter {
			continue
		}
		for _, line := range copied.lines {
			lines = append(lines, line)
		}
	}
	return lines
}

// mergeLines merges two lines of the same source, team and service. The merged marks
// have the larger total of each window, and totals that never decrease.
func mergeLines(a, b Line) Line {
	merged := Line{Source: b.Source, Team: b.Team, Service: b.Service}
	var total Figure
	for i, j := 0, 0; i < len(a.Marks) || j < len(b.Marks); {
		var mark Mark
		switch {
		case j == len(b.Marks) || (i < len(a.Marks) && a.Marks[i].Window.Before(b.Marks[j].Window)):
			mark = a.Marks[i]
			i++
		case i == len(a.Marks) || b.Marks[j].Window.Before(a.Marks[i].Window):
			mark = b.Marks[j]
			j++
		default:
			mark = Mark{Window: a.Marks[i].Window, Total: maxOf(a.Marks[i].Total, b.Marks[j].Total)}
			i++
			j++
		}
		total = maxOf(total, mark.Total)
		merged.Marks = append(merged.Marks, Mark{Window: mark.Window, Total: total})
	}
	merged.Marks = merged.Marks[max(0, len(merged.Marks)-MaxMarks):]
	return merged
}
