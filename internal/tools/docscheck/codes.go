package docscheck

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"

	"github.com/samber/oops"
)

var codePattern = regexp.MustCompile(`(?:code:\s+|code[A-Z]\w*\s+=\s+)"([a-z_]+)"`)

// Codes returns the error codes that the Go files of a folder define for error
// responses, sorted and without duplicates.
func Codes(folder string) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		return nil, err
	}
	var codes []string
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, oops.With("file", file).Wrap(err)
		}
		for _, m := range codePattern.FindAllStringSubmatch(string(data), -1) {
			codes = append(codes, m[1])
		}
	}
	slices.Sort(codes)
	return slices.Compact(codes), nil
}
