package logview

import (
	"slices"
	"time"
)

// contextMargin is the time before the first and after the last line about an id in
// which state changes of the instances involved are included.
const contextMargin = 3 * time.Second

// stateMessages are the log messages that report a change in the state or the
// configuration of an instance. They must match the messages of the writers exactly.
var stateMessages = []string{
	"configuration in force", "started", "stopping", "stopped", "settings read again",
	"the store is lost", "the store is regained", "the store is not reached; other instances are asked", "the store is reached directly again",
	"control role is held", "control role is no longer held",
}

// relatedIDs returns the other ids that a line about id refers to: the batch of an
// item, and the upstream to which an item or request was sent.
func (l Line) relatedIDs(id string) []string {
	var related []string
	if batch, ok := l.Fields["batch"].(string); ok && batch != id {
		related = append(related, batch)
	}
	isSubject := l.Fields["item"] == id || l.Fields["request"] == id
	if upstream, ok := l.Fields["upstream"].(string); ok && isSubject {
		related = append(related, upstream)
	}
	return related
}

// LinesAbout returns the lines that concern an id, ordered by time: lines that contain
// it, lines about its whole batch or about the upstreams it was sent to, and state
// changes of the instances involved within contextMargin. It returns nil if no line
// contains the id. The clocks of instances may differ, so the order of lines from
// different instances is approximate.
func LinesAbout(lines []Line, id string) []Line {
	var direct []Line
	related, instances := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if !l.hasValue(id) {
			continue
		}
		direct = append(direct, l)
		instances[l.Instance] = true
		for _, relatedID := range l.relatedIDs(id) {
			related[relatedID] = true
		}
	}
	if len(direct) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	from := slices.MinFunc(direct, byTime).Time.Add(-contextMargin)
	to := slices.MaxFunc(direct, byTime).Time.Add(contextMargin)
	about := direct
	for _, l := range lines {
		if l.hasValue(id) || l.Time.Before(from) || l.Time.After(to) {
			continue
		}
		if l.concernsAny(related, instances[l.Instance]) || (instances[l.Instance] && slices.Contains(stateMessages, l.Message)) {
			about = append(about, l)
		}
	}
	slices.SortStableFunc(about, byTime)
	return about
}

// concernsAny reports whether the line is about one of the related batches or
// upstreams as a whole and not about another item or request. A line in which an
// instance that is not involved reports the state of an upstream does not count.
func (l Line) concernsAny(related map[string]bool, involved bool) bool {
	if _, upstreamState := l.Fields["id"]; upstreamState && !involved {
		return false
	}
	if _, other := l.Fields["item"]; other {
		return false
	}
	if _, other := l.Fields["request"]; other {
		return false
	}
	for id := range related {
		if l.hasValue(id) {
			return true
		}
	}
	return false
}
