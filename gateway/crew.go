package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/telemetry"
)

// kindInstances holds the instances of the deployment, one object each.
const kindInstances = "instances"

// mate is the stored form of an instance.
type mate struct {
	Peer   string `json:"peer"` // IP:port for other instances
	Domain string `json:"domain"`
	Front  bool   `json:"front"` // takes callers
	First  bool   `json:"first"` // seeks the control role before others
	Start  string `json:"start"` // unique to the process
}

// crew is the set of other instances.
type crew struct {
	self mate
	name string

	mu     sync.Mutex // guards all below
	mates  map[string]mate
	helper string // the instance that relays calls; empty for none
}

// helped notes which instance relays calls; empty for none.
func (c *crew) helped(peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.helper = peer
}

// helping returns the instance that relays calls; empty when none is known.
func (c *crew) helping() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.helper
}

// all returns the addresses of all other instances in an order of this instance's
// own, so that not all ask the same one.
func (c *crew) all() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var peers []string
	for name, m := range c.mates {
		if name != c.name {
			peers = append(peers, m.Peer)
		}
	}
	own := func(peer string) uint64 { return xxhash.Sum64String(c.name + peer) }
	slices.SortFunc(peers, func(a, b string) int { return cmp.Compare(own(a), own(b)) })
	return peers
}

func newCrew(s *Settings) *crew {
	return &crew{
		name: s.Name, mates: map[string]mate{},
		self: mate{Peer: s.PeerListen, Domain: s.Domain, Front: s.Listen != "", First: s.Control == "first", Start: time.Now().Format(time.RFC3339Nano)},
	}
}

// replace takes in the list of instances.
func (c *crew) replace(list []objects.Object) error {
	mates := map[string]mate{}
	var unread error
	for _, o := range list {
		var m mate
		if err := json.Unmarshal(o.Value, &m); err != nil {
			unread = oops.In("gateway").With("step", "decode instance", "name", o.Name).Wrap(err)
			continue
		}
		mates[o.Name] = m
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mates = mates
	return unread
}

// mostSeekers bounds the instances that seek the control role eagerly: each reads
// its lease about once a second.
const mostSeekers = 3

// seeks reports whether this instance is among those that seek the control role
// eagerly. All agree on the order; those behind seek it too, but seldom.
func (c *crew) seeks() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := 0
	for name, m := range c.mates {
		if m.First && xxhash.Sum64String(name) < xxhash.Sum64String(c.name) {
			before++
		}
	}
	return c.self.First && before < mostSeekers
}

// domain returns the addresses of the own domain's instances, this one included,
// in an order that all agree on.
func (c *crew) domain() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := []string{c.name}
	for name, m := range c.mates {
		if name != c.name && m.Domain == c.self.Domain {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	peers := make([]string, len(names))
	for n, name := range names {
		peers[n] = c.mates[name].Peer
		if name == c.name {
			peers[n] = c.self.Peer
		}
	}
	return peers
}

// known reports whether the list of instances was read.
func (c *crew) known() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.mates) > 0
}

// fronts returns the addresses of all other instances that take callers.
func (c *crew) fronts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var peers []string
	for name, m := range c.mates {
		if name != c.name && m.Front {
			peers = append(peers, m.Peer)
		}
	}
	return peers
}

// owners returns the addresses of the instances that take callers, this one
// included, in the order in which they are to run batches of a key: those of the own
// domain first, each key in an order of its own that all instances of the domain
// agree on.
func (c *crew) owners(key string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[string]mate{c.name: c.self}
	for name, m := range c.mates {
		if name != c.name && m.Front && m.Peer != c.self.Peer {
			all[name] = m
		}
	}
	far := func(name string) int {
		if all[name].Domain == c.self.Domain {
			return 0
		}
		return 1
	}
	names := slices.Collect(maps.Keys(all))
	rank := func(name string) uint64 { return xxhash.Sum64String(key + "/" + name) }
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(far(a)-far(b), cmp.Compare(rank(a), rank(b))) })
	peers := make([]string, len(names))
	for n, name := range names {
		peers[n] = all[name].Peer
	}
	return peers
}

// The list of instances is read more often after the start, when others start
// too; a stale list costs a timeout at most.
const (
	firstCrewInterval = time.Second
	crewInterval      = 4 * time.Second
)

// pollCrew keeps the list of instances until ctx ends.
func (g *Gateway) pollCrew(ctx context.Context) {
	g.joinCrew(ctx)
	interval := firstCrewInterval / 2
	for ctx.Err() == nil {
		interval = min(crewInterval, 2*interval)
		pause := interval
		all, err := g.feed.List(ctx, kindInstances)
		if err == nil {
			err = g.crew.replace(all.Objects)
		}
		if err != nil {
			g.warn("read the instances", err)
			pause = maxFollowPause
		}
		select {
		case <-ctx.Done():
		case <-g.clock.After(pause):
		}
	}
}

// joinCrew writes this instance's entry until the store has it.
func (g *Gateway) joinCrew(ctx context.Context) {
	for ctx.Err() == nil && !g.draining.Load() {
		if err := g.writeCrew(ctx); err == nil {
			return
		}
		g.clock.Sleep(maxFollowPause)
	}
}

func (g *Gateway) writeCrew(ctx context.Context) error {
	o, err := g.store.Get(ctx, kindInstances, g.settings.Name)
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		return err
	}
	_, err = g.store.Put(ctx, kindInstances, g.settings.Name, o.Version, g.crew.self)
	return err
}

// leaveCrew removes the entry, so that nobody hands batches to an instance that
// stops.
func (g *Gateway) leaveCrew(ctx context.Context) {
	o, err := g.store.Get(ctx, kindInstances, g.settings.Name)
	if err == nil {
		err = g.store.Delete(ctx, kindInstances, g.settings.Name, o.Version)
	}
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		g.log.Info("this instance's entry stays in the store", telemetry.Error(err))
	}
}

// warn logs a step that failed and is tried again.
func (g *Gateway) warn(step string, err error) {
	g.log.Warn("step failed", zap.String("step", step), telemetry.Error(err))
}
