package route

import (
	"slices"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxPrefixes bounds the index; the prefixes used longest ago are forgotten.
	maxPrefixes = 16384
	// holdersKept is how many upstreams are remembered for one prefix.
	holdersKept = 3
)

// prefixIndex remembers which upstreams were lately sent a prefix. It is built
// from this instance's own requests, since engines' cache events come late and
// with gaps.
type prefixIndex struct {
	holders *lru.Cache[uint64, []string]
}

func newPrefixIndex() *prefixIndex {
	cache, _ := lru.New[uint64, []string](maxPrefixes) // fails only for a size below 1
	return &prefixIndex{holders: cache}
}

// of returns the upstreams that were sent prefix, the latest first.
func (p *prefixIndex) of(prefix uint64) []string {
	if prefix == 0 {
		return nil
	}
	names, _ := p.holders.Get(prefix)
	return names
}

// sent records that prefix went to the upstream with a name.
func (p *prefixIndex) sent(prefix uint64, name string) {
	if prefix == 0 {
		return
	}
	names, _ := p.holders.Get(prefix)
	if len(names) > 0 && names[0] == name {
		return
	}
	names = slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
	names = slices.Insert(names, 0, name)
	p.holders.Add(prefix, names[:min(len(names), holdersKept)])
}
