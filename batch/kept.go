package batch

import "slices"

// maxKeptBytes bounds the texts kept of ended batches: a step's unfinished
// groups come again in one of the next ones or never.
const maxKeptBytes = 4 << 20

// keptTexts are texts of items whose batch ended before them, for a later batch
// that asks for the same items, and the groups that they are of.
type keptTexts struct {
	texts  map[string]Partial
	groups map[string]bool
	order  []string // item ids, oldest first
	bytes  int
}

func newKeptTexts() *keptTexts {
	return &keptTexts{texts: map[string]Partial{}, groups: map[string]bool{}}
}

func (k *keptTexts) keep(s *itemState) {
	k.groups[s.item.Group] = true
	if s.events == 0 {
		return
	}
	if _, known := k.texts[s.item.ID]; !known {
		k.order = append(k.order, s.item.ID)
	}
	p := s.partial()
	k.bytes += len(p.Text) - len(k.texts[s.item.ID].Text)
	k.texts[s.item.ID] = p
	for k.bytes > maxKeptBytes && len(k.order) > 0 {
		k.bytes -= len(k.texts[k.order[0]].Text)
		delete(k.texts, k.order[0])
		k.order = k.order[1:]
	}
}

// asked reports whether a group was in an earlier batch.
func (k *keptTexts) asked(group string) bool { return k.groups[group] }

// fit returns the kept text of an item if all its versions are allowed.
func (k *keptTexts) fit(item *Item, least int64) *Partial {
	p, ok := k.texts[item.ID]
	if !ok || len(p.Versions) == 0 || slices.Min(p.Versions) < least {
		return nil
	}
	return &p
}
