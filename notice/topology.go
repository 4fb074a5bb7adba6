package notice

import (
	"slices"

	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/objects"
)

const (
	// watcherCount is how many instances of a domain watch the platform.
	watcherCount = 2
	// fanOut is how many instances each one passes news on to.
	fanOut = 3
	// searchWidth is how many other domains an instance asks at once while it
	// does not hear the platform.
	searchWidth = 3
	rankingKey  = "notice"
)

// ranking returns the live instances of a domain in the order in which they
// watch and pass news on. Views that share most members share most of it.
func ranking(v *domain.View, name string) []objects.Member {
	return domain.Ranked(v.Live(name), rankingKey)
}

// rank returns self's place in its domain, or -1 when it leaves.
func rank(v *domain.View) int {
	return slices.IndexFunc(ranking(v, v.Self().Domain), func(m objects.Member) bool { return m.Name == v.Self().Name })
}

// watches reports whether self is to watch the platform.
func watches(v *domain.View) bool {
	place := rank(v)
	return place >= 0 && place < watcherCount
}

// children returns whom the instance at a place passes news on to: the watchers
// are roots of trees that reach each other member once.
func children(ranked []objects.Member, place int) []objects.Member {
	if place < 0 {
		return nil
	}
	first := place*fanOut + watcherCount
	return ranked[min(first, len(ranked)):min(first+fanOut, len(ranked))]
}

// charges returns whom a peer of the own domain passes news on to.
func charges(v *domain.View, peer objects.Member) []objects.Member {
	if peer.Domain != v.Self().Domain {
		return nil
	}
	ranked := ranking(v, peer.Domain)
	place := slices.IndexFunc(ranked, func(m objects.Member) bool { return m.Name == peer.Name })
	return without(children(ranked, place), v.Self().Name)
}

// audience returns whom self tells of news. News from outside the domain also
// goes to the domain's watchers, and from a watcher to one instance of each
// other domain, since any of them may be cut off from the platform.
func audience(v *domain.View, outside bool) []objects.Member {
	ranked := ranking(v, v.Self().Domain)
	place := rank(v)
	targets := slices.Clone(children(ranked, place))
	if !outside {
		return targets
	}
	targets = append(targets, ranked[:min(watcherCount, len(ranked))]...)
	if place >= 0 && place < watcherCount {
		for _, name := range v.Domains() {
			if name != v.Self().Domain {
				targets = append(targets, pick(ranking(v, name), place)...)
			}
		}
	}
	return without(targets, v.Self().Name)
}

// rounds returns whom self exchanges messages with at a turn: a watcher of its
// domain, another member of it, one that is missed, and for a watcher one other
// domain. An instance
// that does not hear the platform asks more domains.
func rounds(v *domain.View, turn int, stale bool) []objects.Member {
	ranked := ranking(v, v.Self().Domain)
	others := without(ranked, v.Self().Name)
	targets := pick(without(ranked[:min(watcherCount, len(ranked))], v.Self().Name), turn)
	if turn%2 == 0 {
		targets = append(targets, pick(others, turn*7/2)...)
	}
	targets = append(targets, pick(missed(v), turn)...)
	width := 0
	switch {
	case stale:
		width = searchWidth
	case watches(v):
		width = 1
	}
	targets = append(targets, abroad(v, turn, width)...)
	slices.SortFunc(targets, func(a, b objects.Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return slices.CompactFunc(targets, func(a, b objects.Member) bool { return a.Name == b.Name })
}

// missed returns the instances of the own domain that are not alive. One is
// tried each round: two that miss each other would else never meet again.
func missed(v *domain.View) []objects.Member {
	return slices.DeleteFunc(v.All(), func(m objects.Member) bool {
		return m.Domain != v.Self().Domain || v.Liveness(m.Name) == domain.Alive
	})
}

// abroad returns one instance in each of width other domains, which turn by turn
// are all domains and, in each, its first few instances.
func abroad(v *domain.View, turn, width int) []objects.Member {
	var names []string
	for _, name := range v.Domains() {
		if name != v.Self().Domain {
			names = append(names, name)
		}
	}
	var targets []objects.Member
	for n := range min(width, len(names)) {
		at := turn*width + n
		ranked := domain.Ranked(reachable(v, names[at%len(names)]), rankingKey)
		targets = append(targets, pick(ranked, at/len(names))...)
	}
	return targets
}

// reachable returns the instances of a domain, live ones if there are any: a
// domain that is cut off must be tried, or the end of the cut goes unnoticed.
func reachable(v *domain.View, name string) []objects.Member {
	if live := v.Live(name); len(live) > 0 {
		return live
	}
	return v.Peers(name)
}

// pick returns one of members, chosen by turn.
func pick(members []objects.Member, turn int) []objects.Member {
	if len(members) == 0 {
		return nil
	}
	return []objects.Member{members[turn%len(members)]}
}

func without(members []objects.Member, name string) []objects.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m objects.Member) bool { return m.Name == name })
}
