// Package notice distributes the objects that the platform has accepted
// (configurations and published weight versions) to all instances, including those
// that cannot reach the platform. A few instances of each failure domain watch the
// platform and forward new items to the others. Each message lists the revisions
// that its sender has, which acknowledges the items received; the other side sends
// missing items again until they are acknowledged. The same messages report how
// recently the sender was in sync with the platform and which instances are alive.
package notice

import (
	"cmp"
	"slices"
)

// Item is the newest known value of one object. Of two items with the same kind
// and name the one with the higher revision replaces the other, regardless of its
// source.
type Item struct {
	Kind     string
	Name     string
	Revision int64
	Value    []byte
}

// ItemRevision identifies an item and its revision without its value.
type ItemRevision struct {
	Kind     string
	Name     string
	Revision int64
}

type itemKey struct{ kind, name string }

// ItemSet holds the newest item of each kind and name. The revision of an item
// never decreases. It is not safe for concurrent use.
type ItemSet struct{ items map[itemKey]Item }

// NewItemSet returns an empty set.
func NewItemSet() *ItemSet { return &ItemSet{items: map[itemKey]Item{}} }

// Put stores item if it is newer than the stored one and reports whether it did.
func (s *ItemSet) Put(item Item) bool {
	if !s.Newer(item) {
		return false
	}
	s.items[itemKey{item.Kind, item.Name}] = item
	return true
}

// Newer reports whether item is newer than the stored one.
func (s *ItemSet) Newer(item Item) bool {
	return item.Revision > s.items[itemKey{item.Kind, item.Name}].Revision
}

// Revisions returns the revisions of all items, sorted by kind and name.
func (s *ItemSet) Revisions() []ItemRevision {
	list := make([]ItemRevision, 0, len(s.items))
	for _, item := range s.items {
		list = append(list, ItemRevision{item.Kind, item.Name, item.Revision})
	}
	slices.SortFunc(list, func(a, b ItemRevision) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// Items returns all items, sorted by kind and name.
func (s *ItemSet) Items() []Item { return s.NewerThan(nil) }

// NewerThan returns the items that are newer than their revision in known or
// absent from it, sorted by kind and name.
func (s *ItemSet) NewerThan(known []ItemRevision) []Item {
	knownRevisions := make(map[itemKey]int64, len(known))
	for _, k := range known {
		knownRevisions[itemKey{k.Kind, k.Name}] = k.Revision
	}
	var list []Item
	for _, k := range s.Revisions() {
		key := itemKey{k.Kind, k.Name}
		if k.Revision > knownRevisions[key] {
			list = append(list, s.items[key])
		}
	}
	return list
}

// OlderThan reports whether known has a newer revision of any item.
func (s *ItemSet) OlderThan(known []ItemRevision) bool {
	return slices.ContainsFunc(known, func(k ItemRevision) bool {
		return k.Revision > s.items[itemKey{k.Kind, k.Name}].Revision
	})
}
