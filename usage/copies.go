package usage

import (
	"sync"
	"time"
)

// Copies holds other sources' lines for them. It is safe for concurrent use.
type Copies struct {
	// silence is how long a source must not have pushed to count as orphaned.
	silence time.Duration
	// retention is how long lines of a silent source are kept.
	retention time.Duration

	mu      sync.Mutex // guards sources
	sources map[Source]*copied
}

type copied struct {
	heard time.Time
	lines map[subject]Line
}

// NewCopies returns an empty holder.
func NewCopies(silence, retention time.Duration) *Copies {
	return &Copies{silence: silence, retention: retention, sources: map[Source]*copied{}}
}

// Take merges pushed lines. Pushes may be repeated and arrive in any order.
func (c *Copies) Merge(lines []Line, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, line := range lines {
		held := c.sources[line.Source]
		if held == nil {
			held = &copied{lines: map[subject]Line{}}
			c.sources[line.Source] = held
		}
		held.heard = now
		s := subject{line.Team, line.Service}
		held.lines[s] = mergeLines(held.lines[s], line)
	}
}

// Orphans returns the lines of sources that have fallen silent, and forgets
// those that have been silent for the retention time.
func (c *Copies) Orphans(now time.Time) []Line {
	c.mu.Lock()
	defer c.mu.Unlock()
	var lines []Line
	for source, held := range c.sources {
		silent := now.Sub(held.heard)
		if silent > c.retention {
			delete(c.sources, source)
			continue
		}
		if silent < c.silence {
			continue
		}
		for _, line := range held.lines {
			lines = append(lines, line)
		}
	}
	return lines
}

// mergeLines joins two states of the same source, team and service.
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
			mark = Mark{Window: a.Marks[i].Window, Total: larger(a.Marks[i].Total, b.Marks[j].Total)}
			i++
			j++
		}
		total = larger(total, mark.Total)
		merged.Marks = append(merged.Marks, Mark{Window: mark.Window, Total: total})
	}
	merged.Marks = merged.Marks[max(0, len(merged.Marks)-MaxMarks):]
	return merged
}
