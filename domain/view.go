// Package domain tracks the members of the deployment: the entry instances and
// upstreams of each failure domain. Its sources are the platform's instance list,
// which lags, the results of calls, and the reports of peers.
package domain

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomelocross/pomelocross/objects"
)

// View is the membership at one point in time. It is immutable and safe for
// concurrent use.
type View struct {
	self      objects.Member
	entries   []objects.Member // sorted by name, self included
	members   []objects.Member
	liveness  map[string]Liveness  // of entries other than self
	lastHeard map[string]time.Time // last contact with entries other than self

	mu        sync.Mutex // guards the fields below, which are computed on first use
	peers     map[string][]objects.Member
	upstreams []objects.Member
}

// NewView returns a view of the listed members for self. It adds self if the list
// does not have it yet. All instances count as alive.
func NewView(self objects.Member, members []objects.Member) *View {
	v := &View{self: self, members: members}
	found := false
	for _, m := range members {
		if m.Role != objects.RoleEntry {
			continue
		}
		found = found || m.Name == self.Name
		v.entries = append(v.entries, m)
	}
	if !found {
		v.entries = append(v.entries, self)
	}
	slices.SortFunc(v.entries, func(a, b objects.Member) int { return strings.Compare(a.Name, b.Name) })
	return v
}

// Self returns the instance whose view this is.
func (v *View) Self() objects.Member { return v.self }

// Members returns the newest instance list.
func (v *View) Members() []objects.Member { return v.members }

// Liveness returns the liveness of the entry instance with a name. Self and unknown
// instances count as alive.
func (v *View) Liveness(name string) Liveness {
	if state, ok := v.liveness[name]; ok {
		return state
	}
	return Alive
}

// Live returns the entry instances of a domain that are alive and not leaving.
func (v *View) Live(domain string) []objects.Member {
	return v.filter(func(m objects.Member) bool { return m.Domain == domain && v.Liveness(m.Name) == Alive })
}

// Domains returns the failure domains that have entry instances, sorted.
func (v *View) Domains() []string {
	var names []string
	for _, m := range v.entries {
		names = append(names, m.Domain)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// All returns all known entry instances sorted by name, including leaving and dead
// ones.
func (v *View) All() []objects.Member { return slices.Clone(v.entries) }

// Entries returns the entry instances that are not leaving or dead, sorted by name.
func (v *View) Entries() []objects.Member {
	return v.filter(func(objects.Member) bool { return true })
}

// Peers returns the entry instances of a domain that are not leaving or dead,
// sorted by name. The caller must not modify the slice.
func (v *View) Peers(domain string) []objects.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	peers, known := v.peers[domain]
	if known {
		return peers
	}
	if v.peers == nil {
		v.peers = map[string][]objects.Member{}
	}
	peers = slices.Clip(v.filter(func(m objects.Member) bool { return m.Domain == domain }))
	v.peers[domain] = peers
	return peers
}

// Upstreams returns the listed upstreams, including leaving ones. The caller must
// not modify the slice.
func (v *View) Upstreams() []objects.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.upstreams != nil {
		return v.upstreams
	}
	found := []objects.Member{}
	for _, m := range v.members {
		if m.Role == objects.RoleUpstream {
			found = append(found, m)
		}
	}
	v.upstreams = slices.Clip(found)
	return v.upstreams
}

// Entry returns the entry instance with a name and whether it is known.
func (v *View) Entry(name string) (objects.Member, bool) {
	for _, m := range v.entries {
		if m.Name == name {
			return m, true
		}
	}
	return objects.Member{}, false
}

// Ranked returns members ordered by their rendezvous hash for key. Views that share
// most members mostly agree on the first ones.
func Ranked(members []objects.Member, key string) []objects.Member {
	ranked := make([]scored, len(members))
	for i, m := range members {
		ranked[i] = scored{m, xxhash.Sum64String(m.Name + "\x00" + key)}
	}
	slices.SortFunc(ranked, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	sorted := make([]objects.Member, len(members))
	for i, r := range ranked {
		sorted[i] = r.member
	}
	return sorted
}

// scored is a member with its rendezvous score for one key.
type scored struct {
	member objects.Member
	score  uint64
}

func (v *View) filter(keep func(objects.Member) bool) []objects.Member {
	var found []objects.Member
	for _, m := range v.entries {
		if !m.Leaving && v.Liveness(m.Name) != Dead && keep(m) {
			found = append(found, m)
		}
	}
	return found
}
