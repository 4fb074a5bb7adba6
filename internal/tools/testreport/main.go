// Command testreport reads the JSON report of a Ginkgo run and prints the failed
// specs and a summary for CI. It exits with status 1 if a spec that is not listed in
// KNOWN-RED.txt failed, if a suite failed without running specs, or if no spec
// passed.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"

	"github.com/onsi/ginkgo/v2/types"
)

// testPrefix starts the line of a KNOWN-RED.txt entry that holds the full text of
// a spec.
const testPrefix = "test: "

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: testreport REPORT.json KNOWN-RED.txt")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, "testreport:", err)
		os.Exit(1)
	}
}

func run(reportFile, knownFile string) error {
	known, err := readKnownFailures(knownFile)
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
	passed, failed, unexpected := 0, 0, 0
	for _, suite := range suites {
		for _, spec := range suite.SpecReports {
			switch {
			case spec.State.Is(types.SpecStatePassed) && spec.LeafNodeType.Is(types.NodeTypeIt):
				passed++
			case spec.Failed():
				failed++
				if !known[spec.FullText()] {
					unexpected++
					fmt.Println("failed:", spec.FullText())
					continue
				}
				fmt.Println("known red:", spec.FullText())
			}
		}
		if !suite.SuiteSucceeded && len(suite.SpecReports) == 0 {
			unexpected++
			fmt.Println("suite failed:", suite.SuitePath, strings.Join(suite.SpecialSuiteFailureReasons, "; "))
		}
	}
	fmt.Printf("%d passed, %d failed\n", passed, failed)
	if unexpected > 0 || passed == 0 {
		return errors.New("unexpected test failures, or no test passed")
	}
	return nil
}

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
