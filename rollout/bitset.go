package rollout

import "math/bits"

// Bitset is a set of small numbers. It is stored as base64.
type Bitset []byte

// Set puts n into the set or takes it out.
func (b *Bitset) Set(n int, in bool) {
	for len(*b) <= n/8 {
		*b = append(*b, 0)
	}
	if in {
		(*b)[n/8] |= 1 << (n % 8)
		return
	}
	(*b)[n/8] &^= 1 << (n % 8)
}

// Has reports whether n is in the set.
func (b Bitset) Has(n int) bool { return n/8 < len(b) && b[n/8]&(1<<(n%8)) != 0 }

// Count returns how many numbers are in the set.
func (b Bitset) Count() int {
	count := 0
	for _, word := range b {
		count += bits.OnesCount8(word)
	}
	return count
}

// Add puts all numbers of other into the set.
func (b *Bitset) Add(other Bitset) {
	for n := range len(other) * 8 {
		if other.Has(n) {
			b.Set(n, true)
		}
	}
}

// Remove takes all numbers of other out of the set.
func (b *Bitset) Remove(other Bitset) {
	for n := range len(other) * 8 {
		if other.Has(n) {
			b.Set(n, false)
		}
	}
}

func (b Bitset) clone() Bitset { return append(Bitset(nil), b...) }
