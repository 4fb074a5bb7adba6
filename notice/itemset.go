// Package notice spreads what the platform has accepted (configurations and
// named weight versions) to all instances, also to those that the platform does
// not reach. A few instances of each failure domain watch the platform; the rest
// hear from them by messages that carry revisions, are acknowledged by the
// receiver's own revisions, and are sent again until they are. The same messages
// carry how fresh the knowledge is and who is alive.
package notice

import (
	"cmp"
	"slices"
)

// Item is the newest known value of one object. Of two items with one kind and
// name the higher revision holds, wherever it came from.
type Item struct {
	Kind     string
	Name     string
	Revision int64
	Value    []byte
}

// Known names an item without its value.
type Known struct {
	Kind     string
	Name     string
	Revision int64
}

type itemKey struct{ kind, name string }

// Book holds the newest item of each kind and name. Revisions in it only rise.
type Book struct{ items map[itemKey]Item }

// NewBook returns an empty book.
func NewBook() *Book { return &Book{items: map[itemKey]Item{}} }

// Take keeps the item if it is newer than the one in the book, and reports so.
func (b *Book) Take(item Item) bool {
	if !b.Newer(item) {
		return false
	}
	b.items[itemKey{item.Kind, item.Name}] = item
	return true
}

// Newer reports whether item is newer than the one in the book.
func (b *Book) Newer(item Item) bool {
	return item.Revision > b.items[itemKey{item.Kind, item.Name}].Revision
}

// Known lists what is in the book, by kind and name.
func (b *Book) Known() []Known {
	list := make([]Known, 0, len(b.items))
	for _, item := range b.items {
		list = append(list, Known{item.Kind, item.Name, item.Revision})
	}
	slices.SortFunc(list, func(a, b Known) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// Items returns all items, by kind and name.
func (b *Book) Items() []Item { return b.Beyond(nil) }

// Beyond returns the items that an instance with known lacks, by kind and name.
func (b *Book) Beyond(known []Known) []Item {
	theirs := make(map[itemKey]int64, len(known))
	for _, k := range known {
		theirs[itemKey{k.Kind, k.Name}] = k.Revision
	}
	var list []Item
	for _, k := range b.Known() {
		key := itemKey{k.Kind, k.Name}
		if k.Revision > theirs[key] {
			list = append(list, b.items[key])
		}
	}
	return list
}

// Behind reports whether known has anything newer than the book.
func (b *Book) Behind(known []Known) bool {
	return slices.ContainsFunc(known, func(k Known) bool {
		return k.Revision > b.items[itemKey{k.Kind, k.Name}].Revision
	})
}
