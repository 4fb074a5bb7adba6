// Package domain knows the members of the deployment: the entry instances and
// upstreams of each failure domain, as the platform's lagging list tells.
package domain

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/pomelocross/pomelocross/platform"
)

// View is the membership at one moment. It is immutable.
type View struct {
	self    platform.Member
	entries []platform.Member // by name, self included
	members []platform.Member
}

// NewView sorts members into a view as self sees it. Self is added when the
// list does not have it yet.
func NewView(self platform.Member, members []platform.Member) *View {
	v := &View{self: self, members: members}
	found := false
	for _, m := range members {
		if m.Role != platform.RoleEntry {
			continue
		}
		found = found || m.Name == self.Name
		v.entries = append(v.entries, m)
	}
	if !found {
		v.entries = append(v.entries, self)
	}
	slices.SortFunc(v.entries, func(a, b platform.Member) int { return strings.Compare(a.Name, b.Name) })
	return v
}

// Self returns the instance whose view this is.
func (v *View) Self() platform.Member { return v.self }

// Entries returns all entry instances that are not leaving, by name.
func (v *View) Entries() []platform.Member {
	return v.filter(func(platform.Member) bool { return true })
}

// Peers returns the entry instances of a domain that are not leaving.
func (v *View) Peers(domain string) []platform.Member {
	return v.filter(func(m platform.Member) bool { return m.Domain == domain })
}

// Upstreams returns the listed upstreams, leaving ones included.
func (v *View) Upstreams() []platform.Member {
	var found []platform.Member
	for _, m := range v.members {
		if m.Role == platform.RoleUpstream {
			found = append(found, m)
		}
	}
	return found
}

// Entry returns the entry instance with a name.
func (v *View) Entry(name string) (platform.Member, bool) {
	for _, m := range v.entries {
		if m.Name == name {
			return m, true
		}
	}
	return platform.Member{}, false
}

// Ranked orders members by rendezvous hashing of key: views that share most
// members agree on most first places.
func Ranked(members []platform.Member, key string) []platform.Member {
	ranked := slices.Clone(members)
	score := func(m platform.Member) uint64 { return xxhash.Sum64String(m.Name + "\x00" + key) }
	slices.SortFunc(ranked, func(a, b platform.Member) int {
		if score(a) > score(b) {
			return -1
		}
		return 1
	})
	return ranked
}

func (v *View) filter(keep func(platform.Member) bool) []platform.Member {
	var found []platform.Member
	for _, m := range v.entries {
		if !m.Leaving && keep(m) {
			found = append(found, m)
		}
	}
	return found
}
