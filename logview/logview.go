// Package logview reads the logs of instances and finds the lines that tell what
// became of one request, batch, item, upstream or window.
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

// Line is one line of a log.
type Line struct {
	Time     time.Time      `json:"time"` // by the clock of its instance
	Level    string         `json:"level"`
	Instance string         `json:"instance"`
	Message  string         `json:"message"`
	Fields   map[string]any `json:"fields,omitempty"` // all others
}

// longestLine bounds a line; longer ones are an error of the reader's.
const longestLine = 4 << 20

// Read reads lines of JSON. Anything before the first brace of a line is left out, as
// log collectors add names and times; lines without an object are counted as skipped.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), longestLine)
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

// timeFormat is that of the logs.
const timeFormat = "2006-01-02T15:04:05.000Z0700"

func parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal([]byte(text[start:]), &fields) != nil {
		return Line{}, false // counted by the caller
	}
	l := Line{Fields: fields}
	for name, to := range map[string]*string{"level": &l.Level, "instance": &l.Instance, "msg": &l.Message} {
		*to, _ = fields[name].(string) // a line without one is still of use
		delete(fields, name)
	}
	at, _ := fields["ts"].(string)
	delete(fields, "ts")
	var err error
	l.Time, err = time.Parse(timeFormat, at)
	return l, err == nil && l.Message != ""
}

// names reports whether a field of the line has a value.
func (l Line) names(id string) bool {
	for _, v := range l.Fields {
		if s, ok := v.(string); ok && s == id {
			return true
		}
	}
	return false
}

// Text returns the line for people: its fields in the order of their names.
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
