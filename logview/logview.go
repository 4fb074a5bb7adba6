// Package logview reads the logs of instances and finds the lines that concern one
// request, batch, item, upstream or window.
package logview

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"
)

// Line is a parsed log line.
type Line struct {
	Time     time.Time      `json:"time"` // by the clock of the instance
	Level    string         `json:"level"`
	Instance string         `json:"instance"`
	Message  string         `json:"message"`
	Fields   map[string]any `json:"fields,omitempty"` // all other fields
}

// maxLineBytes limits the length of a line; Read fails on a longer one.
const maxLineBytes = 4 << 20

// Read parses a log with one JSON object per line. It ignores text before the first
// brace of a line, such as a name or time added by a log collector. Lines without a
// valid object, time or message are skipped and counted.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, skipped, oops.In("logview").With("step", "read log").Wrap(err)
	}
	return lines, skipped, nil
}

// timeFormat is the format of times in the logs.
const timeFormat = "2006-01-02T15:04:05.000Z0700"

func parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal([]byte(text[start:]), &fields) != nil {
		return Line{}, false // the caller counts it as skipped
	}
	l := Line{Fields: fields}
	for name, target := range map[string]*string{"level": &l.Level, "instance": &l.Instance, "msg": &l.Message} {
		*target, _ = fields[name].(string) // the level and the instance are optional
		delete(fields, name)
	}
	timestamp, _ := fields["ts"].(string)
	delete(fields, "ts")
	var err error
	l.Time, err = time.Parse(timeFormat, timestamp)
	return l, err == nil && l.Message != ""
}

// hasValue reports whether any string field of the line equals id.
func (l Line) hasValue(id string) bool {
	for _, v := range l.Fields {
		if s, ok := v.(string); ok && s == id {
			return true
		}
	}
	return false
}

// Text formats the line for display, with its fields sorted by name.
func (l Line) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.Time.UTC().Format("15:04:05.000"), l.Instance, l.Message)
	separator := "  "
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, "%s%s %s", separator, name, strings.ReplaceAll(fmt.Sprint(l.Fields[name]), "\n", "; "))
		separator = ", "
	}
	return b.String()
}
