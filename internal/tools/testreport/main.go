// Command testreport reads a test run's JSON report, sets aside the failures
// listed in KNOWN-RED.txt, and prints the closing line of CI.
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

// redMarker begins the line of KNOWN-RED.txt that holds a test's full text.
const redMarker = "test: "

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

func run(reportFile, redFile string) error {
	red, err := knownRed(redFile)
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
				if !red[spec.FullText()] {
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
		return errors.New("the run is not green")
	}
	return nil
}

func knownRed(name string) (map[string]bool, error) {
	red := map[string]bool{}
	data, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return red, nil
	}
	for line := range strings.Lines(string(data)) {
		if test, found := strings.CutPrefix(strings.TrimSpace(line), redMarker); found {
			red[test] = true
		}
	}
	return red, err
}
