package slots

import (
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ErrOtherNames means that packed shares speak of another list of engines.
var ErrNamesMismatch = errors.New("shares are packed for another list of engines")

// Names is a sorted list of engine names with its digest. Instances that have
// the same list send counts by place instead of names.
type Names struct {
	sorted []string
	digest uint64
}

// NamesOf returns the names of engines.
func NewNames(names []string) Names {
	n := Names{sorted: slices.Clone(names)}
	slices.Sort(n.sorted)
	digest := xxhash.New()
	for _, name := range n.sorted {
		_, _ = digest.WriteString(name + "\x00") // never fails
	}
	n.digest = digest.Sum64()
	return n
}

// Packed is the form of Shares on the wire.
type Packed struct {
	// Digest is of the names that Counts are of; 0 when there are none.
	Digest uint64
	// Counts are shares by place, each one more than it is, so that 0 stands
	// for an engine that has no entry. Trailing zeros are left out.
	Counts []uint32
	// Named are entries of engines that the list does not have.
	Named Shares
}

// Pack returns the packed form of shares.
func (n Names) Pack(shares Shares) Packed {
	var p Packed
	for name, count := range shares {
		place, known := slices.BinarySearch(n.sorted, name)
		if !known || count < 0 {
			if p.Named == nil {
				p.Named = Shares{}
			}
			p.Named[name] = count
			continue
		}
		if len(p.Counts) <= place {
			p.Counts = append(p.Counts, make([]uint32, place+1-len(p.Counts))...)
		}
		p.Counts[place] = uint32(count) + 1
	}
	if len(p.Counts) > 0 {
		p.Digest = n.digest
	}
	return p
}

// Unpack returns the shares, or ErrOtherNames when they are packed for another
// list.
func (n Names) Unpack(p Packed) (Shares, error) {
	if len(p.Counts) > 0 && (p.Digest != n.digest || len(p.Counts) > len(n.sorted)) {
		return nil, ErrNamesMismatch
	}
	shares := make(Shares, len(p.Counts)+len(p.Named))
	for place, count := range p.Counts {
		if count > 0 {
			shares[n.sorted[place]] = int(count) - 1
		}
	}
	for name, count := range p.Named {
		shares[name] = count
	}
	return shares, nil
}
