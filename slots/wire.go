package slots

import (
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ErrNamesMismatch means that shares were packed with another list of engine names.
var ErrNamesMismatch = errors.New("shares are packed for another list of engines")

// Names is a sorted list of engine names with its digest. Instances with the same
// list send counts by index instead of by name.
type Names struct {
	names  []string
	digest uint64
}

// NewNames returns the sorted list of the given engine names.
func NewNames(names []string) Names {
	n := Names{names: slices.Clone(names)}
	slices.Sort(n.names)
	digest := xxhash.New()
	for _, name := range n.names {
		_, _ = digest.WriteString(name + "\x00") // never fails
	}
	n.digest = digest.Sum64()
	return n
}

// Packed is the wire format of Shares.
type Packed struct {
	// Digest is the digest of the name list that Counts refers to; 0 if Counts is
	// empty.
	Digest uint64
	// Counts holds share+1 for each engine by its index in the name list; 0 means
	// that the engine has no entry. Trailing zeros are omitted.
	Counts []uint32
	// Named holds the entries that can't be packed: engines not in the list and
	// negative counts.
	Named Shares
}

// Pack encodes shares with this list of names.
func (n Names) Pack(shares Shares) Packed {
	var p Packed
	for name, count := range shares {
		index, known := slices.BinarySearch(n.names, name)
		if !known || count < 0 {
			if p.Named == nil {
				p.Named = Shares{}
			}
			p.Named[name] = count
			continue
		}
		if len(p.Counts) <= index {
			p.Counts = append(p.Counts, make([]uint32, index+1-len(p.Counts))...)
		}
		p.Counts[index] = uint32(count) + 1
	}
	if len(p.Counts) > 0 {
		p.Digest = n.digest
	}
	return p
}

// Unpack decodes packed shares. It returns ErrNamesMismatch if they were packed
// with a different list of names.
func (n Names) Unpack(p Packed) (Shares, error) {
	if len(p.Counts) > 0 && (p.Digest != n.digest || len(p.Counts) > len(n.names)) {
		return nil, ErrNamesMismatch
	}
	shares := make(Shares, len(p.Counts)+len(p.Named))
	for index, count := range p.Counts {
		if count > 0 {
			shares[n.names[index]] = int(count) - 1
		}
	}
	for name, count := range p.Named {
		shares[name] = count
	}
	return shares, nil
}
