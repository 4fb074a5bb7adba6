package logview

import (
	"slices"
	"time"
)

// margin is how long before its first line and after its last one what instances
// came to believe may bear on a request.
const margin = 3 * time.Second

// beliefs are the messages that tell what an instance believes from then on.
var beliefs = []string{
	"configuration in force", "started", "stopping", "stopped", "settings read again",
	"the store is lost", "the store is regained", "the store is not reached; other instances are asked", "the store is reached directly again",
	"control role is held", "control role is no longer held",
}

// linked returns what else a line about an id is about: the batch of an item, and
// the upstreams that a single item or request was sent to.
func (l Line) linked(id string) []string {
	var links []string
	if batch, ok := l.Fields["batch"].(string); ok && batch != id {
		links = append(links, batch)
	}
	single := l.Fields["item"] == id || l.Fields["request"] == id
	if upstream, ok := l.Fields["upstream"].(string); ok && single {
		links = append(links, upstream)
	}
	return links
}

// About returns what the lines tell of an id, in the order of time: lines that name
// it, lines on its batch as a whole, and what the instances and upstreams of these
// lines were believed to be about then. Clocks of instances may differ; the order
// between instances is only as good as these.
func LinesAbout(lines []Line, id string) []Line {
	var direct []Line
	linked, instances := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if !l.names(id) {
			continue
		}
		direct = append(direct, l)
		instances[l.Instance] = true
		for _, link := range l.linked(id) {
			linked[link] = true
		}
	}
	if len(direct) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	from := slices.MinFunc(direct, byTime).Time.Add(-margin)
	to := slices.MaxFunc(direct, byTime).Time.Add(margin)
	about := direct
	for _, l := range lines {
		if l.names(id) || l.Time.Before(from) || l.Time.After(to) {
			continue
		}
		if l.onWhole(linked, instances[l.Instance]) || (instances[l.Instance] && slices.Contains(beliefs, l.Message)) {
			about = append(about, l)
		}
	}
	slices.SortStableFunc(about, byTime)
	return about
}

// onWhole reports whether the line is on one of the linked batches or upstreams as a
// whole, not on another item that it had to do with. What an instance that had no
// part in it believed of an upstream does not count.
func (l Line) onWhole(linked map[string]bool, involved bool) bool {
	if _, belief := l.Fields["id"]; belief && !involved {
		return false
	}
	if _, other := l.Fields["item"]; other {
		return false
	}
	if _, other := l.Fields["request"]; other {
		return false
	}
	for name := range linked {
		if l.names(name) {
			return true
		}
	}
	return false
}
