package contract

import (
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
)

func compileNamePattern() *regexp.Regexp { return regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`) }

// yamlFieldName returns the YAML name of a struct field. The validator reports fields
// under these names.
func yamlFieldName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

// checkReferences reports duplicate names, references to undeclared names and cost
// limits whose minimum exceeds their maximum.
func checkReferences(b *Bundle) []Diagnostic {
	c := &referenceChecker{}
	domains := collectNames(c, "domains", b.Domains, func(d Domain) string { return d.Name })
	teams := collectNames(c, "teams", b.Teams, func(t Team) string { return t.Name })
	collectNames(c, "keys", b.Keys, func(k Key) string { return k.ID })
	models := collectNames(c, "models", b.Models, func(m Model) string { return m.Name })
	services := collectNames(c, "services", b.Services, func(s Service) string { return s.Name })
	collectNames(c, "routes", b.Routes, func(r Route) string { return r.Name })
	for i, k := range b.Keys {
		c.requireDeclared(teams, fmt.Sprintf("keys[%d].team", i), k.Team)
	}
	for i, s := range b.Services {
		if s.Kind == KindEngine {
			c.requireDeclared(models, fmt.Sprintf("services[%d].model", i), s.Model)
		}
	}
	for i, r := range b.Routes {
		c.requireDeclared(services, fmt.Sprintf("routes[%d].service", i), r.Service)
	}
	collectNames(c, "costLimits", b.CostLimits, func(l CostLimit) string { return l.Service + "/" + l.Domain })
	for i, l := range b.CostLimits {
		if l.MinReady > l.MaxDear+l.MaxCheap {
			c.diagnostics = append(c.diagnostics, Diagnostic{Field: fmt.Sprintf("costLimits[%d].minReady", i), Message: "is greater than maxDear + maxCheap"})
		}
		c.requireDeclared(services, fmt.Sprintf("costLimits[%d].service", i), l.Service)
		c.requireDeclared(domains, fmt.Sprintf("costLimits[%d].domain", i), l.Domain)
	}
	return c.diagnostics
}

// referenceChecker collects the diagnostics of checkReferences.
type referenceChecker struct{ diagnostics []Diagnostic }

// collectNames returns the names of all elements in a list and reports duplicates.
func collectNames[T any](c *referenceChecker, list string, items []T, name func(T) string) map[string]bool {
	names := make(map[string]bool, len(items))
	for i, item := range items {
		n := name(item)
		if names[n] {
			c.diagnostics = append(c.diagnostics, Diagnostic{Field: fmt.Sprintf("%s[%d]", list, i), Message: fmt.Sprintf("%q is declared twice", n)})
		}
		names[n] = true
	}
	return names
}

func (c *referenceChecker) requireDeclared(names map[string]bool, path, name string) {
	if !names[name] {
		c.diagnostics = append(c.diagnostics, Diagnostic{Field: path, Message: fmt.Sprintf("%q is not declared", name)})
	}
}

// elementSources maps the name of each list in a merged bundle to the sources of its
// elements, in the order of the merged list.
type elementSources map[string][]elementSource

// elementSource is the file that declares a list element and the element's index
// within that file.
type elementSource struct {
	file  File
	index int
}

// record appends the sources of all list elements that a file declares.
func (s elementSources) record(file File, part *Bundle) {
	v := reflect.ValueOf(*part)
	for i := range v.NumField() {
		if v.Field(i).Kind() != reflect.Slice {
			continue
		}
		list := yamlFieldName(v.Type().Field(i))
		for n := range v.Field(i).Len() {
			s[list] = append(s[list], elementSource{file: file, index: n})
		}
	}
}

var elementPathPattern = regexp.MustCompile(`^(\w+)\[(\d+)\](.*)$`)

// addLocations sets the file and line of each diagnostic for a list element and
// replaces the element's index in the merged bundle with its index in the file.
func (s elementSources) addLocations(diagnostics []Diagnostic) {
	for i := range diagnostics {
		match := elementPathPattern.FindStringSubmatch(diagnostics[i].Field)
		if match == nil {
			continue
		}
		n, _ := strconv.Atoi(match[2])
		if n >= len(s[match[1]]) {
			continue
		}
		source := s[match[1]][n]
		diagnostics[i].File = source.file.Name
		diagnostics[i].Field = fmt.Sprintf("%s[%d]%s", match[1], source.index, match[3])
		diagnostics[i].Line = lineOfPath(source.file.Data, diagnostics[i].Field, fmt.Sprintf("%s[%d]", match[1], source.index))
	}
}

// lineOfPath returns the 1-based line of the first of the YAML paths that exists in
// data, or 0 if none does.
func lineOfPath(data []byte, paths ...string) int {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return 0
	}
	for _, path := range paths {
		p, err := yaml.PathString("$." + path)
		if err != nil {
			continue
		}
		node, err := p.FilterFile(tree)
		if err == nil && node != nil {
			return node.GetToken().Position.Line
		}
	}
	return 0
}
