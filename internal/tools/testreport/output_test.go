package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2/types"
)

// runOutput is the output of a run of four suites: one passes, one is ended by a data race,
// one by a panic in one of several processes, and one has a failed spec.
const runOutput = `[1] Alpha - 2/2 specs •• SUCCESS! 988.292µs PASS
[1] Beta - 2/2 specs •==================
WARNING: DATA RACE
Read at 0x000000d21f98 by goroutine 15:
  example/beta.work()
      /src/beta/work.go:10 +0x40
==================
[1] Gamma - 2/2 specs - 4 procs •
Output from proc 1:
  PASS
Output from proc 2:
  panic: boom

  goroutine 35 [running]:
** End **[1] Delta - 2/2 specs •
• [FAILED] [0.001 seconds]
Could not open bin/beta_race.json:
Ginkgo ran 4 suites in 2.478788099s
`

// CI printed only "suite without a report" for a suite that a data race or a panic had
// ended.
func TestCauseOfEndedSuite(t *testing.T) {
	for _, c := range []struct{ suite, first, last string }{
		{"Beta", "WARNING: DATA RACE", "=================="},
		{"Gamma", "panic: boom", "  goroutine 35 [running]:"},
	} {
		got := causes(runOutput, c.suite)
		if len(got) == 0 || got[0] != c.first || !slices.Contains(got, c.last) {
			t.Errorf("%s: %q does not show the cause", c.suite, got)
		}
		if strings.Contains(strings.Join(got, "\n"), "Delta") {
			t.Errorf("%s: %q holds the output of another suite", c.suite, got)
		}
	}
}

// The output of a suite that ends without a data race or panic was not shown either.
func TestCauseUnknown(t *testing.T) {
	long := "[1] Beta - 2/2 specs •\n" + strings.Repeat("line\n", 2*maxTailLines) + "exit status 7\n"
	got := causes(long, "Beta")
	if len(got) != maxTailLines || got[len(got)-1] != "exit status 7" {
		t.Errorf("got %d lines that end with %q", len(got), got[len(got)-1])
	}
	if got := causes(runOutput, "Epsilon"); len(got) == 0 {
		t.Error("a suite without any output has no explanation")
	}
}

// A panic follows the marks of the specs before it, and the stacks of a hundred other
// goroutines follow the panic.
func TestCauseAfterMarks(t *testing.T) {
	for _, marks := range []string{"specs ", "specs •", "specs ••S"} {
		output := "[1] Beta - 2/2 " + marks + "panic: boom\n" + strings.Repeat("goroutine 1 [select]:\n", 2*maxCauseLines)
		if got := causes(output, "Beta"); got[0] != "panic: boom" {
			t.Errorf("%q: got %q", marks, got[0])
		}
	}
}

// A single suite has another heading.
func TestCauseOfSingleSuite(t *testing.T) {
	output := "Running Suite: Beta - /src/beta\n====\nfatal error: all goroutines are asleep - deadlock!\n"
	if got := causes(output, "Beta"); len(got) != 1 || !strings.HasPrefix(got[0], "fatal error") {
		t.Errorf("got %q", got)
	}
}

// A race report of hundreds of lines would push the other causes out of the part of the
// log that CI keeps.
func TestCauseIsBounded(t *testing.T) {
	output := "[1] Beta - 2/2 specs •WARNING: DATA RACE\n" + strings.Repeat("  frame()\n", 10*maxCauseLines)
	if got := causes(output, "Beta"); len(got) > maxCauseLines {
		t.Errorf("%d lines", len(got))
	}
}

// CI printed the names of failed specs, but not why they failed: the reason was in a part
// of the log that is not kept.
func TestReasonOfFailedSpec(t *testing.T) {
	failure := types.Failure{Message: "Expected\n    <int>: 1\nto equal\n    <int>: 2", Location: types.CodeLocation{FileName: "/src/a_test.go", LineNumber: 10}}
	panicked := types.Failure{Message: "Test Panicked", ForwardedPanic: "nil map", Location: types.CodeLocation{FileName: "/src/b_test.go", LineNumber: 20}}
	specs := types.SpecReports{
		{LeafNodeType: types.NodeTypeIt, LeafNodeText: "is wrong", State: types.SpecStateFailed, Failure: failure},
		{LeafNodeType: types.NodeTypeIt, LeafNodeText: "panics", State: types.SpecStatePanicked, Failure: panicked},
		{LeafNodeType: types.NodeTypeIt, LeafNodeText: "is known", State: types.SpecStateFailed, Failure: failure},
	}
	v := judge([]types.Report{{SuitePath: "/src", SpecReports: specs}}, map[string]bool{"is known": true}, nil)
	got := strings.Join(v.details, "\n")
	for _, want := range []string{"is wrong", "/src/a_test.go:10", "to equal", "panics", "/src/b_test.go:20", "nil map", "is known"} {
		if !strings.Contains(got, want) {
			t.Errorf("%q is missing in %q", want, got)
		}
	}
	if len(v.ended) != 0 {
		t.Errorf("suites %v count as ended", v.ended)
	}
}

// Suites that are missing from the report, or that failed without a failed spec, must be
// explained from their output.
func TestEndedSuites(t *testing.T) {
	v := judge([]types.Report{{SuitePath: "/a"}}, nil, []string{"/a", "/b"})
	if !slices.Equal(v.ended, []string{"/a", "/b"}) {
		t.Errorf("got %v", v.ended)
	}
}

// The output names a suite by its description, the report by its folder.
func TestSuiteDescription(t *testing.T) {
	dir := t.TempDir()
	source := "func TestSuite(t *testing.T) {\n\tRunSpecs(t, \"Gateway\")\n}\n"
	if err := os.WriteFile(filepath.Join(dir, "suite_test.go"), []byte(source), 0o644); err != nil {
		t.Fatal(err)
	}
	if got, err := suiteDescription(dir); err != nil || got != "Gateway" {
		t.Errorf("got %q, %v", got, err)
	}
}

// The causes must be near the end of the log, after the output of all suites and before
// the names of what failed.
func TestPrintOrder(t *testing.T) {
	v := verdict{passed: 1, failed: 1, lines: []string{"failed: x"}, details: []string{"reason of x"}}
	var out strings.Builder
	v.print(&out, []string{"cause of y"})
	at := func(s string) int { return strings.Index(out.String(), s) }
	if !(0 <= at("cause of y") && at("cause of y") < at("failed: x") && 0 <= at("reason of x") && at("reason of x") < at("failed: x") && at("failed: x") < at("1 passed, 1 failed")) {
		t.Errorf("got %q", out.String())
	}
}
