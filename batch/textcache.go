package batch

import "slices"

// maxTextCacheBytes limits the size of the cached texts. The unfinished groups of a step
// are resubmitted with one of the next steps or never.
const maxTextCacheBytes = 4 << 20

// textCache holds the texts of items that were unfinished when their batch ended, and the
// groups of these items. A later batch with the same items resumes from the texts.
type textCache struct {
	texts  map[string]Partial
	groups map[string]bool
	order  []string // item IDs, oldest first
	bytes  int
}

func newTextCache() *textCache {
	return &textCache{texts: map[string]Partial{}, groups: map[string]bool{}}
}

// add caches the text of an unfinished item, and evicts the oldest texts if the cache
// is full.
func (c *textCache) add(s *itemState) {
	c.groups[s.item.Group] = true
	if s.events == 0 {
		return
	}
	if _, cached := c.texts[s.item.ID]; !cached {
		c.order = append(c.order, s.item.ID)
	}
	p := s.partial()
	p.Failures = 0 // they belong to the batch that ends
	c.bytes += len(p.Text) - len(c.texts[s.item.ID].Text)
	c.texts[s.item.ID] = p
	for c.bytes > maxTextCacheBytes && len(c.order) > 0 {
		c.bytes -= len(c.texts[c.order[0]].Text)
		delete(c.texts, c.order[0])
		c.order = c.order[1:]
	}
}

// seenGroup reports whether items of a group were unfinished in an earlier batch.
func (c *textCache) seenGroup(group string) bool { return c.groups[group] }

// lookup returns the cached text of an item. It returns nil if there is none or if a part
// of it was generated with a weight version below minVersion.
func (c *textCache) lookup(item *Item, minVersion int64) *Partial {
	p, ok := c.texts[item.ID]
	if !ok || len(p.Versions) == 0 || slices.Min(p.Versions) < minVersion {
		return nil
	}
	return &p
}
