// Package docscheck compares the pages in docs with the source: the tests that
// they reference and the error codes that they explain.
package docscheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/samber/oops"
)

// minTextLength is the minimum length in bytes of a string literal that counts as a
// test name. Shorter ones would not identify a single test.
const minTextLength = 12

// Row is a table row that lists the tests for a guarantee.
type Row struct {
	Page string
	Line int
	// Test is the cell with the test names, Files the cell with their file names.
	Test, Files string
}

// Rows returns the rows of all test tables in the Markdown pages of a folder. Such a
// table has a column whose header starts with "test", followed by a column of files.
func Rows(folder string) ([]Row, error) {
	pages, err := filepath.Glob(filepath.Join(folder, "*.md"))
	if err != nil {
		return nil, err
	}
	var rows []Row
	for _, page := range pages {
		data, err := os.ReadFile(page)
		if err != nil {
			return nil, oops.With("page", page).Wrap(err)
		}
		rows = append(rows, parseRows(page, string(data))...)
	}
	return rows, nil
}

func parseRows(page, text string) []Row {
	var rows []Row
	column, number := -1, 0
	for line := range strings.Lines(text) {
		number++
		if !strings.HasPrefix(line, "|") {
			column = -1
			continue
		}
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if column < 0 {
			column = testColumn(cells)
			continue
		}
		if strings.HasPrefix(cells[0], "---") || column+1 >= len(cells) {
			continue
		}
		rows = append(rows, Row{page, number, strings.TrimSpace(cells[column]), strings.TrimSpace(cells[column+1])})
	}
	return rows
}

func testColumn(header []string) int {
	for n, cell := range header {
		if strings.HasPrefix(strings.TrimSpace(cell), "test") {
			return n
		}
	}
	return -1
}

// FilesOf returns the paths under root of the test files that a row names. A name
// without a directory refers to test/e2e.
func (r Row) FilesOf(root string) []string {
	var files []string
	for _, name := range strings.FieldsFunc(r.Files, func(c rune) bool { return c == ',' || c == ' ' || c == ';' || c == '`' }) {
		if !strings.HasSuffix(name, "_test.go") {
			continue
		}
		if path.Base(name) == name {
			name = "test/e2e/" + name
		}
		files = append(files, filepath.Join(root, name))
	}
	return files
}

// Texts returns the candidates for test names in a Go file: the names of its test
// functions and its string literals of at least minTextLength bytes.
func Texts(file string) ([]string, error) {
	tree, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	if err != nil {
		return nil, oops.With("file", file).Wrap(err)
	}
	var texts []string
	ast.Inspect(tree, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.FuncDecl:
			if strings.HasPrefix(n.Name.Name, "Test") {
				texts = append(texts, n.Name.Name)
			}
		case *ast.BasicLit:
			if text, err := strconv.Unquote(n.Value); n.Kind == token.STRING && err == nil && len(text) >= minTextLength {
				texts = append(texts, text)
			}
		}
		return true
	})
	return texts, nil
}

// Names reports whether the row's test cell contains one of the texts. A cell
// that begins with dots continues the test of the row above.
func (r Row) Names(texts []string) bool {
	for _, text := range texts {
		if strings.Contains(r.Test, text) {
			return true
		}
	}
	return false
}
