package idempotency

import (
	"slices"
	"strings"
	"time"

	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/objects"
)

// holders is how many instances record a key.
const holders = 2

// history remembers past memberships. Instances learn of a change at different
// times, so a key's holders under earlier memberships have a say as long as
// their records last.
type history struct {
	generations []generation // oldest first; the last one is current
	retired     map[string]time.Time
}

type generation struct {
	members []objects.Member // by name
	started time.Time
	ended   time.Time // zero while current
}

// observe notes the membership of now and forgets what ended before oldest.
func (h *history) observe(now, oldest time.Time, members []objects.Member) {
	members = slices.Clone(members)
	slices.SortFunc(members, byName)
	last := len(h.generations) - 1
	if last < 0 || !slices.EqualFunc(h.generations[last].members, members, sameMember) {
		h.change(now, members)
	}
	h.generations = slices.DeleteFunc(h.generations, func(g generation) bool {
		return !g.ended.IsZero() && g.ended.Before(oldest)
	})
	for name, at := range h.retired {
		if at.Before(oldest) {
			delete(h.retired, name)
		}
	}
}

// change ends the current generation and begins one of members.
func (h *history) change(now time.Time, members []objects.Member) {
	if last := len(h.generations) - 1; last >= 0 {
		h.generations[last].ended = now
	}
	h.generations = append(h.generations, generation{members: members, started: now})
}

func byName(a, b objects.Member) int { return strings.Compare(a.Name, b.Name) }

func sameMember(a, b objects.Member) bool { return a.Name == b.Name && a.Peer == b.Peer }

// retire notes that a member has handed its records over before it stopped. A
// list that still has it, or an instance that comes back under its name, begins
// a new generation.
func (h *history) retire(now time.Time, name string) {
	if h.retired == nil {
		h.retired = map[string]time.Time{}
	}
	h.retired[name] = now
	if len(h.generations) == 0 {
		return
	}
	members := slices.Clone(h.generations[len(h.generations)-1].members)
	h.change(now, slices.DeleteFunc(members, func(m objects.Member) bool { return m.Name == name }))
}

// current returns a key's holders now.
func (h *history) current(key Key) []objects.Member {
	if len(h.generations) == 0 {
		return nil
	}
	return holdersOf(h.generations[len(h.generations)-1].members, key)
}

// earlier returns a key's sets of holders under earlier memberships, without
// sets of which a member has since handed its records over.
func (h *history) earlier(key Key) [][]objects.Member {
	var sets [][]objects.Member
	for _, g := range h.generations[:max(0, len(h.generations)-1)] {
		set := holdersOf(g.members, key)
		handedOver := slices.ContainsFunc(set, func(m objects.Member) bool { return h.retiredSince(m.Name, g.started) })
		if len(set) > 0 && !handedOver && !containsSet(sets, set) {
			sets = append(sets, set)
		}
	}
	return sets
}

func (h *history) retiredSince(name string, start time.Time) bool {
	at, retired := h.retired[name]
	return retired && !at.Before(start)
}

func containsSet(sets [][]objects.Member, set []objects.Member) bool {
	return slices.ContainsFunc(sets, func(other []objects.Member) bool { return slices.EqualFunc(other, set, sameMember) })
}

// holdersOf ranks the failure domains by key, then the members of each, and
// takes the first ones. All instances of a deployment agree on it, wherever a
// retry arrives; a domain with one instance is helped out by the next.
func holdersOf(members []objects.Member, key Key) []objects.Member {
	name := key.Team + "\x00" + key.Value
	var found []objects.Member
	for _, d := range domain.Ranked(domainsOf(members), name) {
		inDomain := slices.DeleteFunc(slices.Clone(members), func(m objects.Member) bool { return m.Domain != d.Name })
		found = append(found, domain.Ranked(inDomain, name)...)
		if len(found) >= holders {
			return found[:holders]
		}
	}
	return found
}

// domainsOf returns a stand-in member for each failure domain, to be ranked.
func domainsOf(members []objects.Member) []objects.Member {
	var domains []objects.Member
	for _, m := range members {
		if !slices.ContainsFunc(domains, func(d objects.Member) bool { return d.Name == m.Domain }) {
			domains = append(domains, objects.Member{Name: m.Domain})
		}
	}
	return domains
}
