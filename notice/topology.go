package notice

import (
	"slices"

	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/objects"
)

const (
	// watcherCount is the number of instances per domain that watch the platform.
	watcherCount = 2
	// fanOut is the number of children that an instance forwards items to.
	fanOut = 3
	// staleDomainCount is the number of other domains that an instance contacts
	// per round while its data is stale.
	staleDomainCount = 3
	rankingKey       = "notice"
)

// rankedLive returns the live instances of a domain by rank. The rank determines the
// watchers of the platform and the trees along which items are forwarded. Views that
// share most members agree on most of the order.
func rankedLive(v *domain.View, name string) []objects.Member {
	return domain.Ranked(v.Live(name), rankingKey)
}

// ownRank returns the rank of self in its domain, or -1 if self is leaving.
func ownRank(v *domain.View) int {
	return slices.IndexFunc(rankedLive(v, v.Self().Domain), func(m objects.Member) bool { return m.Name == v.Self().Name })
}

// isWatcher reports whether the rank of self makes it a watcher of the platform.
func isWatcher(v *domain.View) bool {
	rank := ownRank(v)
	return rank >= 0 && rank < watcherCount
}

// children returns the instances that the one at a rank forwards items to. The
// watchers are the roots of trees that contain each other member once.
func children(ranked []objects.Member, rank int) []objects.Member {
	if rank < 0 {
		return nil
	}
	first := rank*fanOut + watcherCount
	return ranked[min(first, len(ranked)):min(first+fanOut, len(ranked))]
}

// childrenOf returns the children of a peer without self, or nil if the peer is in
// another domain.
func childrenOf(v *domain.View, peer objects.Member) []objects.Member {
	if peer.Domain != v.Self().Domain {
		return nil
	}
	ranked := rankedLive(v, peer.Domain)
	rank := slices.IndexFunc(ranked, func(m objects.Member) bool { return m.Name == peer.Name })
	return without(children(ranked, rank), v.Self().Name)
}

// pushTargets returns the instances that self pushes items to. External items,
// which came from outside the domain, also go to the domain's watchers, and from
// a watcher to one instance of each other domain, since any other domain may be
// unable to reach the platform.
func pushTargets(v *domain.View, external bool) []objects.Member {
	ranked := rankedLive(v, v.Self().Domain)
	rank := ownRank(v)
	targets := slices.Clone(children(ranked, rank))
	if !external {
		return targets
	}
	targets = append(targets, ranked[:min(watcherCount, len(ranked))]...)
	if rank >= 0 && rank < watcherCount {
		for _, name := range v.Domains() {
			if name != v.Self().Domain {
				targets = append(targets, pick(rankedLive(v, name), rank)...)
			}
		}
	}
	return without(targets, v.Self().Name)
}

// exchangePeers returns the instances that self exchanges messages with in a round:
// one watcher of its domain, in every second round another live member of it, and one
// member that is not alive. A watcher also contacts an instance of one other domain,
// and a stale instance contacts one in each of staleDomainCount other domains.
func exchangePeers(v *domain.View, round int, stale bool) []objects.Member {
	ranked := rankedLive(v, v.Self().Domain)
	others := without(ranked, v.Self().Name)
	targets := pick(without(ranked[:min(watcherCount, len(ranked))], v.Self().Name), round)
	if round%2 == 0 {
		targets = append(targets, pick(others, round*7/2)...)
	}
	targets = append(targets, pick(notAlive(v), round)...)
	domainCount := 0
	switch {
	case stale:
		domainCount = staleDomainCount
	case isWatcher(v):
		domainCount = 1
	}
	targets = append(targets, otherDomainPeers(v, round, domainCount)...)
	slices.SortFunc(targets, func(a, b objects.Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return slices.CompactFunc(targets, func(a, b objects.Member) bool { return a.Name == b.Name })
}

// notAlive returns the instances of the own domain that are not alive. One of them
// is contacted each round, because two instances that suspect each other would
// otherwise never exchange messages again.
func notAlive(v *domain.View) []objects.Member {
	return slices.DeleteFunc(v.All(), func(m objects.Member) bool {
		return m.Domain != v.Self().Domain || v.Liveness(m.Name) == domain.Alive
	})
}

// otherDomainPeers returns one instance in each of count other domains. Successive
// rounds cover all domains and, within each, its instances by rank.
func otherDomainPeers(v *domain.View, round, count int) []objects.Member {
	var names []string
	for _, name := range v.Domains() {
		if name != v.Self().Domain {
			names = append(names, name)
		}
	}
	var targets []objects.Member
	for n := range min(count, len(names)) {
		index := round*count + n
		ranked := domain.Ranked(liveOrListed(v, names[index%len(names)]), rankingKey)
		targets = append(targets, pick(ranked, index/len(names))...)
	}
	return targets
}

// liveOrListed returns the live instances of a domain or, if there are none, all
// that are not dead or leaving. An unreachable domain must still be contacted, or
// the end of the partition is not detected.
func liveOrListed(v *domain.View, name string) []objects.Member {
	if live := v.Live(name); len(live) > 0 {
		return live
	}
	return v.Peers(name)
}

// pick returns the member at index modulo their number, or nil if there are none.
func pick(members []objects.Member, index int) []objects.Member {
	if len(members) == 0 {
		return nil
	}
	return []objects.Member{members[index%len(members)]}
}

func without(members []objects.Member, name string) []objects.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m objects.Member) bool { return m.Name == name })
}
