// Command testreport reads the JSON report of a Ginkgo run and prints the failed
// specs, with the reason of each failure, and a summary for CI. For a suite that ended
// without a report it prints the data race, the panic or the last lines from the output of
// the run, so that the last lines of a CI log name the cause. It exits with status 1 if a spec that is not listed in
// KNOWN-RED.txt failed, if a suite failed without a failed spec, if a suite of the named
// folders is missing from the report, or if no spec passed.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/onsi/ginkgo/v2/types"
)

// testPrefix starts the line of a KNOWN-RED.txt entry that holds the full text of
// a spec.
const testPrefix = "test: "

func main() {
	if len(os.Args) < 5 {
		fmt.Fprintln(os.Stderr, "usage: testreport REPORT.json OUTPUT KNOWN-RED.txt FOLDER...")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[2], os.Args[3], os.Args[4:]); err != nil {
		fmt.Fprintln(os.Stderr, "testreport:", err)
		os.Exit(1)
	}
}

func run(reportFile, outputFile, knownFile string, folders []string) error {
	known, err := readKnownFailures(knownFile)
	if err != nil {
		return err
	}
	expected, err := ginkgoSuites(folders)
	if err != nil {
		return err
	}
	data, err := os.ReadFile(reportFile)
	if err != nil {
		return err
	}
	var suites []types.Report
	if err := json.Unmarshal(data, &suites); err != nil {
		return err
	}
	output, err := os.ReadFile(outputFile)
	if err != nil {
		return err
	}
	v := judge(suites, known, expected)
	explained, err := explainEnded(string(output), v.ended)
	if err != nil {
		return err
	}
	v.print(os.Stdout, explained)
	if v.unexpected > 0 || v.passed == 0 {
		return errors.New("unexpected test failures, or no test passed")
	}
	return nil
}

// verdict is the result of a run.
type verdict struct {
	passed, failed int // specs
	unexpected     int // failures that KNOWN-RED.txt does not list
	lines          []string
	details        []string // reasons of failed specs
	ended          []string // folders of suites without a report, or that failed without a failed spec
}

// print writes the verdict. The names of what failed come last, after all causes.
func (v *verdict) print(w io.Writer, explained []string) {
	for _, line := range slices.Concat(v.details, explained, v.lines) {
		fmt.Fprintln(w, line)
	}
	fmt.Fprintf(w, "%d passed, %d failed\n", v.passed, v.failed)
}

// judge returns the verdict on the reported suites. known holds the full texts of the
// specs that may fail, expected the absolute paths of the suites that must be reported.
func judge(suites []types.Report, known map[string]bool, expected []string) verdict {
	v := verdict{}
	reported := map[string]bool{}
	for i := range suites {
		reported[suites[i].SuitePath] = true
		v.addSuite(&suites[i], known)
	}
	for _, path := range expected {
		if !reported[path] {
			v.ended = append(v.ended, path)
			v.addUnexpected("suite without a report: " + path)
		}
	}
	return v
}

// addSuite adds the specs of a suite. A suite can fail without a failed spec: it exceeds
// the time limit, or the process ends, for example after a data race.
func (v *verdict) addSuite(suite *types.Report, known map[string]bool) {
	failed := 0
	for i := range suite.SpecReports {
		spec := &suite.SpecReports[i]
		if spec.Failed() {
			v.details = append(v.details, reason(spec))
		}
		switch {
		case spec.State.Is(types.SpecStatePassed) && spec.LeafNodeType.Is(types.NodeTypeIt):
			v.passed++
		case spec.Failed() && known[spec.FullText()]:
			failed++
			v.lines = append(v.lines, "known red: "+spec.FullText())
		case spec.Failed():
			failed++
			v.addUnexpected("failed: " + spec.FullText())
		}
	}
	v.failed += failed
	if !suite.SuiteSucceeded && (failed == 0 || len(suite.SpecialSuiteFailureReasons) > 0) {
		v.ended = append(v.ended, suite.SuitePath)
		v.addUnexpected("suite failed: " + suite.SuitePath + " " + strings.Join(suite.SpecialSuiteFailureReasons, "; "))
	}
}

func (v *verdict) addUnexpected(line string) {
	v.unexpected++
	v.lines = append(v.lines, line)
}

// ginkgoSuites returns the absolute paths of the packages in folders, and in folders
// below them, that have a Ginkgo suite.
func ginkgoSuites(folders []string) ([]string, error) {
	var suites []string
	for _, folder := range folders {
		err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
				return err
			}
			source, err := os.ReadFile(path)
			if err != nil || !entryPoint.Match(source) {
				return err
			}
			absolute, err := filepath.Abs(filepath.Dir(path))
			suites = append(suites, absolute)
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	return suites, nil
}

// entryPoint matches the test function that runs the specs of a package.
var entryPoint = regexp.MustCompile(`(?m)^func TestSuite\(`)

func readKnownFailures(name string) (map[string]bool, error) {
	known := map[string]bool{}
	data, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return known, nil
	}
	for line := range strings.Lines(string(data)) {
		if test, found := strings.CutPrefix(strings.TrimSpace(line), testPrefix); found {
			known[test] = true
		}
	}
	return known, err
}
