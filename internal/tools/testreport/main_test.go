package main

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/onsi/ginkgo/v2/types"
)

func spec(text string, state types.SpecState) types.SpecReport {
	return types.SpecReport{LeafNodeType: types.NodeTypeIt, LeafNodeText: text, State: state}
}

// CI printed "0 failed" for suites that had run out of time, whose process had ended, or
// that were missing from the report beside a known failure.
func TestJudge(t *testing.T) {
	passed, failed := spec("passes", types.SpecStatePassed), spec("fails", types.SpecStateFailed)
	for _, c := range []struct {
		name       string
		suites     []types.Report
		known      []string
		expected   []string
		unexpected int
	}{
		{"all passed", []types.Report{{SuitePath: "/a", SuiteSucceeded: true, SpecReports: types.SpecReports{passed}}}, nil, []string{"/a"}, 0},
		{"a spec failed", []types.Report{{SuitePath: "/a", SpecReports: types.SpecReports{passed, failed}}}, nil, nil, 1},
		{"a known spec failed", []types.Report{{SuitePath: "/a", SpecReports: types.SpecReports{passed, failed}}}, []string{"fails"}, []string{"/a"}, 0},
		{"the suite failed, its specs passed", []types.Report{{SuitePath: "/a", SpecReports: types.SpecReports{passed}}}, nil, nil, 1},
		{"the suite ran out of time beside a known failure", []types.Report{{SuitePath: "/a", SpecReports: types.SpecReports{passed, failed}, SpecialSuiteFailureReasons: []string{"timeout"}}}, []string{"fails"}, nil, 1},
		{"a suite is missing", []types.Report{{SuitePath: "/a", SuiteSucceeded: true, SpecReports: types.SpecReports{passed}}}, nil, []string{"/a", "/b"}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			known := map[string]bool{}
			for _, text := range c.known {
				known[text] = true
			}
			if got := judge(c.suites, known, c.expected); got.unexpected != c.unexpected {
				t.Errorf("%d unexpected failures, want %d: %v", got.unexpected, c.unexpected, got.lines)
			}
		})
	}
}

func TestGinkgoSuites(t *testing.T) {
	dir := t.TempDir()
	for name, source := range map[string]string{"a/a_test.go": "func TestSuite(t", "b/b_test.go": "func TestOther(t", "c/c.go": "func TestSuite(t"} {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(source), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := ginkgoSuites([]string{dir})
	if want := []string{filepath.Join(dir, "a")}; err != nil || !slices.Equal(got, want) {
		t.Errorf("got %v, %v, want %v", got, err, want)
	}
}
