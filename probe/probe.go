// Package probe divides the polling of upstream loads among the instances of a
// failure domain: two instances poll each upstream and send the readings to the
// others. If every instance polled every upstream, the cost of polling per instance
// would grow with the number of upstreams in the domain, and the cost per upstream
// with the number of instances.
package probe

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/upstream"
)

const (
	// ProbersPerUpstream is the number of instances that poll an upstream. With two,
	// readings continue when one instance fails.
	ProbersPerUpstream = 2
	// RepeatInterval is the interval at which readings without urgent changes are
	// sent to peers.
	RepeatInterval = 3 * time.Second
	// MaxAge is the age after which a reading is discarded.
	MaxAge = 3 * RepeatInterval
)

// Reading is the load that an upstream reported.
type Reading struct {
	Upstream string
	Load     upstream.Load
}

// Batch is the RPC argument that carries readings to a peer.
type Batch struct{ Readings []Reading }

// BatchReply is the empty RPC reply to a Batch.
type BatchReply struct{}

// Assigned returns the upstreams that self polls. While instances disagree on peers,
// an upstream may be polled by more or fewer than ProbersPerUpstream instances.
func Assigned(self string, peers, upstreams []objects.Member) []objects.Member {
	var assigned []objects.Member
	for _, u := range upstreams {
		ranked := domain.Ranked(peers, u.Name)
		probers := ranked[:min(ProbersPerUpstream, len(ranked))]
		if slices.ContainsFunc(probers, func(m objects.Member) bool { return m.Name == self }) {
			assigned = append(assigned, u)
		}
	}
	return assigned
}

// LoadTable holds the newest reading of each upstream. It is safe for concurrent
// use.
type LoadTable struct {
	mu        sync.Mutex // guards the fields below
	newest    map[string]timedLoad
	published map[string]timedLoad // own readings as last sent to peers
}

// timedLoad is a load with the time at which it was received.
type timedLoad struct {
	load upstream.Load
	at   time.Time
}

// NewLoadTable returns an empty table.
func NewLoadTable() *LoadTable {
	return &LoadTable{newest: map[string]timedLoad{}, published: map[string]timedLoad{}}
}

// UpdateOwn stores the instance's own readings, by upstream name, and returns those
// to send to peers now, sorted by name: first readings, urgent changes, and those
// last sent RepeatInterval ago or earlier.
func (t *LoadTable) UpdateOwn(loads map[string]upstream.Load, now time.Time) []Reading {
	t.mu.Lock()
	defer t.mu.Unlock()
	var publish []Reading
	for name, load := range loads {
		t.newest[name] = timedLoad{load, now}
		last, ok := t.published[name]
		if ok && now.Sub(last.at) < RepeatInterval && !urgent(last.load, load) {
			continue
		}
		t.published[name] = timedLoad{load, now}
		publish = append(publish, Reading{name, load})
	}
	slices.SortFunc(publish, func(x, y Reading) int { return strings.Compare(x.Upstream, y.Upstream) })
	return publish
}

// urgent reports whether a change is to be sent before RepeatInterval has passed.
func urgent(old, new upstream.Load) bool {
	return old.WeightVersion != new.WeightVersion || old.Leaving != new.Leaving || old.Loading != new.Loading
}

// Merge stores the readings of a peer and reports whether one of them is an urgent
// change.
func (t *LoadTable) Merge(batch Batch, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	urgentChange := false
	for _, r := range batch.Readings {
		urgentChange = urgentChange || urgent(t.newest[r.Upstream].load, r.Load)
		t.newest[r.Upstream] = timedLoad{r.Load, now}
	}
	return urgentChange
}

// Loads returns the loads that are not older than MaxAge, by upstream name, and
// deletes older ones.
func (t *LoadTable) Loads(now time.Time) map[string]upstream.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	expired := func(_ string, d timedLoad) bool { return now.Sub(d.at) > MaxAge }
	maps.DeleteFunc(t.newest, expired)
	maps.DeleteFunc(t.published, expired)
	loads := make(map[string]upstream.Load, len(t.newest))
	for name, d := range t.newest {
		loads[name] = d.load
	}
	return loads
}
