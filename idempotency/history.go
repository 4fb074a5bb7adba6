package idempotency

import (
	"slices"
	"strings"
	"time"

	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/objects"
)

// holdersPerKey is the number of instances that record a key.
const holdersPerKey = 2

// membershipHistory stores the current and past memberships. Instances learn of a
// change at different times, so the holders of a key under earlier memberships are
// consulted until their records have expired.
type membershipHistory struct {
	generations []generation // oldest first; the last one is current
	// handedOver holds the times at which members have handed over their records,
	// by name.
	handedOver map[string]time.Time
}

// generation is a period during which the membership did not change.
type generation struct {
	members []objects.Member // sorted by name
	started time.Time
	ended   time.Time // zero for the current one
}

// observe records the membership at time now, and removes generations and handovers
// that ended before oldest.
func (h *membershipHistory) observe(now, oldest time.Time, members []objects.Member) {
	members = slices.Clone(members)
	slices.SortFunc(members, byName)
	last := len(h.generations) - 1
	if last < 0 || !slices.EqualFunc(h.generations[last].members, members, sameMember) {
		h.startGeneration(now, members)
	}
	h.generations = slices.DeleteFunc(h.generations, func(g generation) bool {
		return !g.ended.IsZero() && g.ended.Before(oldest)
	})
	for name, at := range h.handedOver {
		if at.Before(oldest) {
			delete(h.handedOver, name)
		}
	}
}

// startGeneration ends the current generation and starts a new one.
func (h *membershipHistory) startGeneration(now time.Time, members []objects.Member) {
	if last := len(h.generations) - 1; last >= 0 {
		h.generations[last].ended = now
	}
	h.generations = append(h.generations, generation{members: members, started: now})
}

func byName(a, b objects.Member) int { return strings.Compare(a.Name, b.Name) }

func sameMember(a, b objects.Member) bool { return a.Name == b.Name && a.Peer == b.Peer }

// recordHandover records that a member has handed over its records before stopping,
// and starts a generation without it. If a later membership list still contains the
// member, or an instance returns under its name, observe starts another generation.
func (h *membershipHistory) recordHandover(now time.Time, name string) {
	if h.handedOver == nil {
		h.handedOver = map[string]time.Time{}
	}
	h.handedOver[name] = now
	if len(h.generations) == 0 {
		return
	}
	members := slices.Clone(h.generations[len(h.generations)-1].members)
	h.startGeneration(now, slices.DeleteFunc(members, func(m objects.Member) bool { return m.Name == name }))
}

// current returns the holders of key under the current membership.
func (h *membershipHistory) current(key Key) []objects.Member {
	if len(h.generations) == 0 {
		return nil
	}
	return holdersOf(h.generations[len(h.generations)-1].members, key)
}

// earlier returns the sets of holders of key under earlier memberships. It omits sets
// of which a member has since handed over its records.
func (h *membershipHistory) earlier(key Key) [][]objects.Member {
	var sets [][]objects.Member
	for _, g := range h.generations[:max(0, len(h.generations)-1)] {
		set := holdersOf(g.members, key)
		handedOver := slices.ContainsFunc(set, func(m objects.Member) bool { return h.handedOverSince(m.Name, g.started) })
		if len(set) > 0 && !handedOver && !containsSet(sets, set) {
			sets = append(sets, set)
		}
	}
	return sets
}

// handedOverSince reports whether a member has handed over its records at or after
// start.
func (h *membershipHistory) handedOverSince(name string, start time.Time) bool {
	handedOverAt, ok := h.handedOver[name]
	return ok && !handedOverAt.Before(start)
}

func containsSet(sets [][]objects.Member, set []objects.Member) bool {
	return slices.ContainsFunc(sets, func(other []objects.Member) bool { return slices.EqualFunc(other, set, sameMember) })
}

// holdersOf returns the holders of key among members. It ranks the failure domains by
// rendezvous hashing, then the members of each domain, and returns the first ones.
// All instances with the same membership get the same result. If a domain has too
// few instances, the remaining holders come from the next one.
func holdersOf(members []objects.Member, key Key) []objects.Member {
	hashInput := key.Team + "\x00" + key.Value
	var found []objects.Member
	for _, d := range domain.Ranked(domainsOf(members), hashInput) {
		inDomain := slices.DeleteFunc(slices.Clone(members), func(m objects.Member) bool { return m.Domain != d.Name })
		found = append(found, domain.Ranked(inDomain, hashInput)...)
		if len(found) >= holdersPerKey {
			return found[:holdersPerKey]
		}
	}
	return found
}

// domainsOf returns a member for each failure domain. Only the name is set, to that of
// the domain, as domain.Ranked expects members.
func domainsOf(members []objects.Member) []objects.Member {
	var domains []objects.Member
	for _, m := range members {
		if !slices.ContainsFunc(domains, func(d objects.Member) bool { return d.Name == m.Domain }) {
			domains = append(domains, objects.Member{Name: m.Domain})
		}
	}
	return domains
}
