package contract

import (
	"fmt"
	"reflect"
	"slices"
)

// Change is one difference between two bundles.
type Change struct {
	Kind   string `json:"kind"` // name of the list in the bundle, such as "teams"
	Name   string `json:"name"`
	Action string `json:"what"` // "added", "removed" or "changed"
}

// String formats the change as "action kind name".
func (c Change) String() string { return fmt.Sprintf("%s %s %s", c.Action, c.Kind, c.Name) }

// Diff returns the changes from before to after, ordered by list and then by name. An
// element that is declared in both bundles with different content counts as changed.
func Diff(before, after *Bundle) []Change {
	var changes []Change
	changes = append(changes, diffElements("domains", before.Domains, after.Domains, func(d Domain) string { return d.Name })...)
	changes = append(changes, diffElements("teams", before.Teams, after.Teams, func(t Team) string { return t.Name })...)
	changes = append(changes, diffElements("keys", before.Keys, after.Keys, func(k Key) string { return k.ID })...)
	changes = append(changes, diffElements("models", before.Models, after.Models, func(m Model) string { return m.Name })...)
	changes = append(changes, diffElements("services", before.Services, after.Services, func(s Service) string { return s.Name })...)
	changes = append(changes, diffElements("routes", before.Routes, after.Routes, func(r Route) string { return r.Name })...)
	changes = append(changes, diffElements("costLimits", before.CostLimits, after.CostLimits, func(l CostLimit) string { return l.Service + "/" + l.Domain })...)
	return changes
}

func diffElements[T any](kind string, before, after []T, name func(T) string) []Change {
	beforeByName, afterByName := indexBy(before, name), indexBy(after, name)
	var changes []Change
	for elementName, item := range afterByName {
		previous, ok := beforeByName[elementName]
		switch {
		case !ok:
			changes = append(changes, Change{Kind: kind, Name: elementName, Action: "added"})
		case !reflect.DeepEqual(previous, item):
			changes = append(changes, Change{Kind: kind, Name: elementName, Action: "changed"})
		}
	}
	for elementName := range beforeByName {
		if _, ok := afterByName[elementName]; !ok {
			changes = append(changes, Change{Kind: kind, Name: elementName, Action: "removed"})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		if a.Name != b.Name {
			return compareStrings(a.Name, b.Name)
		}
		return compareStrings(a.Action, b.Action)
	})
	return changes
}

func compareStrings(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}
