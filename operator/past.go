package operator

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/logview"
)

// Past is what logs tell of an id.
type Past struct {
	ID      string         `json:"id"`
	Lines   []logview.Line `json:"lines"`   // in the order of time
	Skipped int            `json:"skipped"` // lines that were no log lines
}

// ExplainPast prints what the logs of instances tell of a past request, batch, item,
// upstream or window. Without paths the logs come from standard input.
func (o *Operator) ExplainPast(id string, paths []string) error {
	var all []logview.Line
	p := Past{ID: id}
	for _, path := range defaultTo(paths, "-") {
		lines, skipped, err := readLog(path)
		if err != nil {
			return &Error{Code: ExitInvalid, Err: err}
		}
		all = append(all, lines...)
		p.Skipped += skipped
	}
	p.Lines = logview.LinesAbout(all, id)
	if len(p.Lines) == 0 {
		return &Error{Code: ExitFailed, Err: fmt.Errorf("no line of %d names %s; usual lines are sampled under load", len(all), id)}
	}
	if o.JSON {
		return o.PrintJSON(p)
	}
	for _, l := range p.Lines {
		if _, err := fmt.Fprintln(o.Out, l.Text()); err != nil {
			return err
		}
	}
	if p.Skipped > 0 {
		fmt.Fprintf(o.Out, "%d lines were no log lines\n", p.Skipped)
	}
	return nil
}

func defaultTo(list []string, value string) []string {
	if len(list) == 0 {
		return []string{value}
	}
	return list
}

// readLog reads one log; "-" is standard input.
func readLog(path string) (lines []logview.Line, skipped int, err error) {
	var from io.Reader = os.Stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, 0, oops.In("operator").With("step", "open log", "file", path).Wrap(err)
		}
		defer func() { err = errors.Join(err, file.Close()) }()
		from = file
	}
	return logview.Read(from)
}
