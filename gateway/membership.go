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

	"github.com/pomelocross/pomelocross/lease"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/sendlimit"
	"github.com/pomelocross/pomelocross/telemetry"
)

// kindInstances is the kind of the objects that register the instances of the
// deployment, one object per instance.
const kindInstances = "instances"

// instanceRecord is the stored form of an instance.
type instanceRecord struct {
	Peer           string `json:"peer"` // IP:port for other instances
	Domain         string `json:"domain"`
	ServesCallers  bool   `json:"front"` // listens for callers
	EagerCandidate bool   `json:"first"` // configured to acquire the control role ahead of standby instances
	Incarnation    string `json:"start"` // start time, unique to the process
	// CPUShare is the number of processor cores that the instance may use; 0 if it did
	// not say.
	CPUShare float64 `json:"cpu,omitempty"`
}

// membership is the set of instances of the deployment as last listed, with the record
// of this instance.
type membership struct {
	self instanceRecord
	name string
	read chan struct{} // closed once the list of instances has been read

	mu        sync.Mutex // guards all below
	instances map[string]instanceRecord
	asOf      time.Time // time as of which instances is known to be the state of the store
	relay     string    // address of the instance that relays calls on the store; empty for none
}

// setRelay sets the address of the instance that relays calls on the store; empty
// for none.
func (m *membership) setRelay(peer string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.relay = peer
}

// currentRelay returns the address of the instance that relays calls on the store;
// empty when none is known.
func (m *membership) currentRelay() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.relay
}

// relayCandidates returns the addresses of all other instances. The order differs
// from instance to instance, which spreads the load of relayed calls.
func (m *membership) relayCandidates() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var peers []string
	for name, r := range m.instances {
		if name != m.name {
			peers = append(peers, r.Peer)
		}
	}
	rank := func(peer string) uint64 { return xxhash.Sum64String(m.name + peer) }
	slices.SortFunc(peers, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return peers
}

// newMembership returns a membership that knows only the instance configured by s.
func newMembership(s *Settings) *membership {
	return &membership{
		name: s.Name, read: make(chan struct{}), instances: map[string]instanceRecord{},
		self: instanceRecord{Peer: s.PeerListen, Domain: s.Domain, ServesCallers: s.Listen != "", EagerCandidate: s.Control == "first", Incarnation: time.Now().Format(time.RFC3339Nano), CPUShare: s.CPUShare},
	}
}

// replace replaces the list of instances, known to be current as of a time. It skips records
// that cannot be decoded and returns the last decoding error.
func (m *membership) replace(list []objects.Object, asOf time.Time) error {
	instances := map[string]instanceRecord{}
	var decodeErr error
	for _, o := range list {
		var r instanceRecord
		if err := json.Unmarshal(o.Value, &r); err != nil {
			decodeErr = oops.In("gateway").With("step", "decode instance", "name", o.Name).Wrap(err)
			continue
		}
		instances[o.Name] = r
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.instances) == 0 && len(instances) > 0 {
		select {
		case <-m.read:
		default:
			close(m.read)
		}
	}
	m.instances, m.asOf = instances, asOf
	return decodeErr
}

// Candidates for the control role by their rank among the instances that are configured
// alike. The first ones read the lease about once a second if they are to acquire it
// eagerly, the next ones are standbys, and the others read it rarely, so that the reads
// of a large deployment hardly exceed those of a small one.
const (
	eagerCandidates   = 3
	standbyCandidates = 4
	remoteFactor      = 8 * lease.StandbyFactor
)

// controlPollFactor returns the multiple of the poll interval at which a candidate of a
// rank reads the lease.
func controlPollFactor(eager bool, rank int) int {
	if eager {
		if rank < eagerCandidates {
			return 1
		}
		rank -= eagerCandidates
	}
	if rank < standbyCandidates {
		return lease.StandbyFactor
	}
	return remoteFactor
}

// pollFactor returns the multiple of the poll interval at which this instance reads the
// lease of the control role. All instances compute the same ranking.
func (m *membership) pollFactor() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	rank := 0
	for name, r := range m.instances {
		if name != m.name && r.EagerCandidate == m.self.EagerCandidate && xxhash.Sum64String(name) < xxhash.Sum64String(m.name) {
			rank++
		}
	}
	return controlPollFactor(m.self.EagerCandidate, rank)
}

// domainPeers returns the addresses of the instances in this instance's failure
// domain, including its own, in the same order on every instance of the domain.
func (m *membership) domainPeers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := []string{m.name}
	for name, r := range m.instances {
		if name != m.name && r.Domain == m.self.Domain {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	peers := make([]string, len(names))
	for n, name := range names {
		peers[n] = m.instances[name].Peer
		if name == m.name {
			peers[n] = m.self.Peer
		}
	}
	return peers
}

// peersOf returns the addresses of up to limit other instances of a failure domain.
func (m *membership) peersOf(domain string, limit int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var peers []string
	for name, r := range m.instances {
		if name != m.name && r.Domain == domain && len(peers) < limit {
			peers = append(peers, r.Peer)
		}
	}
	return peers
}

// listed reports whether the list of instances has been read.
func (m *membership) listed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.instances) > 0
}

// callerPeers returns the addresses of all other instances that serve callers.
func (m *membership) callerPeers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var peers []string
	for name, r := range m.instances {
		if name != m.name && r.ServesCallers {
			peers = append(peers, r.Peer)
		}
	}
	return peers
}

