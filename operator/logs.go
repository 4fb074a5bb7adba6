package operator

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/logview"
)

// LogReport holds the log lines about an id.
type LogReport struct {
	ID      string         `json:"id"`
	Lines   []logview.Line `json:"lines"`   // ordered by time
	Skipped int            `json:"skipped"` // number of lines that are not log lines
}

// ExplainFromLogs prints the log lines about a past request, batch, item, upstream or
// window. Without paths it reads the logs from standard input. It fails with ExitFailed
// if no line contains the id.
func (o *Operator) ExplainFromLogs(id string, paths []string) error {
	var all []logview.Line
	report := LogReport{ID: id}
	for _, path := range defaultTo(paths, "-") {
		lines, skipped, err := readLog(path)
		if err != nil {
			return &Error{Code: ExitInvalid, Err: err}
		}
		all = append(all, lines...)
		report.Skipped += skipped
	}
	report.Lines = logview.LinesAbout(all, id)
	if len(report.Lines) == 0 {
		return &Error{Code: ExitFailed, Err: fmt.Errorf("none of %d log lines contains %s; lines below the warning level are sampled under load and may be missing", len(all), id)}
	}
	if o.JSON {
		return o.PrintJSON(report)
	}
	for _, l := range report.Lines {
		if _, err := fmt.Fprintln(o.Out, l.Text()); err != nil {
			return err
		}
	}
	if report.Skipped > 0 {
		fmt.Fprintf(o.Out, "skipped %d lines that are not log lines\n", report.Skipped)
	}
	return nil
}

func defaultTo(list []string, value string) []string {
	if len(list) == 0 {
		return []string{value}
	}
	return list
}

// readLog reads a log file; "-" stands for standard input.
func readLog(path string) (lines []logview.Line, skipped int, err error) {
	var in io.Reader = os.Stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, 0, oops.In("operator").With("step", "open log", "file", path).Wrap(err)
		}
		defer func() { err = errors.Join(err, file.Close()) }()
		in = file
	}
	return logview.Read(in)
}
