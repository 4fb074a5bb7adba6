package route

import (
	"slices"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxPrefixes bounds the index; the least recently used prefixes are evicted.
	maxPrefixes = 16384
	// maxHolders is the maximum number of upstreams kept per prefix.
	maxHolders = 3
)

// prefixIndex maps a prompt prefix to the upstreams that were recently sent it and
// so probably hold it in their KV cache. It is built from this instance's own
// requests because the cache events of engines arrive late and with gaps.
type prefixIndex struct {
	holders *lru.Cache[uint64, []string]
}

func newPrefixIndex() *prefixIndex {
	cache, _ := lru.New[uint64, []string](maxPrefixes) // New fails only for a size below 1
	return &prefixIndex{holders: cache}
}

// holdersOf returns the upstreams that were sent prefix, most recent first.
func (p *prefixIndex) holdersOf(prefix uint64) []string {
	if prefix == 0 {
		return nil
	}
	names, _ := p.holders.Get(prefix)
	return names
}

// record notes that prefix was sent to the named upstream.
func (p *prefixIndex) record(prefix uint64, name string) {
	if prefix == 0 {
		return
	}
	names, _ := p.holders.Get(prefix)
	if len(names) > 0 && names[0] == name {
		return
	}
	names = slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
	names = slices.Insert(names, 0, name)
	p.holders.Add(prefix, names[:min(len(names), maxHolders)])
}