// callerNames returns the names of the instances that serve callers, sorted.
func (m *membership) callerNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := []string{}
	if m.self.ServesCallers {
		names = append(names, m.name)
	}
	for name, r := range m.instances {
		if name != m.name && r.ServesCallers {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// callerPosition returns the position of this instance among the names of the instances that
// serve callers, and their number; 0 while the list of instances has not been read.
func (m *membership) callerPosition() sendlimit.Members {
	if !m.listed() {
		return sendlimit.Members{}
	}
	names := m.callerNames()
	position, _ := slices.BinarySearch(names, m.name)
	m.mu.Lock()
	defer m.mu.Unlock()
	return sendlimit.Members{Position: position, Count: len(names), AsOf: m.asOf}
}

// peerOf returns the address of an instance; empty if it is not known.
func (m *membership) peerOf(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.instances[name].Peer
}

// controlCandidates returns the addresses of all instances, including this one, those first
// that seek the control role eagerly.
func (m *membership) controlCandidates() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := map[string]instanceRecord{m.name: m.self}
	for name, r := range m.instances {
		if name != m.name {
			all[name] = r
		}
	}
	eager := func(name string) int {
		if all[name].EagerCandidate {
			return 0
		}
		return 1
	}
	names := slices.SortedFunc(maps.Keys(all), func(a, b string) int { return cmp.Or(eager(a)-eager(b), cmp.Compare(a, b)) })
	peers := make([]string, len(names))
	for n, name := range names {
		peers[n] = all[name].Peer
	}
	return peers
}

// strongShare is the part of the greatest processor share of a failure domain from which
// an instance counts as strong.
const strongShare = 0.7

// batchOwners returns the addresses of the instances that serve callers, including
// this one, in order of preference for running the batches of a key. Instances of the
// own failure domain come first, and of each domain the strong ones. Each key has its
// own order (rendezvous hashing), the same on all instances of the domain.
//
// Load pattern: one instance runs all items of a team's model, thousands of streams at a
// time, on machines of which some have a quarter of the processor time of others.
func (m *membership) batchOwners(key string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := map[string]instanceRecord{m.name: m.self}
	for name, r := range m.instances {
		if name != m.name && r.ServesCallers && r.Peer != m.self.Peer {
			all[name] = r
		}
	}
	distance := func(name string) int {
		if all[name].Domain == m.self.Domain {
			return 0
		}
		return 1
	}
	greatest := map[string]float64{} // CPU share by domain
	for _, r := range all {
		greatest[r.Domain] = max(greatest[r.Domain], r.CPUShare)
	}
	weak := func(name string) int {
		if all[name].CPUShare >= strongShare*greatest[all[name].Domain] {
			return 0
		}
		return 1
	}
	names := slices.Collect(maps.Keys(all))
	rank := func(name string) uint64 { return xxhash.Sum64String(key + "/" + name) }
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(distance(a)-distance(b), weak(a)-weak(b), cmp.Compare(rank(a), rank(b)))
	})
	peers := make([]string, len(names))
	for n, name := range names {
		peers[n] = all[name].Peer
	}
	return peers
}

// The list of instances is read more often after the start, when other instances may
// be starting too. A stale list costs no more than a timeout.
const (
	initialMembershipInterval = time.Second
	membershipInterval        = 4 * time.Second
)

// pollMembership registers this instance and keeps the list of instances up to date
// until ctx ends.
func (g *Gateway) pollMembership(ctx context.Context) {
	g.register(ctx)
	interval := initialMembershipInterval / 2
	for ctx.Err() == nil {
		interval = min(membershipInterval, 2*interval)
		pause, asOf := interval, g.clock.Now()
		all, err := g.feed.List(ctx, kindInstances)
		if !all.AsOf.IsZero() {
			asOf = all.AsOf // of a cache
		}
		if err == nil {
			err = g.membership.replace(all.Objects, asOf)
		}
		if err != nil {
			g.warn("list instances", err)
			pause = maxRetryPause
		}
		select {
		case <-ctx.Done():
		case <-g.clock.After(pause):
		}
	}
}

// register writes this instance's record to the store and retries until it succeeds,
// ctx ends or the instance stops.
func (g *Gateway) register(ctx context.Context) {
	for ctx.Err() == nil && !g.draining.Load() {
		if err := g.writeRecord(ctx); err == nil {
			return
		}
		g.clock.Sleep(maxRetryPause)
	}
}

// writeRecord writes this instance's record over that of an earlier incarnation. There
// is none at most starts, so it reads that only after a conflict.
func (g *Gateway) writeRecord(ctx context.Context) error {
	_, err := g.store.Put(ctx, kindInstances, g.settings.Name, 0, g.membership.self)
	if !errors.Is(err, objects.ErrConflict) {
		return err
	}
	o, err := g.store.Get(ctx, kindInstances, g.settings.Name)
	if err != nil {
		return err
	}
	_, err = g.store.Put(ctx, kindInstances, g.settings.Name, o.Version, g.membership.self)
	return err
}

// unregister removes this instance's record, so that no other instance hands batches
// over to an instance that is stopping.
func (g *Gateway) unregister(ctx context.Context) {
	o, err := g.store.Get(ctx, kindInstances, g.settings.Name)
	if err == nil {
		err = g.store.Delete(ctx, kindInstances, g.settings.Name, o.Version)
	}
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		g.log.Info("failed to remove this instance's record from the store", telemetry.Error(err))
	}
}

// warn logs a failed step of a background task. Steps of periodic tasks are retried.
func (g *Gateway) warn(step string, err error) {
	g.log.Warn("background operation failed", zap.String("step", step), telemetry.Error(err))
}
