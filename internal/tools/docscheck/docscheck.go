// Package docscheck compares the pages in docs with the tests they name.
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

// minText is the length from which a text names one test and no other.
const minText = 12

// Row is a line of a table of proofs.
type Row struct {
	Page string
	Line int
	// Test is the cell that names tests, Files the cell that names their files.
	Test, Files string
}

// Rows returns the proofs of all pages of a folder. A table of proofs has the
// columns "test" and "file" side by side.
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
		rows = append(rows, rowsOf(page, string(data))...)
	}
	return rows, nil
}

func rowsOf(page, text string) []Row {
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

// FilesOf returns the files that a row names, relative to root. A bare name
// stands for a file of test/e2e.
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

// Texts returns the texts and names of the tests in a file.
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
			if text, err := strconv.Unquote(n.Value); n.Kind == token.STRING && err == nil && len(text) >= minText {
				texts = append(texts, text)
			}
		}
		return true
	})
	return texts, nil
}

// Names reports whether the row names one of the texts. A row that begins with
// dots goes on with the test of the row above.
func (r Row) Names(texts []string) bool {
	for _, text := range texts {
		if strings.Contains(r.Test, text) {
			return true
		}
	}
	return false
}
