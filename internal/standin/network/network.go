// Package network joins notice endpoints in one process: a platform with one
// object, calls with a delay between instances, and cuts. It counts what the
// calls would carry.
package network

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/notice"
	"github.com/pomelocross/pomelocross/objects"
)

// ErrCut is the error of calls that do not pass.
var ErrCut = errors.New("cut")

// Damaged is a value that instances refuse.
const Damaged = "damaged"

// Link is a direction between two failure domains.
type Link struct{ From, To string }

// Faults are switched while the network runs.
type Faults struct {
	Cut         map[Link]bool
	Down        map[string]bool // domains that do not reach the platform
	LoseAnswers int             // answers between instances to lose, after the call took effect
}

// Network holds the instances and the platform.
type Network struct {
	// Entries are the instances on the list.
	Entries []objects.Member
	// Delay is the time that a call takes one way.
	Delay time.Duration
	// Bytes are carried between instances; PlatformBytes are object values read;
	// Reads counts calls to the platform and Waiting those that wait now.
	Bytes, PlatformBytes, Reads, Waiting atomic.Int64

	mu        sync.Mutex // guards both below
	instances map[string]*Instance
	faults    Faults

	objects store
}

// New returns a network whose list has count instances spread over domains.
func New(count, domains int, delay time.Duration) *Network {
	n := &Network{Delay: delay, instances: map[string]*Instance{}, objects: store{changed: make(chan struct{})}}
	for i := range count {
		n.Entries = append(n.Entries, Entry(i, i%domains))
	}
	return n
}

// Entry returns the member with a number in the domain with a number.
func Entry(number, domain int) objects.Member {
	return objects.Member{
		Name: fmt.Sprintf("entry-%03d", number), Role: objects.RoleEntry, Domain: fmt.Sprintf("domain-%02d", domain), Region: "test",
		Address: fmt.Sprintf("10.0.0.%d:80", number), Peer: fmt.Sprintf("10.0.0.%d:82", number),
	}
}

// SetFaults switches faults.
func (n *Network) SetFaults(f Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = f
}

// Instance is one endpoint with what it was told.
type Instance struct {
	*notice.Endpoint
	// Revision is the newest one that it was told.
	Revision atomic.Int64

	mu   sync.Mutex // guards told
	told []notice.Item
	stop context.CancelFunc
}

// Check implements notice.Sink.
func (i *Instance) Check(item notice.Item) error {
	if string(item.Value) == Damaged {
		return errors.New("value is damaged")
	}
	return nil
}

// News implements notice.Sink.
func (i *Instance) Deliver(item notice.Item) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.told = append(i.told, item)
	i.Revision.Store(item.Revision)
}

// Membership implements notice.Sink.
func (i *Instance) Membership(*domain.View) {}

// Told returns the news so far.
func (i *Instance) Received() []notice.Item {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]notice.Item(nil), i.told...)
}

// Start runs an instance until ctx ends or it is killed.
func (n *Network) Start(ctx context.Context, self objects.Member, timing notice.Timing, always bool) *Instance {
	ctx, stop := context.WithCancel(ctx)
	one := &Instance{stop: stop}
	one.Endpoint = notice.NewEndpoint(notice.Options{
		Self: self, Caller: way{n, self.Domain}, Store: access{net: n, domain: self.Domain}, Kinds: []string{objects.KindConfig},
		Decode: decode, Sink: one, Clock: clockwork.NewRealClock(), Timing: timing, Limits: domain.DefaultLimits(), AlwaysWatch: always,
	})
	one.Members(n.Entries)
	n.mu.Lock()
	n.instances[self.Peer] = one
	n.mu.Unlock()
	go one.Run(ctx)
	return one
}

// StartAll runs all listed instances.
func (n *Network) StartAll(ctx context.Context, timing notice.Timing, always bool) []*Instance {
	all := make([]*Instance, len(n.Entries))
	for i, self := range n.Entries {
		all[i] = n.Start(ctx, self, timing, always)
	}
	return all
}

// Kill ends an instance without a word.
func (n *Network) Kill(one *Instance) {
	one.stop()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.instances, one.Self.Peer)
}

func decode(o objects.Object) (notice.Item, bool) {
	return notice.Item{Kind: o.Kind, Name: o.Name, Revision: int64(o.Version), Value: o.Value}, true
}

// way is one domain's way to peers.
type way struct {
	net    *Network
	domain string
}

// Call implements notice.Caller.
func (w way) Call(_ context.Context, address, _ string, args, reply any) error {
	to, lost := w.net.reach(w.domain, address)
	if to == nil {
		return ErrCut
	}
	time.Sleep(w.net.Delay)
	err := to.Exchange(args.(notice.Message), reply.(*notice.Message))
	time.Sleep(w.net.Delay)
	w.net.Bytes.Add(encoded(args) + encoded(reply))
	if lost {
		return ErrCut
	}
	return err
}

// reach returns the instance that a call gets to, if any, and whether its answer
// is to be lost.
func (n *Network) reach(from, address string) (to *Instance, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to = n.instances[address]
	if to == nil || n.faults.Cut[Link{from, to.Self.Domain}] {
		return nil, false
	}
	lost = n.faults.LoseAnswers > 0
	if lost {
		n.faults.LoseAnswers--
	}
	return to, lost
}

// Put makes a value of a size the platform's object.
func (n *Network) Put(revision int64, size int) {
	n.objects.put(notice.Item{Kind: objects.KindConfig, Name: "test", Revision: revision, Value: bytes.Repeat([]byte{'x'}, size)})
}
