package rollout

import "math/bits"

// Bitset is a set of small non-negative integers. Bit n%8 of byte n/8 stands for
// n. JSON encodes it as a base64 string.
type Bitset []byte

// Set adds n to the set if present is true and removes it otherwise.
func (b *Bitset) Set(n int, present bool) {
	for len(*b) <= n/8 {
		*b = append(*b, 0)
	}
	if present {
		(*b)[n/8] |= 1 << (n % 8)
		return
	}
	(*b)[n/8] &^= 1 << (n % 8)
}

// Has reports whether the set contains n.
func (b Bitset) Has(n int) bool { return n/8 < len(b) && b[n/8]&(1<<(n%8)) != 0 }

// Count returns the number of elements.
func (b Bitset) Count() int {
	count := 0
	for _, octet := range b {
		count += bits.OnesCount8(octet)
	}
	return count
}

// Add adds all elements of other.
func (b *Bitset) Add(other Bitset) {
	for n := range len(other) * 8 {
		if other.Has(n) {
			b.Set(n, true)
		}
	}
}

// Remove removes all elements of other.
func (b *Bitset) Remove(other Bitset) {
	for n := range len(other) * 8 {
		if other.Has(n) {
			b.Set(n, false)
		}
	}
}

func (b Bitset) clone() Bitset { return append(Bitset(nil), b...) }
