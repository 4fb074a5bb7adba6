// Package probe shares the work of asking upstreams for their load among the
// instances of a failure domain: each upstream is asked by two instances, which
// tell the others. Were every instance to ask every upstream, the cost of an
// instance would grow with the domain's upstreams and that of an upstream with
// the domain's instances.
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
	// ProbersEach is how many instances ask an upstream, so that readings go on
	// when one of them dies.
	ProbersEach = 2
	// Repeat is how often readings are told although little has changed.
	Repeat = 3 * time.Second
	// Lifetime is how long a reading counts.
	Lifetime = 3 * Repeat
)

// Reading is what an upstream reported.
type Reading struct {
	Upstream string
	Load     upstream.Load
}

// Batch carries readings to a peer.
type Batch struct{ Readings []Reading }

// Taken answers a Batch.
type BatchReply struct{}

// Assigned returns the upstreams that self asks. Instances whose views of the
// peers differ may ask an upstream more or fewer times for a while.
func Assigned(self string, peers, upstreams []objects.Member) []objects.Member {
	var assigned []objects.Member
	for _, u := range upstreams {
		ranked := domain.Ranked(peers, u.Name)
		probers := ranked[:min(ProbersEach, len(ranked))]
		if slices.ContainsFunc(probers, func(m objects.Member) bool { return m.Name == self }) {
			assigned = append(assigned, u)
		}
	}
	return assigned
}

// Board holds the newest reading of each upstream. It is safe for concurrent use.
type LoadTable struct {
	mu   sync.Mutex // guards all below
	held map[string]dated
	told map[string]dated // own readings as last told to peers
}

type dated struct {
	load upstream.Load
	at   time.Time
}

// NewBoard returns an empty board.
func NewLoadTable() *LoadTable {
	return &LoadTable{held: map[string]dated{}, told: map[string]dated{}}
}

// Own takes in own readings and returns those that peers must be told now.
func (b *LoadTable) UpdateOwn(loads map[string]upstream.Load, now time.Time) []Reading {
	b.mu.Lock()
	defer b.mu.Unlock()
	var tell []Reading
	for name, load := range loads {
		b.held[name] = dated{load, now}
		last, told := b.told[name]
		if told && now.Sub(last.at) < Repeat && !urgent(last.load, load) {
			continue
		}
		b.told[name] = dated{load, now}
		tell = append(tell, Reading{name, load})
	}
	slices.SortFunc(tell, func(x, y Reading) int { return strings.Compare(x.Upstream, y.Upstream) })
	return tell
}

// urgent reports whether a change may not wait for the next repetition.
func urgent(last, now upstream.Load) bool {
	return last.WeightVersion != now.WeightVersion || last.Leaving != now.Leaving || last.Loading != now.Loading
}

// Take takes in a peer's readings and reports whether one of them is urgent.
func (b *LoadTable) Merge(batch Batch, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := false
	for _, r := range batch.Readings {
		changed = changed || urgent(b.held[r.Upstream].load, r.Load)
		b.held[r.Upstream] = dated{r.Load, now}
	}
	return changed
}

// Loads returns the readings that still count, by upstream name.
func (b *LoadTable) Loads(now time.Time) map[string]upstream.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := func(_ string, d dated) bool { return now.Sub(d.at) > Lifetime }
	maps.DeleteFunc(b.held, old)
	maps.DeleteFunc(b.told, old)
	loads := make(map[string]upstream.Load, len(b.held))
	for name, d := range b.held {
		loads[name] = d.load
	}
	return loads
}
