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

func keyOrName() *regexp.Regexp { return regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`) }

// yamlName makes the validator report fields by their names in the files.
func yamlName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

// referenceFaults finds duplicate names and references to nothing.
func referenceFaults(b *Bundle) []Diagnostic {
	c := &referenceCheck{}
	domains := declared(c, "domains", b.Domains, func(d Domain) string { return d.Name })
	teams := declared(c, "teams", b.Teams, func(t Team) string { return t.Name })
	declared(c, "keys", b.Keys, func(k Key) string { return k.ID })
	models := declared(c, "models", b.Models, func(m Model) string { return m.Name })
	services := declared(c, "services", b.Services, func(s Service) string { return s.Name })
	declared(c, "routes", b.Routes, func(r Route) string { return r.Name })
	for i, k := range b.Keys {
		c.refers(teams, fmt.Sprintf("keys[%d].team", i), k.Team)
	}
	for i, s := range b.Services {
		if s.Kind == KindEngine {
			c.refers(models, fmt.Sprintf("services[%d].model", i), s.Model)
		}
	}
	for i, r := range b.Routes {
		c.refers(services, fmt.Sprintf("routes[%d].service", i), r.Service)
	}
	declared(c, "costLimits", b.CostLimits, func(l CostLimit) string { return l.Service + "/" + l.Domain })
	for i, l := range b.CostLimits {
		if l.MinReady > l.MaxDear+l.MaxCheap {
			c.faults = append(c.faults, Diagnostic{Field: fmt.Sprintf("costLimits[%d].minReady", i), Message: "is more than maxDear and maxCheap allow"})
		}
		c.refers(services, fmt.Sprintf("costLimits[%d].service", i), l.Service)
		c.refers(domains, fmt.Sprintf("costLimits[%d].domain", i), l.Domain)
	}
	return c.faults
}

type referenceCheck struct{ faults []Diagnostic }

func declared[T any](c *referenceCheck, list string, items []T, name func(T) string) map[string]bool {
	seen := make(map[string]bool, len(items))
	for i, item := range items {
		n := name(item)
		if seen[n] {
			c.faults = append(c.faults, Diagnostic{Field: fmt.Sprintf("%s[%d]", list, i), Message: fmt.Sprintf("%q is declared twice", n)})
		}
		seen[n] = true
	}
	return seen
}

func (c *referenceCheck) refers(names map[string]bool, field, name string) {
	if !names[name] {
		c.faults = append(c.faults, Diagnostic{Field: field, Message: fmt.Sprintf("%q is not declared", name)})
	}
}

// origins remembers which file each list element of a merged bundle came from.
type origins map[string][]origin

type origin struct {
	file  File
	index int
}

func (o origins) add(file File, part *Bundle) {
	v := reflect.ValueOf(*part)
	for i := range v.NumField() {
		if v.Field(i).Kind() != reflect.Slice {
			continue
		}
		list := yamlName(v.Type().Field(i))
		for n := range v.Field(i).Len() {
			o[list] = append(o[list], origin{file: file, index: n})
		}
	}
}

var elementPath = regexp.MustCompile(`^(\w+)\[(\d+)\](.*)$`)

// locate fills in file and line of faults in list elements.
func (o origins) locate(faults []Diagnostic) {
	for i := range faults {
		m := elementPath.FindStringSubmatch(faults[i].Field)
		if m == nil {
			continue
		}
		n, _ := strconv.Atoi(m[2])
		if n >= len(o[m[1]]) {
			continue
		}
		from := o[m[1]][n]
		faults[i].File = from.file.Name
		faults[i].Field = fmt.Sprintf("%s[%d]%s", m[1], from.index, m[3])
		faults[i].Line = lineOf(from.file.Data, faults[i].Field, fmt.Sprintf("%s[%d]", m[1], from.index))
	}
}

// lineOf returns the line of the first of the paths that stands in the file.
func lineOf(data []byte, paths ...string) int {
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
