package contract

import (
	"fmt"
	"reflect"
	"slices"
)

// Change is one difference between two bundles.
type Change struct {
	Kind   string `json:"kind"` // list in the bundle, such as "teams"
	Name   string `json:"name"`
	Action string `json:"what"` // "added", "removed" or "changed"
}

// String formats the change as "what kind name".
func (c Change) String() string { return fmt.Sprintf("%s %s %s", c.Action, c.Kind, c.Name) }

// Diff lists what applying after over before changes, in a fixed order.
func Diff(before, after *Bundle) []Change {
	var changes []Change
	changes = append(changes, diffList("domains", before.Domains, after.Domains, func(d Domain) string { return d.Name })...)
	changes = append(changes, diffList("teams", before.Teams, after.Teams, func(t Team) string { return t.Name })...)
	changes = append(changes, diffList("keys", before.Keys, after.Keys, func(k Key) string { return k.ID })...)
	changes = append(changes, diffList("models", before.Models, after.Models, func(m Model) string { return m.Name })...)
	changes = append(changes, diffList("services", before.Services, after.Services, func(s Service) string { return s.Name })...)
	changes = append(changes, diffList("routes", before.Routes, after.Routes, func(r Route) string { return r.Name })...)
	changes = append(changes, diffList("costLimits", before.CostLimits, after.CostLimits, func(l CostLimit) string { return l.Service + "/" + l.Domain })...)
	return changes
}

func diffList[T any](kind string, before, after []T, name func(T) string) []Change {
	old, now := index(before, name), index(after, name)
	var changes []Change
	for n, item := range now {
		was, ok := old[n]
		switch {
		case !ok:
			changes = append(changes, Change{Kind: kind, Name: n, Action: "added"})
		case !reflect.DeepEqual(was, item):
			changes = append(changes, Change{Kind: kind, Name: n, Action: "changed"})
		}
	}
	for n := range old {
		if _, ok := now[n]; !ok {
			changes = append(changes, Change{Kind: kind, Name: n, Action: "removed"})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		if a.Name != b.Name {
			return compare(a.Name, b.Name)
		}
		return compare(a.Action, b.Action)
	})
	return changes
}

func compare(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}
