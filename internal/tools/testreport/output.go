package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/onsi/ginkgo/v2/types"
)

const (
	// maxCauseLines is the number of lines printed from a data race or panic on. It holds
	// the two accesses of a data race and where their goroutines were started.
	maxCauseLines = 60
	// maxTailLines is the number of last lines printed for a suite whose output shows no
	// data race or panic.
	maxTailLines = 30
	// maxReasonLines is the number of lines printed of the message of a failed spec.
	maxReasonLines = 20
)

// heading matches the start of a suite's output: of one suite of several, or of the only
// one. The description of the suite is the first non-empty group.
var heading = regexp.MustCompile(`\[\d+\] (.+?) - \d+/\d+ specs|^Running Suite: (.+) - `)

// runEnd matches the first line after the output of the suites.
var runEnd = regexp.MustCompile(`^(Could not open |Ginkgo ran )`)

// causeStart matches the text from which on the output says why a process has ended. It
// begins a line or follows the marks of specs.
var causeStart = regexp.MustCompile(`(?:^\s*|specs |[•SP])(WARNING: DATA RACE|panic: |fatal error: |SIG[A-Z]+: |signal: )`)

// causes returns the lines of a run's output that say why the suite with the given
// description has ended.
func causes(output, description string) []string {
	lines := suiteOutput(output, description)
	for n, line := range lines {
		if at := causeStart.FindStringSubmatchIndex(line); at != nil {
			found := lines[n:min(len(lines), n+maxCauseLines)]
			found[0] = line[at[2]:] // without the marks of earlier specs
			return found
		}
	}
	if len(lines) == 0 {
		return []string{"no output of the suite was found"}
	}
	return lines[max(0, len(lines)-maxTailLines):]
}

// suiteOutput returns the lines of the suites with the given description.
func suiteOutput(output, description string) []string {
	var lines []string
	inside := false
	for line := range strings.Lines(output) {
		line = strings.TrimRight(line, "\n")
		if match := heading.FindStringSubmatch(line); match != nil {
			inside = match[1]+match[2] == description
		} else if runEnd.MatchString(line) {
			inside = false
		}
		if inside {
			lines = append(lines, line)
		}
	}
	return lines
}

// reason returns why a spec failed, and where.
func reason(spec *types.SpecReport) string {
	lines := strings.Split(strings.TrimSpace(spec.Failure.Message+"\n"+spec.Failure.ForwardedPanic), "\n")
	lines = lines[:min(len(lines), maxReasonLines)]
	return fmt.Sprintf("%s\n  at %s\n    %s", spec.FullText(), spec.Failure.Location, strings.Join(lines, "\n    "))
}

// explainEnded returns, for each of the suites in the given folders, why it has ended.
func explainEnded(output string, folders []string) ([]string, error) {
	var explained []string
	for _, folder := range folders {
		description, err := suiteDescription(folder)
		if err != nil {
			return nil, err
		}
		explained = append(explained, "end of the output of "+folder+":")
		for _, line := range causes(output, description) {
			explained = append(explained, "  "+line)
		}
	}
	return explained, nil
}

// descriptionCall matches the call that names a suite.
var descriptionCall = regexp.MustCompile(`RunSpecs\(\w+, "([^"]+)"`)

// suiteDescription returns the description of the Ginkgo suite in a folder; empty if it
// has none.
func suiteDescription(folder string) (string, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*_test.go"))
	if err != nil {
		return "", err
	}
	for _, name := range files {
		source, err := os.ReadFile(name)
		if err != nil {
			return "", err
		}
		if match := descriptionCall.FindSubmatch(source); match != nil {
			return string(match[1]), nil
		}
	}
	return "", nil
}
